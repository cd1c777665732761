"""Spillover of new flows to other failure domains, by reported room.

The part of the flows that leaves rises in proportion to how full the own domain
is, and ends before its upstreams queue. It depends on the current load only and
accumulates nothing: flows live for up to a minute, so a part that rises for as
long as room is lacking would overshoot by the load of all flows still open.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Collection
    from typing import Final

    from burdocksill.packets.protocols import LoadView

# Requests in progress for each slot of the own domain from which new flows
# leave it. Lower values keep more slots free, higher ones save traffic between
# domains. The default of the settings.
DEFAULT_START: Final = 0.65
# All new flows leave when it is this much above the start.
RANGE: Final = 0.35
# Part of another domain's slots that is left free for its own flows, and the
# free part above that from which it takes as many flows as the others lack.
RESERVED_ROOM: Final = 0.1
AMPLE_ROOM: Final = 0.15
# Load and room are evaluated again after this time.
UPDATE_SECONDS: Final = 0.1
# Time constants of the smoothed load. Flows return sooner than they leave.
RISE_SECONDS: Final = 0.5
FALL_SECONDS: Final = 0.15
# Changes of the fraction are logged from this difference on, and at most this
# often for each service.
LOGGED_CHANGE: Final = 0.25
LOG_SECONDS: Final = 1.0
LOG_DIGITS: Final = 3

logger = EarlyLogger(__name__)


class ServiceSpillover:
    """Hold which fraction of a service's new flows leaves the own domain."""

    __slots__ = (
        'fraction',
        'is_known',
        'load',
        'logged_at',
        'logged_fraction',
        'room',
        'updated_at',
    )

    def __init__(self) -> None:
        """Start without known loads."""
        self.fraction: float = 0
        # True while the loads of the own and of another domain are reported.
        self.is_known = False
        # Requests in progress for each slot of the own domain, smoothed.
        self.load: float = 0
        # Free slots by domain, without the reserved ones.
        self.room: dict[str, float] = {}
        self.updated_at = float('-inf')
        self.logged_at = float('-inf')
        self.logged_fraction: float = 0

    def smooth_load(self, load: float, now: float) -> None:
        """Move the load towards the current one."""
        seconds = RISE_SECONDS if load > self.load else FALL_SECONDS
        elapsed = max(0, now - self.updated_at)
        self.load += (load - self.load) * (1 - math.exp(-elapsed / seconds))

    def should_log(self, now: float) -> bool:
        """Return True when a change of the fraction is worth a line."""
        if now - self.logged_at < LOG_SECONDS:
            return False
        return (self.fraction > 0) != (self.logged_fraction > 0) or (
            abs(self.fraction - self.logged_fraction) >= LOGGED_CHANGE
        )


