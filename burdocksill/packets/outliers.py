"""Outlier detection: new flows avoid upstreams that live but serve badly.

Each node compares what the nodes of its domain report of an upstream with the
median of the service's other upstreams there. It ends no flow.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.local_load import LocalLoad
    from burdocksill.packets.protocols import LoadView
    from burdocksill.packets.shared_load import SharedLoad

# An upstream is an outlier when its answers take this many times the median,
# and exceed it by this many times the median absolute deviation.
SLOW_FACTOR: Final = 3.0
DEVIATIONS: Final = 5.0
# Or when the part of its answers that are errors exceeds the median by this,
# and by as many deviations.
ERROR_SHARE: Final = 0.15
# Its answers are usual again below this many times the median, with fewer
# errors than this part.
USUAL_FACTOR: Final = 2.0
USUAL_ERROR_SHARE: Final = 0.1
# Least number of reports in a row by which an upstream is ejected, and the
# number by which it returns before its time.
BAD_REPORTS: Final = 2
GOOD_REPORTS: Final = 8
# Reports are at least this many seconds apart.
REPORT_SECONDS: Final = 0.25
# New reports are looked for after this time.
CHECK_SECONDS: Final = 0.1
# Where sizes of work differ much, upstreams look bad by chance. An ejection
# takes this many more reports in a row than such a run had lately.
CHANCE_MARGIN: Final = 2
# A run by chance counts for one to two times this time. No upstream is ejected
# before the first reports have shown how long they are.
CHANCE_SECONDS: Final = 30.0
LEARNING_REPORTS: Final = 6
# Fewer upstreams with answers say too little.
MIN_COMPARED: Final = 3
# At least this part of the upstreams stays. The requests that they get fill at
# most this part of their slots.
MIN_STAYING: Final = 0.5
MAX_FILL: Final = 0.9
# Time of an ejection; it doubles with each one that follows soon.
BASE_SECONDS: Final = 10.0
MAX_SECONDS: Final = 80.0
# An ejected upstream gets this part of the flows that it would get otherwise.
TRIAL_SHARE: Final = 0.02
LOG_DIGITS: Final = 3

logger = EarlyLogger(__name__)


class ChanceRuns:
    """Hold for how many reports in a row an upstream looked bad by chance."""

    __slots__ = ('before', 'longest', 'reports', 'since')

    def __init__(self, now: float) -> None:
        """Start without reports."""
        self.reports: int = 0
        self.longest: int = 0
        # The longest run of the time before.
        self.before: int = 0
        self.since = now

    def count_report(self, now: float) -> None:
        """Count a report; forget old runs."""
        self.reports += 1
        if now - self.since > CHANCE_SECONDS:
            self.before = self.longest
            self.longest = 0
            self.since = now

    def record(self, run: int) -> None:
        """Record a run that ended by itself."""
        self.longest = max(self.longest, run)

    def needed(self) -> float:
        """Return how many reports in a row show an outlier."""
        if self.reports < LEARNING_REPORTS:
            return float('inf')
        run = max(self.longest, self.before)
        return run + CHANCE_MARGIN if run else BAD_REPORTS


class OutlierState:
    """Hold what is concluded of one upstream."""

    __slots__ = (
        'bad_reports',
        'ejected_until',
        'good_reports',
        'returned_at',
        'seconds',
    )

    def __init__(self) -> None:
        """Start in service."""
        # Reports in a row by which it is an outlier, or usual.
        self.bad_reports: int = 0
        self.good_reports: int = 0
        self.ejected_until: float = 0
        # Time of the last ejection.
        self.seconds: float = 0
        self.returned_at = float('-inf')

    def eject(self, now: float) -> None:
        """Start an ejection, longer if the one before ended recently."""
        in_row = now - self.returned_at < 2 * self.seconds
        self.seconds = (
            min(MAX_SECONDS, 2 * self.seconds) if in_row else BASE_SECONDS
        )
        self.ejected_until = now + self.seconds
        self.good_reports = 0

    def end(self, now: float) -> None:
        """End the ejection."""
        self.ejected_until = 0
        self.returned_at = now
        self.bad_reports = 0


class ComparedUpstream:
    """Hold how one upstream serves, by reports."""

    __slots__ = ('error_share', 'is_known', 'report', 'seconds', 'upstream')

    def __init__(
        self,
        *,
        upstream: KnownUpstream,
        report: SharedLoad,
        seconds: float,
        error_share: float,
    ) -> None:
        """Store the arguments; `seconds` is 0 without answers."""
        self.upstream = upstream
        self.report = report
        self.seconds = seconds
        self.error_share = error_share
        self.is_known = bool(seconds or error_share)


class Usual:
    """Hold what is usual among the upstreams of a service."""

    __slots__ = ('deviation', 'error_deviation', 'error_share', 'seconds')

    def __init__(self, compared: Iterable[ComparedUpstream]) -> None:
        """Compute the medians."""
        known = [one for one in compared if one.is_known]
        times = [one.seconds for one in known if one.seconds]
        self.seconds = median(times)
        self.deviation = median([abs(one - self.seconds) for one in times])
        shares = [one.error_share for one in known]
        self.error_share = median(shares)
        self.error_deviation = median(
            [abs(share - self.error_share) for share in shares]
        )

    def is_outlier(self, one: ComparedUpstream) -> bool:
        """Return True when an upstream serves much worse than usual."""
        slow_seconds = max(
            self.seconds * SLOW_FACTOR,
            self.seconds + self.deviation * DEVIATIONS,
        )
        most_errors = self.error_share + max(
            ERROR_SHARE, self.error_deviation * DEVIATIONS
        )
        return 0 < slow_seconds < one.seconds or one.error_share > most_errors

    def is_usual(self, one: ComparedUpstream) -> bool:
        """Return True when an upstream's answers are like the others'."""
        return (
            0 < one.seconds <= self.seconds * USUAL_FACTOR
            and one.error_share <= self.error_share + USUAL_ERROR_SHARE
        )

    def badness(self, one: ComparedUpstream) -> float:
        """Return by how much an upstream is worse, for their order."""
        return one.seconds / (self.seconds or 1) + one.error_share


class OutlierDetector:
    """Eject the outliers among the upstreams of the own failure domain."""

    __slots__ = (
        'chance_runs',
        'checked_at',
        'domain',
        'load_view',
        'local_load',
        'reported_at',
        'rng',
        'states',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        load_view: LoadView,
        local_load: LocalLoad,
        upstreams: UpstreamRegistry,
        rng: Random,
    ) -> None:
        """Store the collaborators and start without ejections."""
        self.domain = domain
        self.load_view = load_view
        # The rate of answers, and the answers of this node's trials.
        self.local_load = local_load
        self.upstreams = upstreams
        self.rng = rng
        # By service.
        self.states: dict[str, dict[KnownUpstream, OutlierState]] = {}
        self.chance_runs: dict[str, ChanceRuns] = {}
        self.checked_at: dict[str, float] = {}
        self.reported_at: dict[str, float] = {}

    def is_ejected(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True while an upstream gets no flows but trials."""
        states = self.states.get(upstream.record.service)
        if not states:
            return False
        state = states.get(upstream)
        return state is not None and now < state.ejected_until

    def ejected(self, service: str, now: float) -> list[KnownUpstream]:
        """Return the ejected upstreams of a service."""
        return [
            upstream
            for upstream, state in self.states.get(service, {}).items()
            if now < state.ejected_until
        ]

    def count_ejected(self, now: float) -> int:
        """Return the number of ejected upstreams."""
        return sum(len(self.ejected(service, now)) for service in self.states)

    def choose_trial(self, service: str, now: float) -> KnownUpstream | None:
        """Return an ejected upstream for a new flow once in a while."""
        ejected = self.ejected(service, now)
        if not ejected:
            return None
        count = len(self.upstreams.candidates(service, self.domain))
        share = TRIAL_SHARE * len(ejected) / max(1, count)
        if self.rng.random() >= share:
            return None
        return self.rng.choice(ejected)

    def update(self, service: str, now: float) -> None:
        """Compare the upstreams of a service if there is a new report."""
        if now - self.checked_at.get(service, float('-inf')) < CHECK_SECONDS:
            return
        self.checked_at[service] = now
        candidates = list(
            self.upstreams.available_in_domain(service, self.domain, now)
        )
        states = self.states.setdefault(service, {})
        for upstream in set(states) - set(candidates):
            del states[upstream]
        compared = self.compare(service, candidates, states, now)
        usual = Usual(compared)
        runs = self.chance_runs.setdefault(service, ChanceRuns(now))
        if compared:
            runs.count_report(now)
        for one in compared:
            state = states.setdefault(one.upstream, OutlierState())
            judge(one, state, usual, runs)
        self.return_due(states, usual, now)
        self.eject_worst(compared, states, usual, runs.needed(), now)

    def compare(
        self,
        service: str,
        candidates: Iterable[KnownUpstream],
        states: Mapping[KnownUpstream, OutlierState],
        now: float,
    ) -> list[ComparedUpstream]:
        """Return what a new report tells of upstreams; empty without one."""
        reports = {
            upstream: report
            for upstream in candidates
            if (report := self.load_view.load_of(upstream, now)) is not None
        }
        reported_at = max(
            (now - report.age_seconds for report in reports.values()),
            default=float('-inf'),
        )
        before = self.reported_at.get(service, float('-inf'))
        if not reports or reported_at < before + REPORT_SECONDS:
            return []
        self.reported_at[service] = reported_at
        answers = self.answers_of_one(service, len(reports), now)
        found: list[ComparedUpstream] = []
        for upstream, report in reports.items():
            seconds = report.answer_seconds
            if not seconds and upstream in states:
                seconds = self.local_load.latest_seconds(upstream, now)
            expected = answers
            if self.is_ejected(upstream, now):
                expected *= TRIAL_SHARE
            found.append(
                ComparedUpstream(
                    upstream=upstream,
                    report=report,
                    seconds=seconds,
                    error_share=min(1, report.errors_per_second / expected)
                    if expected
                    else 0,
                )
            )
        return found

    def answers_of_one(self, service: str, count: int, now: float) -> float:
        """Return how many answers a second one upstream gives on average.

        Routers spread flows evenly over the nodes of a domain.
        """
        nodes = self.load_view.domain_nodes(self.domain, now) or 0
        own = self.local_load.answers_per_second(service, now)
        return own * nodes / count

    def return_due(
        self,
        states: Mapping[KnownUpstream, OutlierState],
        usual: Usual,
        now: float,
    ) -> None:
        """End ejections whose time is over or whose answers are usual."""
        for upstream, state in states.items():
            if not state.ejected_until:
                continue
            is_usual = state.good_reports >= GOOD_REPORTS
            if is_usual or now >= state.ejected_until:
                state.end(now)
                logger.info(
                    'outlier returned',
                    extra={
                        'upstream': upstream.record.name,
                        'usual': is_usual,
                        'usual_s': round(usual.seconds, LOG_DIGITS),
                    },
                )

    def eject_worst(
        self,
        compared: list[ComparedUpstream],
        states: Mapping[KnownUpstream, OutlierState],
        usual: Usual,
        needed: float,
        now: float,
    ) -> None:
        """Eject outliers, the worst first, as far as the others have room."""
        if sum(one.is_known for one in compared) < MIN_COMPARED:
            return
        staying = [
            one for one in compared if not self.is_ejected(one.upstream, now)
        ]
        outliers = [
            one for one in staying if states[one.upstream].bad_reports >= needed
        ]
        outliers.sort(key=usual.badness, reverse=True)
        work = sum(usual_work(one, usual) for one in compared)
        for one in outliers:
            staying.remove(one)
            slots = sum(other.upstream.record.slots for other in staying)
            if (
                len(staying) < len(compared) * MIN_STAYING
                or work > slots * MAX_FILL
            ):
                return
            state = states[one.upstream]
            state.eject(now)
            logger.warning(
                'outlier ejected',
                extra={
                    'upstream': one.upstream.record.name,
                    'for_s': state.seconds,
                    'answer_s': round(one.seconds, LOG_DIGITS),
                    'usual_s': round(usual.seconds, LOG_DIGITS),
                    'errors': round(one.error_share, LOG_DIGITS),
                    'usual_errors': round(usual.error_share, LOG_DIGITS),
                    'flows': one.report.flows,
                    'ejected': len(compared) - len(staying),
                    'upstreams': len(compared),
                },
            )


def judge(
    one: ComparedUpstream,
    state: OutlierState,
    usual: Usual,
    runs: ChanceRuns,
) -> None:
    """Count the reports in a row that call an upstream bad or usual."""
    if not one.is_known:
        return
    if usual.is_outlier(one):
        state.bad_reports += 1
        state.good_reports = 0
    elif usual.is_usual(one):
        if not state.ejected_until:
            runs.record(state.bad_reports)
        state.bad_reports = 0
        state.good_reports += 1


def usual_work(one: ComparedUpstream, usual: Usual) -> float:
    """Return the slots that the requests of an upstream need elsewhere."""
    in_progress = min(one.report.in_progress, one.report.flows)
    if one.seconds <= usual.seconds:
        return in_progress
    return in_progress * usual.seconds / one.seconds


def median(amounts: Iterable[float]) -> float:
    """Return the lower median, 0 without amounts."""
    ordered = sorted(amounts)
    return ordered[(len(ordered) - 1) // 2] if ordered else 0
