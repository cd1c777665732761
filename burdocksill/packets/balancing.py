"""Weighted choice of an upstream by the load that all nodes report.

Reports are up to half a second old, and all nodes read the same ones. If each
node took the least loaded upstream, all of them would take the same one until
the next report. So each node chooses at random, by probabilities that fill the
upstreams to a common level if all nodes use them. Only the flows that are new
per report can be steered, so a low turnover raises the level a little and a
high one levels by parts.
"""

from __future__ import annotations

import math
from bisect import bisect
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from random import Random

from burdocksill.packets.rates import SettlingRate
from burdocksill.packets.slow_start import is_in_slow_start
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.protocols import LoadView
    from burdocksill.packets.shared_load import SharedLoad

    IsUsable = Callable[[KnownUpstream], bool]

# A request in progress occupies a slot now, an open flow only later again.
IN_PROGRESS_WEIGHT: Final = 2
# Differences are levelled by the new flows of this time. It is longer than the
# age of reports, in which other nodes place flows too.
LEVEL_SECONDS: Final = 1.5
# Probabilities are computed again after this time.
PLAN_SECONDS: Final = 0.2
# Lowest part of the flows that counts as new. A node of a large fleet places
# few flows a second.
MIN_TURNOVER: Final = 0.02
# Time constant of requests in progress. A report counts them at one moment,
# while differences between upstreams that matter last for seconds.
IN_PROGRESS_SECONDS: Final = 3.0
# Bounds of an upstream's probability, as multiples of its share of all slots.
# One wrong report, or one upstream that was just emptied, moves few flows.
MIN_SHARE: Final = 0.1
MAX_SHARE: Final = 3.0
# Upper bound during slow start.
SLOW_START_SHARE: Final = 1.25
# Draws before the choice by this node's own load takes over.
MAX_DRAWS: Final = 6


class BalancingPlan:
    """Hold the probabilities of the upstreams of a service and domain."""

    __slots__ = ('built_at', 'cumulative', 'in_progress', 'upstreams')

    def __init__(
        self,
        *,
        built_at: float,
        upstreams: Sequence[KnownUpstream] = (),
        weights: Iterable[float] = (),
        in_progress: Iterable[float] = (),
    ) -> None:
        """Store the arguments."""
        self.built_at = built_at
        self.upstreams = upstreams
        self.cumulative = list(accumulate(weights))
        # Smoothed requests in progress by upstream.
        self.in_progress = dict(zip(upstreams, in_progress, strict=True))

    def draw(self, rng: Random) -> KnownUpstream:
        """Return one upstream, drawn by its probability."""
        at = bisect(self.cumulative, rng.random() * self.cumulative[-1])
        return self.upstreams[min(at, len(self.upstreams) - 1)]


