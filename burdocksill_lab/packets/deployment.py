"""Simulated deployment under a burst of load, with two kinds of callers."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

import attrs

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill_lab.packets.load import Call, Callers, Served, count_served
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import Objective, PacketWorld

Rate = Callable[[float], float]

FEED_PORT: Final = 8443
OFFER_PORT: Final = 8080
OBJECTIVES: Final = MappingProxyType(
    {
        FEED_PORT: Objective(seconds=0.25, priority=2),
        OFFER_PORT: Objective(seconds=0.3, priority=1),
    },
)
OFFER_FRACTION: Final = 0.22
# Fraction of the calls that each route gets.
FRACTIONS: Final = MappingProxyType(
    {FEED_PORT: 1 - OFFER_FRACTION, OFFER_PORT: OFFER_FRACTION},
)
# Idle flows that callers of one domain and route keep if their flows are long.
LONG_FLOWS: Final = 60
WORK_SECONDS: Final = 0.055
# Standard deviation of the logarithm of a request's work factor (mean 1).
WORK_SIGMA: Final = 0.5
QUEUE_LIMIT: Final = 16
CALM_SECONDS: Final = 3.0
# Time after the run in which the last retries and deadlines end.
SETTLE_SECONDS: Final = 6.0
SLICE_SECONDS: Final = 0.5
SAMPLE_SECONDS: Final = 0.05


@attrs.frozen(kw_only=True)
class LoadProfile:
    """Load over time as a fraction of the capacity: calm, burst, calm."""

    calm: float
    burst: float
    seconds: float

    def at(self, now: float) -> float:
        """Return the fraction at a time in seconds since the start."""
        in_burst = 0 <= now - CALM_SECONDS < self.seconds
        return self.burst if in_burst else self.calm

    def scale(self, rate: float) -> Rate:
        """Return the rate over time, given the rate at full capacity."""
        return lambda now: rate * self.at(now)


class UnlimitedLimiter(ConcurrencyLimiter):
    """Baseline without admission control: admits every flow."""

    __slots__ = ()

    def limit_for(self, urgency: int) -> float:
        """Return an infinite limit."""
        return float('inf')


@attrs.define(kw_only=True)
class LoadedDeployment:
    """Deployment that runs a calm phase, a burst of load, and a calm phase."""

    world: PacketWorld
    domains: int = 3
    nodes: int = 2
    upstreams: int = 3
    slots: int = 4
    # False for the control run without admission control.
    admission: bool = True
    objectives: Mapping[int, Objective] = OBJECTIVES
    # Fraction of the calls by route, and by how much it grows in the burst
    # beyond the growth of all.
    fractions: Mapping[int, float] = FRACTIONS
    bursts: Mapping[int, float] = attrs.field(factory=dict)
    # Idle flows that callers of a domain and route keep; each retry then opens
    # a new one. None keeps what callers do by default.
    max_idle: int | None = None
    callers: list[Callers] = attrs.field(factory=list)
    began_at: float = 0
    burst_seconds: float = 0
    # Sample times and the number of requests on each upstream.
    samples: list[tuple[float, list[int]]] = attrs.field(factory=list)

    def build(self) -> None:
        """Start upstreams and nodes."""
        self.world.put_manifest(
            6,
            dict.fromkeys(self.objectives, 'ledger'),
            objectives=self.objectives,
        )
        for number in range(self.domains):
            for _ in range(self.nodes):
                node = self.world.add_node(f'd{number}')
                if not self.admission:
                    limiters = node.core.updater.upstreams.limiters
                    limiters['ledger'] = UnlimitedLimiter()
        for number in range(self.domains):
            for _ in range(self.upstreams):
                self.add_upstream(f'd{number}')

    def add_upstream(self, domain: str) -> LabUpstream:
        """Start an upstream whose work per request varies."""
        return self.world.add_upstream(
            domain,
            slots=self.slots,
            work_seconds=WORK_SECONDS,
            queue_limit=QUEUE_LIMIT,
            draw_work_factor=self.draw_work_factor,
        )

    def draw_work_factor(self) -> float:
        """Draw the work factor of a request: log-normal with mean 1."""
        return self.world.rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)

    @property
    def capacity(self) -> float:
        """Return the requests per second that all slots together can run."""
        upstreams = self.domains * self.upstreams
        return upstreams * self.slots / WORK_SECONDS

    def play(self, calm: float, burst: float, seconds: float) -> None:
        """Run calls at fractions of the capacity: calm, burst, calm."""
        self.began_at = self.world.timeline.now
        self.burst_seconds = seconds
        part = self.capacity / self.domains
        for number in range(self.domains):
            for port, fraction in self.fractions.items():
                profile = LoadProfile(
                    calm=calm,
                    burst=burst * self.bursts.get(port, 1),
                    seconds=seconds,
                )
                self.call(f'd{number}', port, profile.scale(part * fraction))
        self.sample()
        self.world.run(2 * CALM_SECONDS + seconds)
        for one in self.callers:
            one.stopped = True
        self.world.run(SETTLE_SECONDS)

    def sample(self) -> None:
        """Record the requests on each upstream and schedule the next sample."""
        timeline = self.world.timeline
        request_counts = [
            one.running + len(one.queue)
            for one in self.world.upstreams.values()
        ]
        self.samples.append((timeline.now - self.began_at, request_counts))
        timeline.after(SAMPLE_SECONDS, self.sample)

    def imbalance(self, begin: float, end: float) -> float:
        """Return the busiest upstream's requests divided by the mean.

        Averages over the samples between two times since the start.
        """
        found = [each for at, each in self.samples if begin <= at < end]
        totals = [sum(column) for column in zip(*found, strict=True)]
        mean = sum(totals) / len(totals)
        return float(max(totals) / max(1, mean))

    def call(self, domain: str, port: int, rate: Rate) -> None:
        """Start the callers of one domain and port."""
        callers = Callers(
            world=self.world,
            domain=domain,
            port=port,
            rate=rate,
        )
        if self.max_idle is not None:
            callers.max_idle = self.max_idle
            callers.random_reuse = True
            callers.retries_open_flows = True
        callers.start()
        self.callers.append(callers)

    def calls(
        self,
        begin: float,
        end: float,
        port: int | None = None,
        domain: str | None = None,
    ) -> list[Call]:
        """Return the calls made between two times since the start."""
        return [
            call
            for one in self.callers
            if port in {None, one.port} and domain in {None, one.domain}
            for call in one.calls
            if begin <= call.asked_at - self.began_at < end
        ]

    def in_burst(self, port: int, domain: str | None = None) -> Served:
        """Count the results of the calls made to a port during the burst."""
        end = CALM_SECONDS + self.burst_seconds
        return count_served(
            self.calls(CALM_SECONDS, end, port, domain),
            self.objectives[port].seconds,
        )

    def refused_in(self, begin: float, end: float) -> int:
        """Count the attempts that nodes reset, of calls between two times."""
        return sum(call.ended_by_node for call in self.calls(begin, end))

    def refused_shares(self) -> list[float]:
        """Return the fraction of calls that nodes refused, per time slice."""
        slices = range(
            round(CALM_SECONDS / SLICE_SECONDS) + 2,
            round((CALM_SECONDS + self.burst_seconds) / SLICE_SECONDS),
        )
        return [
            share_refused(
                self.calls(one * SLICE_SECONDS, (one + 1) * SLICE_SECONDS),
            )
            for one in slices
        ]


def share_refused(calls: Iterable[Call]) -> float:
    """Return the fraction of calls of which a node reset an attempt."""
    found = [call.ended_by_node > 0 for call in calls]
    return sum(found) / max(1, len(found))