class Spillover:
    """Decide which new flows leave the own domain, and where they go."""

    __slots__ = (
        'domain',
        'domains_out',
        'load_view',
        'outages',
        'placed',
        'rng',
        'services',
        'start',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        domains_out: Collection[str],
        load_view: LoadView,
        upstreams: UpstreamRegistry,
        outages: DomainOutageDetector,
        rng: Random,
        start: float = DEFAULT_START,
    ) -> None:
        """Store the collaborators; the placer's `domains_out` is not copied."""
        self.domain = domain
        self.domains_out = domains_out
        self.load_view = load_view
        self.upstreams = upstreams
        self.outages = outages
        self.rng = rng
        self.start = start
        self.services: dict[str, ServiceSpillover] = {}
        # Number of flows that left, by service and domain.
        self.placed: Counter[tuple[str, str]] = Counter()

    def choose_domain(self, service: str, now: float) -> str | None:
        """Return the domain that a new flow leaves for, None to stay."""
        state = self.state_of(service, now)
        if not state.fraction or self.rng.random() >= state.fraction:
            return None
        room = state.room
        return self.rng.choices(list(room), list(room.values()))[0]

    def is_known(self, service: str, now: float) -> bool:
        """Return True while reports decide, and not this node's own load."""
        return self.state_of(service, now).is_known

    def record_placed(self, upstream: KnownUpstream) -> None:
        """Count a flow that left the own domain for lack of room."""
        record = upstream.record
        self.placed[record.service, record.domain] += 1

    def state_of(self, service: str, now: float) -> ServiceSpillover:
        """Return the state of a service, evaluated again when it is old."""
        state = self.services.setdefault(service, ServiceSpillover())
        if not 0 <= now - state.updated_at < UPDATE_SECONDS:
            self.update(service, state, now)
            state.updated_at = now
        return state

    def update(
        self,
        service: str,
        state: ServiceSpillover,
        now: float,
    ) -> None:
        """Evaluate the load of the own domain and the room elsewhere."""
        home = self.load_at_home(service, now)
        slots: dict[str, float] = {}
        spare: dict[str, float] = {}
        for domain in self.eligible_domains(service, now):
            reported = self.load_view.spare_slots(service, domain, now)
            if reported is not None:
                slots[domain] = sum(
                    upstream.record.slots
                    for upstream in self.serving(service, domain, now)
                )
                spare[domain] = reported
        state.is_known = home is not None and bool(spare)
        if home is None:
            state.load = 0
        else:
            state.smooth_load(home, now)
        state.room = {
            name: free - RESERVED_ROOM * slots[name]
            for name, free in spare.items()
            if free > RESERVED_ROOM * slots[name]
        }
        lacking = within_one((state.load - self.start) / RANGE)
        ample = AMPLE_ROOM * sum(slots.values())
        available = within_one(sum(state.room.values()) / max(1, ample))
        state.fraction = lacking * available if state.is_known else 0
        self.log_change(service, state, now)

    def load_at_home(self, service: str, now: float) -> float | None:
        """Return the requests in progress for each slot; None if unknown.

        Infinite loads are avoided: a domain without upstreams has no flows to
        keep, and the placement looks elsewhere without being asked.
        """
        slots = 0
        in_progress: float = 0
        is_known = False
        for upstream in self.serving(service, self.domain, now):
            report = self.load_view.load_of(upstream, now)
            slots += upstream.record.slots
            if report is None:
                in_progress += upstream.waiting
            else:
                is_known = True
                in_progress += max(report.in_progress, upstream.waiting)
        return in_progress / slots if is_known else None

    def eligible_domains(self, service: str, now: float) -> list[str]:
        """Return the other domains that may take flows."""
        return [
            domain
            for domain in self.upstreams.by_service.get(service, {})
            if domain != self.domain
            and domain not in self.domains_out
            and not self.outages.is_domain_avoided(domain, now)
            and self.serving(service, domain, now)
        ]

    def serving(
        self,
        service: str,
        domain: str,
        now: float,
    ) -> list[KnownUpstream]:
        """Return the upstreams of a domain that take all their flows."""
        return [
            upstream
            for upstream in self.upstreams.available_in_domain(
                service, domain, now
            )
            if not upstream.is_cold(now)
            and not upstream.health.is_ejected(now)
            and not self.outages.is_upstream_suspected(upstream, now)
        ]

    def log_change(
        self,
        service: str,
        state: ServiceSpillover,
        now: float,
    ) -> None:
        """Log a change of the fraction that leaves."""
        if not state.should_log(now):
            return
        state.logged_at = now
        state.logged_fraction = state.fraction
        logger.info(
            'spillover changed',
            extra={
                'service': service,
                'fraction': round(state.fraction, LOG_DIGITS),
                'load': round(state.load, LOG_DIGITS),
                'room': {
                    name: round(free, LOG_DIGITS)
                    for name, free in state.room.items()
                },
            },
        )


def within_one(number: float) -> float:
    """Return a number limited to the range from 0 to 1."""
    return min(1, max(0, number))
