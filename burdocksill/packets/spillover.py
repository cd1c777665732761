"""Spillover of new flows to other failure domains, by reported room.

The fraction that leaves follows from the demand: the requests of the own domain
at home and elsewhere. Moving a flow does not change the demand, so the fraction
does not swing, although reports are old and flows live for up to a minute.
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

    from burdocksill.packets.outliers import OutlierDetector
    from burdocksill.packets.protocols import LoadView

# Requests in progress for each slot to which the own domain is filled before
# new flows leave it. Lower values keep more slots free, higher ones save
# traffic between domains. The default of the settings.
DEFAULT_START: Final = 0.75
# Above this load requests queue at home. More flows leave then, by this factor,
# because those that are open stay.
QUEUEING_LOAD: Final = 0.95
QUEUEING_FACTOR: Final = 0.5
# Part of another domain's slots that is left free for its own flows, and the
# free part above that from which it takes as many flows as the others lack.
RESERVED_ROOM: Final = 0.1
AMPLE_ROOM: Final = 0.3
# Load and room are evaluated again after this time.
UPDATE_SECONDS: Final = 0.1
# Time constant of the room elsewhere.
ROOM_SECONDS: Final = 1.0
# Time constant of requests at home and elsewhere. It is the same for both, so
# that a flow which moves from one to the other leaves the demand as it is.
LOAD_SECONDS: Final = 0.7
# This node's requests count together with this many that are divided like new
# flows.
PRIOR_REQUESTS: Final = 2
# Requests of one upstream count up to this many for each of its slots, so that
# one wrong report moves few flows.
MAX_REPORTED: Final = 2
# The demand is derived from at least this part of it that is at home.
MIN_HOME_SHARE: Final = 0.05
# Changes of the fraction are logged from this difference on, and at most this
# often for each service.
LOGGED_CHANGE: Final = 0.25
LOG_SECONDS: Final = 5.0
LOG_DIGITS: Final = 3

logger = EarlyLogger(__name__)


class ServiceSpillover:
    """Hold which fraction of a service's new flows leaves the own domain."""

    __slots__ = (
        'available',
        'away',
        'fraction',
        'home',
        'in_progress',
        'is_known',
        'load',
        'logged_at',
        'logged_fraction',
        'recent_fraction',
        'room',
        'updated_at',
    )

    def __init__(self) -> None:
        """Start without known loads."""
        self.fraction: float = 0
        # The fraction that left recently, smoothed like the requests.
        self.recent_fraction: float = 0
        # True while the loads of the own and of another domain are reported.
        self.is_known = False
        # Requests in progress at home, smoothed, and for each slot.
        self.in_progress: float = 0
        self.load: float = 0
        # Free slots by domain, without the reserved ones.
        self.room: dict[str, float] = {}
        # Part of the lacking room that the others have, smoothed.
        self.available: float = 0
        # This node's requests in progress at home and elsewhere, smoothed.
        self.home: float = 0
        self.away: float = 0
        self.updated_at = float('-inf')
        self.logged_at = float('-inf')
        self.logged_fraction: float = 0

    def smooth_requests(self, in_progress: float, now: float) -> None:
        """Move the requests at home towards the current ones."""
        weight = self.weight(LOAD_SECONDS, now)
        self.in_progress += (in_progress - self.in_progress) * weight

    def smooth_available(self, available: float, now: float) -> None:
        """Move the available part towards the current one."""
        weight = self.weight(ROOM_SECONDS, now)
        self.available += (available - self.available) * weight

    def smooth_own_requests(self, home: int, away: int, now: float) -> None:
        """Move this node's requests towards the current ones."""
        weight = self.weight(LOAD_SECONDS, now)
        self.home += (home - self.home) * weight
        self.recent_fraction += (self.fraction - self.recent_fraction) * weight
        self.away += (away - self.away) * weight

    def weight(self, seconds: float, now: float) -> float:
        """Return the weight of a new value, given a time constant."""
        elapsed = max(0, now - self.updated_at)
        return 1 - math.exp(-elapsed / seconds)

    def away_share(self) -> float:
        """Return which part of the domain's requests runs elsewhere."""
        away = self.away + PRIOR_REQUESTS * self.recent_fraction
        return away / (self.home + self.away + PRIOR_REQUESTS)

    def lacking_fraction(self, start: float) -> float:
        """Return the fraction of new flows for which there is no room."""
        demand = self.load / max(1 - self.away_share(), MIN_HOME_SHARE)
        fraction = 1 - start / demand if demand > start else 0
        queueing = max(0, self.load - QUEUEING_LOAD)
        return within_one(fraction + queueing * QUEUEING_FACTOR)

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
        'outliers',
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
        # Set where nodes detect outliers, which serve trials only.
        self.outliers: OutlierDetector | None = None
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
        home = self.requests_at_home(service, now)
        slots, spare = self.reported_room(service, now)
        state.is_known = home is not None and bool(spare)
        state.smooth_requests(home or 0, now)
        state.load = state.in_progress / max(
            1, self.slots(service, self.domain, now)
        )
        state.room = {
            name: free - RESERVED_ROOM * slots[name]
            for name, free in spare.items()
            if free > RESERVED_ROOM * slots[name]
        }
        ample = AMPLE_ROOM * sum(slots.values())
        available = within_one(sum(state.room.values()) / max(1, ample))
        state.smooth_available(available, now)
        state.smooth_own_requests(*self.own_requests(service), now)
        lacking = state.lacking_fraction(self.start)
        state.fraction = (
            lacking * state.available if state.is_known and state.room else 0
        )
        self.log_change(service, state, now)

    def reported_room(
        self,
        service: str,
        now: float,
    ) -> tuple[dict[str, int], dict[str, float]]:
        """Return all slots and the free ones of domains that tell them."""
        slots: dict[str, int] = {}
        spare: dict[str, float] = {}
        for domain in self.eligible_domains(service, now):
            reported = self.load_view.spare_slots(service, domain, now)
            if reported is not None:
                slots[domain] = self.slots(service, domain, now)
                spare[domain] = reported
        return slots, spare

    def own_requests(self, service: str) -> tuple[int, int]:
        """Return this node's requests in progress at home and elsewhere."""
        away = 0
        home = 0
        for domain in self.upstreams.by_service.get(service, {}):
            waiting = sum(
                upstream.waiting
                for upstream in self.upstreams.candidates(service, domain)
            )
            if domain == self.domain:
                home = waiting
            else:
                away += waiting
        return home, away

    def requests_at_home(self, service: str, now: float) -> float | None:
        """Return the requests in progress; None if unknown.

        Upstreams that are not serving don't count, and neither do their slots.
        """
        in_progress: float = 0
        is_known = False
        for upstream in self.serving(service, self.domain, now):
            report = self.load_view.load_of(upstream, now)
            if report is None:
                in_progress += upstream.waiting
            else:
                is_known = True
                reported = min(
                    report.in_progress, upstream.record.slots * MAX_REPORTED
                )
                in_progress += max(reported, upstream.waiting)
        return in_progress if is_known else None

    def slots(self, service: str, domain: str, now: float) -> int:
        """Return the slots of the upstreams that take all their flows."""
        return sum(
            upstream.record.slots
            for upstream in self.serving(service, domain, now)
        )

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
            and not self.is_outlier(upstream, now)
        ]

    def is_outlier(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True for an upstream that was ejected as an outlier."""
        return self.outliers is not None and self.outliers.is_ejected(
            upstream, now
        )

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
