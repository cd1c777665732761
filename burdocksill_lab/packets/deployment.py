"""A deployment under load: domains, callers of two kinds, a burst."""

from collections.abc import Callable, Iterable
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
OFFER_SHARE: Final = 0.22
WORK_SECONDS: Final = 0.055
# The logarithm of a request's work spreads by this, around a mean of one.
SPREAD: Final = 0.5
QUEUE_LIMIT: Final = 16
CALM_SECONDS: Final = 3.0
# After the burst: callers' last tries and deadlines.
SETTLE_SECONDS: Final = 6.0
SLICE_SECONDS: Final = 0.5
SAMPLE_SECONDS: Final = 0.05


@attrs.frozen(kw_only=True)
class Wave:
    """Hold which parts of the capacity are called for, over time."""

    calm: float
    burst: float
    seconds: float

    def at(self, now: float) -> float:
        """Return the part at a time since the start."""
        in_burst = 0 <= now - CALM_SECONDS < self.seconds
        return self.burst if in_burst else self.calm

    def times(self, rate: float) -> Rate:
        """Return calls a second over time, for those at full capacity."""
        return lambda now: rate * self.at(now)


class UnlimitedLimiter(ConcurrencyLimiter):
    """Admit every flow, as a node without admission does."""

    __slots__ = ()

    def limit_for(self, urgency: int) -> float:
        """Return that there is room for any number."""
        return float('inf')


@attrs.define(kw_only=True)
class LoadedDeployment:
    """Play calm, a burst of load, and what follows."""

    world: PacketWorld
    domains: int = 3
    nodes: int = 2
    upstreams: int = 3
    slots: int = 4
    # False is the control.
    admission: bool = True
    callers: list[Callers] = attrs.field(factory=list)
    began_at: float = 0
    burst_seconds: float = 0
    # Requests on each upstream, at the times of the samples.
    samples: list[tuple[float, list[int]]] = attrs.field(factory=list)

    def build(self) -> None:
        """Start upstreams and nodes."""
        self.world.put_manifest(
            6,
            dict.fromkeys(OBJECTIVES, 'ledger'),
            objectives=OBJECTIVES,
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
        """Start an upstream whose requests take unequal times."""
        return self.world.add_upstream(
            domain,
            slots=self.slots,
            work_seconds=WORK_SECONDS,
            queue_limit=QUEUE_LIMIT,
            unevenness=self.unevenness,
        )

    def unevenness(self) -> float:
        """Draw how many times as long as usual a request takes."""
        return self.world.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)

    @property
    def capacity(self) -> float:
        """Return the requests a second that all slots can run."""
        upstreams = self.domains * self.upstreams
        return upstreams * self.slots / WORK_SECONDS

    def play(self, calm: float, burst: float, seconds: float) -> None:
        """Call at parts of the capacity: calm, a burst, calm again."""
        self.began_at = self.world.timeline.now
        self.burst_seconds = seconds
        wave = Wave(calm=calm, burst=burst, seconds=seconds)
        part = self.capacity / self.domains
        for number in range(self.domains):
            feeds = part * (1 - OFFER_SHARE)
            self.call(f'd{number}', FEED_PORT, wave.times(feeds))
            offers = part * OFFER_SHARE
            self.call(f'd{number}', OFFER_PORT, wave.times(offers))
        self.sample()
        self.world.run(2 * CALM_SECONDS + seconds)
        for one in self.callers:
            one.stopped = True
        self.world.run(SETTLE_SECONDS)

    def sample(self) -> None:
        """Note the requests on each upstream, and go on to do so."""
        timeline = self.world.timeline
        on_each = [
            one.running + len(one.queue)
            for one in self.world.upstreams.values()
        ]
        self.samples.append((timeline.now - self.began_at, on_each))
        timeline.after(SAMPLE_SECONDS, self.sample)

    def imbalance(self, begin: float, end: float) -> float:
        """Return the busiest upstream's requests over the mean, by time."""
        found = [each for at, each in self.samples if begin <= at < end]
        totals = [sum(column) for column in zip(*found, strict=True)]
        mean = sum(totals) / len(totals)
        return float(max(totals) / max(1, mean))

    def call(self, domain: str, port: int, rate: Rate) -> None:
        """Let callers of one kind and domain begin."""
        callers = Callers(
            world=self.world,
            domain=domain,
            port=port,
            rate=rate,
        )
        callers.start()
        self.callers.append(callers)

    def calls(
        self,
        begin: float,
        end: float,
        port: int | None = None,
        domain: str | None = None,
    ) -> list[Call]:
        """Return the calls that were made between two times of the play."""
        return [
            call
            for one in self.callers
            if port in {None, one.port} and domain in {None, one.domain}
            for call in one.calls
            if begin <= call.asked_at - self.began_at < end
        ]

    def in_burst(self, port: int, domain: str | None = None) -> Served:
        """Count what callers of a kind got whose calls fell into the burst."""
        end = CALM_SECONDS + self.burst_seconds
        return count_served(
            self.calls(CALM_SECONDS, end, port, domain),
            OBJECTIVES[port].seconds,
        )

    def refused_in(self, begin: float, end: float) -> int:
        """Count the tries that nodes ended, of calls between two times."""
        return sum(call.ended_by_node for call in self.calls(begin, end))

    def refused_shares(self) -> list[float]:
        """Return the part of the calls that met a refusal, by time."""
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
    """Return the part of some calls of which a node refused a try."""
    found = [call.ended_by_node > 0 for call in calls]
    return sum(found) / max(1, len(found))
