"""What a run is measured by."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from burdocksill.requests.verdict import Reason, Verdict
from burdocksill_lab.runs.traffic import CallRecord
from burdocksill_lab.stand_ins.upstream import StandInUpstream


@attrs.frozen(kw_only=True)
class Count:
    """Hold how often something with a name was seen."""

    name: str
    times: int


@attrs.frozen(kw_only=True)
class Imbalance:
    """Hold how evenly a service's work went over its upstreams."""

    service: str
    work: tuple[Count, ...]
    largest_over_mean: float
    variation: float


@attrs.frozen(kw_only=True)
class RunReport:
    """Hold the figures of one run."""

    deployment: str
    seed: int
    vms: int
    callers: int
    requests: int
    flows: int
    broken_flows: int
    broken_in_domains_out: int
    outcomes: tuple[Count, ...]
    reasons: tuple[Count, ...]
    unanswered: int
    double_runs: int
    lost: int
    mixed: int
    # Told "not run" though it ran.
    untrue: int
    # Answers of the services in each second of virtual time.
    goodput: tuple[int, ...]
    imbalance: tuple[Imbalance, ...]
    faults: tuple[str, ...] = ()

    @property
    def sound(self) -> bool:
        """Return True when nothing was doubled, lost, mixed or untrue."""
        wrong = self.double_runs + self.lost + self.mixed + self.untrue
        return wrong == 0


def counts(names: Iterable[str]) -> tuple[Count, ...]:
    """Count names, in the order of the alphabet."""
    return tuple(
        Count(name=name, times=times)
        for name, times in sorted(Counter(names).items())
    )


def broken_flows(records: Iterable[CallRecord], *, domain_out: bool) -> int:
    """Count the flows that broke, by whether their domain was taken out."""
    return len(
        {
            record.flow
            for record in records
            if record.breaks_flow
            and (record.reason is Reason.DOMAIN_OUT) == domain_out
        },
    )


def goodput(records: Iterable[CallRecord], seconds: int) -> tuple[int, ...]:
    """Count the services' answers in each second."""
    found = Counter(int(record.ended) for record in records if record.done)
    return tuple(found[second] for second in range(seconds))


def posts_run(upstreams: Iterable[StandInUpstream]) -> Counter[str]:
    """Count how often each POST ran, by its path."""
    return Counter(
        entry.path
        for upstream in upstreams
        for entry in upstream.ledger
        if entry.method == 'POST'
    )


def double_runs(ran: Mapping[str, int]) -> int:
    """Count the requests that ran more than once."""
    return sum(times > 1 for times in ran.values())


def lost(records: Iterable[CallRecord], ran: Mapping[str, int]) -> int:
    """Count what callers were told was done and no upstream ever ran."""
    return sum(
        record.posts and record.done and record.path not in ran
        for record in records
    )


def untrue(records: Iterable[CallRecord], ran: Mapping[str, int]) -> int:
    """Count what callers were told was not run though it ran."""
    return sum(
        record.posts
        and record.verdict is Verdict.NOT_RUN
        and record.path in ran
        for record in records
    )


def imbalance(service: str, upstreams: list[StandInUpstream]) -> Imbalance:
    """Measure how evenly the work of a service went."""
    work = [len(upstream.ledger) for upstream in upstreams]
    mean = sum(work) / len(work)
    spread = sum((one - mean) ** 2 for one in work) / len(work)
    return Imbalance(
        service=service,
        work=tuple(
            Count(name=upstream.name, times=len(upstream.ledger))
            for upstream in upstreams
        ),
        largest_over_mean=max(work) / mean if mean else 0,
        variation=math.sqrt(spread) / mean if mean else 0,
    )