class SharedLoadBalancer:
    """Choose upstreams of one failure domain by shared load."""

    __slots__ = ('load_view', 'plans', 'rates', 'rng', 'upstreams')

    def __init__(
        self,
        *,
        load_view: LoadView,
        upstreams: UpstreamRegistry,
        rng: Random,
    ) -> None:
        """Store the collaborators and start without probabilities."""
        self.load_view = load_view
        self.upstreams = upstreams
        self.rng = rng
        # By service and failure domain.
        self.plans: dict[tuple[str, str], BalancingPlan] = {}
        self.rates: dict[str, SettlingRate] = {}

    def choose(
        self,
        service: str,
        domain: str,
        now: float,
        is_healthy: IsUsable,
        is_usable: IsUsable,
    ) -> KnownUpstream | None:
        """Return an upstream that is usable; None if no load is known.

        `is_healthy` selects the upstreams that take part, `is_usable` decides
        on a single flow.
        """
        plan = self.plan_of(service, domain, now, is_healthy)
        if not plan.upstreams:
            return None
        for _ in range(MAX_DRAWS):
            drawn = plan.draw(self.rng)
            if is_usable(drawn):
                return drawn
        return None

    def record_placed(self, upstream: KnownUpstream, now: float) -> None:
        """Count a new flow of this node."""
        service = upstream.record.service
        self.rates.setdefault(service, SettlingRate(now)).record(now)

    def plan_of(
        self,
        service: str,
        domain: str,
        now: float,
        is_healthy: IsUsable,
    ) -> BalancingPlan:
        """Return the current probabilities, empty ones without known load."""
        plan = self.plans.get((service, domain))
        if plan is None or not 0 <= now - plan.built_at < PLAN_SECONDS:
            upstreams = [
                upstream
                for upstream in self.upstreams.available_in_domain(
                    service, domain, now
                )
                if not upstream.is_cold(now) and is_healthy(upstream)
            ]
            plan = self.build_plan(service, upstreams, plan, now)
            self.plans[service, domain] = plan
        return plan

    def build_plan(
        self,
        service: str,
        upstreams: list[KnownUpstream],
        previous: BalancingPlan | None,
        now: float,
    ) -> BalancingPlan:
        """Compute probabilities that level the reported loads."""
        reports = [self.load_view.load_of(one, now) for one in upstreams]
        if not any(reports):
            return BalancingPlan(built_at=now)
        slots = [one.record.slots for one in upstreams]
        in_progress = smoothed_in_progress(upstreams, reports, previous, now)
        # An upstream without a report is new.
        loads = [
            weighted_load(report.flows, requests) / count if report else 0
            for report, requests, count in zip(
                reports, in_progress, slots, strict=True
            )
        ]
        # The median, so that one wrong report does not hide the others.
        median = sorted(loads)[len(loads) // 2]
        inflow = self.turnover(service, upstreams, now) * median
        return BalancingPlan(
            built_at=now,
            upstreams=upstreams,
            weights=bounded_shares(
                fill_evenly(loads, slots, inflow * sum(slots)),
                slots,
                [share_bound(upstream, now) for upstream in upstreams],
            ),
            in_progress=in_progress,
        )

    def turnover(
        self,
        service: str,
        upstreams: list[KnownUpstream],
        now: float,
    ) -> float:
        """Return which part of the load is levelled at once, at most 1.

        The ratio of this node's new flows to its open ones is that of all
        nodes, whatever their number.
        """
        rate = self.rates.get(service)
        if rate is None:
            return 1
        flows = sum(upstream.flows for upstream in upstreams)
        found = rate.at(now) * LEVEL_SECONDS / max(1, flows)
        return min(1, max(MIN_TURNOVER, found))


def weighted_load(flows: float, in_progress: float) -> float:
    """Return the load of flows and requests."""
    return flows + in_progress * IN_PROGRESS_WEIGHT


def smoothed_in_progress(
    upstreams: list[KnownUpstream],
    reports: list[SharedLoad | None],
    previous: BalancingPlan | None,
    now: float,
) -> list[float]:
    """Return the requests in progress, averaged over recent reports."""
    smoothed: list[float] = []
    for upstream, report in zip(upstreams, reports, strict=True):
        current: float = upstream.waiting
        if report is not None:
            current = max(current, report.in_progress)
        if previous is not None and upstream in previous.in_progress:
            before = previous.in_progress[upstream]
            elapsed = now - previous.built_at
            kept = math.exp(-elapsed / IN_PROGRESS_SECONDS)
            current += (before - current) * kept
        smoothed.append(current)
    return smoothed


def share_bound(upstream: KnownUpstream, now: float) -> float:
    """Return the highest multiple of its share that an upstream gets."""
    return SLOW_START_SHARE if is_in_slow_start(upstream, now) else MAX_SHARE


def fill_evenly(
    loads: Sequence[float],
    slots: Sequence[int],
    inflow: float,
) -> list[float]:
    """Return the parts of an inflow that level the loads for each slot."""
    level = min(loads)
    width = 0
    rest = inflow
    for load, count in sorted(zip(loads, slots, strict=True)):
        needed = (load - level) * width
        if needed > rest:
            break
        rest -= needed
        level = load
        width += count
    level += rest / width
    return [
        max(0, level - own_load) * own_slots
        for own_load, own_slots in zip(loads, slots, strict=True)
    ]


def bounded_shares(
    parts: Sequence[float],
    slots: Sequence[int],
    bounds: Sequence[float],
) -> list[float]:
    """Return probabilities within their bounds, in proportion to the parts.

    What exceeds an upper bound goes to the others by their slots.
    """
    total = sum(parts) or 1
    fair = [count / sum(slots) for count in slots]
    shares = [
        min(max(part / total, MIN_SHARE * even), bound * even)
        for part, even, bound in zip(parts, fair, bounds, strict=True)
    ]
    missing = 1 - sum(shares)
    if missing <= 0:
        return shares
    open_to_more = [
        even if share < bound * even else 0
        for share, even, bound in zip(shares, fair, bounds, strict=True)
    ]
    rest = sum(open_to_more) or 1
    return [
        share + missing * even / rest
        for share, even in zip(shares, open_to_more, strict=True)
    ]
