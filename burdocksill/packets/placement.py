"""Placement of new flows on upstreams."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator
from itertools import islice
from random import Random

from burdocksill.packets.balancing import (
    SharedLoadBalancer,
    weighted_load,
)
from burdocksill.packets.fair_share import ADMITTED_URGENCY, lacking_room
from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.isolation import IsolationDetector
from burdocksill.packets.messages import Route, WeightedService
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill.packets.outliers import OutlierDetector
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.shared_load import LocalLoadOnly
from burdocksill.packets.slow_start import ColdAdmission
from burdocksill.packets.spillover import DEFAULT_START, Spillover
from burdocksill.packets.trials import TrialSchedule
from burdocksill.packets.upstreams import (
    KnownUpstream,
    RegistrationState,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Reason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.admission import ConcurrencyLimiter
    from burdocksill.packets.protocols import LoadView

# New flows spill over to other failure domains when the upstreams of the own
# one have this many requests in progress for each slot. A node sees only a part
# of the requests, so that they queue by then. Flows in the own domain survive a
# partition between the domains and cause no traffic between them.
SPILLOVER_LOAD: Final = 0.75
# An upstream in slow start needs longer for each request, and its flows stay
# after that.
COLD_LOAD_FACTOR: Final = 1.6
# Number of random candidates whose loads are compared. The best of them is
# nearly the best of all, and nodes don't all choose the same upstream.
SAMPLE_SIZE: Final = 16
# If a service has more upstreams than this, a sample of all domains is tried
# before all upstreams are ranked.
MAX_FULL_SCAN: Final = 64
# Ranks of candidates: those of a lower rank are preferred.
HEALTHY: Final = 0
# It answers, but much worse than its neighbours.
OUTLIER: Final = 1
# Its domain is suspected, and it has not answered since.
SUSPECTED: Final = 2
EJECTED: Final = 3
EXPIRED: Final = 4
RANKS: Final = 5
NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()


class PacketPlacer:
    """Choose the least loaded upstream, preferably of the own failure domain.

    Without shared loads it counts only flows and requests of this node. Nodes
    then know different loads, so they don't all choose the same upstream.
    """

    __slots__ = (
        'balancer',
        'cold',
        'domain',
        'domains_out',
        'features',
        'isolation',
        'load_view',
        'outages',
        'outliers',
        'rng',
        'spillover',
        'table',
        'trials',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        table: RoutingTable,
        upstreams: UpstreamRegistry,
        rng: Random,
        outages: DomainOutageDetector | None = None,
        load_view: LoadView | None = None,
        features: frozenset[Feature] = NO_FEATURES,
        spillover_start: float = DEFAULT_START,
    ) -> None:
        """Store the collaborators and start with all domains in service."""
        self.domain = domain
        self.table = table
        self.upstreams = upstreams
        self.rng = rng
        # Failure domains that operators have taken out of service.
        self.domains_out: set[str] = set()
        self.cold = ColdAdmission(table)
        self.features = features
        # Set where nodes report their load to each other.
        self.outliers: OutlierDetector | None = None
        self.outages: DomainOutageDetector = outages or DomainOutageDetector(
            upstreams,
        )
        self.isolation: IsolationDetector = IsolationDetector(
            domain=domain,
            domains_out=self.domains_out,
            upstreams=upstreams,
            outages=self.outages,
        )
        self.trials = TrialSchedule(
            domain=domain,
            domains_out=self.domains_out,
            isolation=self.isolation,
            rng=rng,
        )
        self.use_load_view(load_view or LocalLoadOnly(), spillover_start)

    def use_load_view(
        self,
        load_view: LoadView,
        spillover_start: float = DEFAULT_START,
    ) -> None:
        """Decide by other loads, as far as the features ask for it."""
        self.load_view = load_view
        self.balancer: SharedLoadBalancer | None = None
        self.spillover: Spillover | None = None
        if Feature.SHARED_PLACEMENT in self.features:
            self.balancer = SharedLoadBalancer(
                load_view=load_view,
                upstreams=self.upstreams,
                rng=self.rng,
            )
            self.cold.count_nodes(load_view, self.rng)
        if Feature.SPILLOVER in self.features:
            self.spillover = Spillover(
                domain=self.domain,
                domains_out=self.domains_out,
                load_view=load_view,
                upstreams=self.upstreams,
                outages=self.outages,
                rng=self.rng,
                start=spillover_start,
            )
        if self.outliers is not None:
            self.use_outliers(self.outliers)

    def use_outliers(self, outliers: OutlierDetector) -> None:
        """Let new flows avoid upstreams that serve badly."""
        outliers.load_view = self.load_view
        self.outliers = outliers
        if self.spillover is not None:
            self.spillover.outliers = outliers

    def place(
        self,
        route: Route,
        now: float,
        exclude: Container[str] = NO_EXCLUSIONS,
    ) -> KnownUpstream | Reason:
        """Return an upstream for a new flow, or why there is none."""
        urgency = self.table.urgency(route)
        reason = Reason.NO_UPSTREAM
        self.cold.track_nodes(now)
        ordered = self.in_weighted_order(route.weighted_services)
        if Feature.FAIR_ADMISSION in self.features:
            services = [weighted.service for weighted in ordered]
            lacking = lacking_room(
                self.upstreams.limiters, services, route, self.table, now
            )
            ordered = [one for one in ordered if one.service not in lacking]
            urgency = ADMITTED_URGENCY
            if lacking:
                reason = Reason.OVERLOADED
        for weighted in ordered:
            chosen = self.place_in_service(
                weighted.service,
                urgency,
                now,
                exclude,
            )
            if isinstance(chosen, KnownUpstream):
                self.load_view.record_placed(chosen, now)
                if self.balancer is not None:
                    self.balancer.record_placed(chosen, now)
                return chosen
            if chosen is Reason.OVERLOADED:
                reason = chosen
        return reason

    def limiters_of(self, route: Route) -> dict[str, ConcurrencyLimiter]:
        """Return the limiters of a route's services, by service."""
        limiters = self.upstreams.limiters
        return {
            weighted.service: limiters[weighted.service]
            for weighted in route.weighted_services
            if weighted.service in limiters
        }

    def in_weighted_order(
        self,
        weighted_services: tuple[WeightedService, ...],
    ) -> list[WeightedService]:
        """Return the services in a random order, drawn by their weights."""
        remaining = [
            weighted for weighted in weighted_services if weighted.weight > 0
        ]
        ordered: list[WeightedService] = []
        while remaining:
            weights = [weighted.weight for weighted in remaining]
            chosen = self.rng.choices(remaining, weights)[0]
            remaining.remove(chosen)
            ordered.append(chosen)
        return ordered

    def place_in_service(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
    ) -> KnownUpstream | Reason:
        """Return an upstream of a service, of the lowest rank that has one.

        Usually the own failure domain has a healthy one. Then the others are
        not looked at, because a large fleet has many of them.
        """
        if self.outliers is not None:
            self.outliers.update(service, now)
        max_rank = (
            SUSPECTED if self.trials.is_trial(self.outages, now) else HEALTHY
        )
        if max_rank == HEALTHY and self.isolation.is_isolated(now):
            fallback = self.healthy_local(service, now)
            chosen = self.first_admitting(fallback, urgency, now)
            if chosen is not None:
                return chosen
        if max_rank == HEALTHY:
            away = self.place_away(service, urgency, now, exclude)
            if away is not None:
                return away
        local = self.place_local(service, urgency, now, exclude, max_rank)
        if local is not None:
            return local
        sample = self.sample_healthy(service, now, exclude)
        chosen = self.first_admitting(sample, urgency, now)
        if isinstance(chosen, KnownUpstream):
            return chosen
        for candidates in self.by_rank(service, now, exclude):
            chosen = self.first_admitting(candidates, urgency, now)
            if chosen is not None:
                return chosen
        return Reason.NO_UPSTREAM

    def sample_healthy(
        self,
        service: str,
        now: float,
        exclude: Container[str],
    ) -> list[KnownUpstream]:
        """Return a sample of healthy upstreams, empty for a small service."""
        domains = self.upstreams.by_service.get(service, {})
        if (
            sum(len(candidates) for candidates in domains.values())
            <= MAX_FULL_SCAN
        ):
            return []
        usable = [name for name in domains if name not in self.domains_out]
        healthy = (
            upstream
            for upstream in self.in_random_order(service, usable)
            if self.upstreams.is_available(upstream, now)
            and self.rank(upstream, now, exclude) == HEALTHY
        )
        return list(islice(healthy, SAMPLE_SIZE))

    def healthy_local(self, service: str, now: float) -> list[KnownUpstream]:
        """Return the healthy upstreams of the own failure domain."""
        return [
            upstream
            for upstream in self.upstreams.available_in_domain(
                service, self.domain, now
            )
            if self.rank(upstream, now, NO_EXCLUSIONS) == HEALTHY
        ]

    def by_rank(
        self,
        service: str,
        now: float,
        exclude: Container[str],
    ) -> tuple[list[KnownUpstream], ...]:
        """Return the upstreams of all domains in service, grouped by rank."""
        ranks: tuple[list[KnownUpstream], ...] = tuple([] for _ in range(RANKS))
        for upstream in self.upstreams.available_in_service(service, now):
            if upstream.record.domain not in self.domains_out:
                ranks[self.rank(upstream, now, exclude)].append(upstream)
        return ranks

    def first_admitting(
        self,
        candidates: list[KnownUpstream],
        urgency: int,
        now: float,
    ) -> KnownUpstream | Reason | None:
        """Return the best candidate that admits the flow.

        Returns OVERLOADED if a candidate was at its limit, so that the caller
        does not fall back on a higher rank: an ejected upstream is no
        substitute for a healthy one that is full. Returns None otherwise.
        """
        reason = None
        for upstream in self.by_preference(candidates, now):
            if not upstream.admits(urgency):
                reason = Reason.OVERLOADED
            elif not upstream.is_cold(now) or self.cold.admit(upstream, now):
                return upstream
        return reason

    def place_away(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
    ) -> KnownUpstream | None:
        """Return an upstream of another domain if the flow should leave."""
        if self.spillover is None or self.domain in self.domains_out:
            return None
        domain = self.spillover.choose_domain(service, now)
        if domain is None:
            return None
        chosen = self.place_in_domain(service, domain, urgency, now, exclude)
        if chosen is not None:
            self.spillover.record_placed(chosen)
        return chosen

    def place_local(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
        max_rank: int = HEALTHY,
    ) -> KnownUpstream | None:
        """Return an upstream of the own domain that has capacity, or None."""
        if self.domain in self.domains_out:
            return None
        trial = self.choose_outlier(service, urgency, now, exclude)
        if trial is not None:
            return trial
        may_queue = self.spillover is not None and self.spillover.is_known(
            service, now
        )
        return self.place_in_domain(
            service,
            self.domain,
            urgency,
            now,
            exclude,
            max_rank=max_rank,
            may_queue=may_queue,
        )

    def choose_outlier(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
    ) -> KnownUpstream | None:
        """Return an outlier that is tried with this flow, usually None."""
        if self.outliers is None:
            return None
        trial = self.outliers.choose_trial(service, now)
        if trial is None or self.rank(trial, now, exclude) != OUTLIER:
            return None
        is_usable = (
            not trial.is_cold(now)
            and trial.admits(urgency)
            and self.upstreams.is_available(trial, now)
        )
        return trial if is_usable else None

    def place_in_domain(
        self,
        service: str,
        domain: str,
        urgency: int,
        now: float,
        exclude: Container[str],
        *,
        max_rank: int = HEALTHY,
        may_queue: bool = False,
    ) -> KnownUpstream | None:
        """Return an upstream of a domain that has capacity, or None.

        With `may_queue` upstreams that queue as this node sees them count too.
        """

        def is_healthy(upstream: KnownUpstream) -> bool:
            return self.rank(upstream, now, NO_EXCLUSIONS) == HEALTHY

        def is_usable(upstream: KnownUpstream) -> bool:
            if upstream.is_cold(now) or not upstream.admits(urgency):
                return False
            return (
                self.upstreams.is_available(upstream, now)
                and self.rank(upstream, now, exclude) <= max_rank
                and (may_queue or not is_queueing(upstream))
            )

        if self.balancer is not None and max_rank == HEALTHY:
            chosen = self.balancer.choose(
                service, domain, now, is_healthy, is_usable
            )
            if chosen is not None:
                return chosen
        candidates = self.in_random_order(service, [domain])
        found = list(islice(filter(is_usable, candidates), SAMPLE_SIZE))
        ordered = self.by_preference(found, now)
        return ordered[0] if ordered else None

    def in_random_order(
        self,
        service: str,
        domains: Iterable[str],
    ) -> Iterator[KnownUpstream]:
        """Yield the candidates of domains in a random order, drawn lazily."""
        remaining = [
            upstream
            for domain in domains
            for upstream in self.upstreams.candidates(service, domain)
        ]
        while remaining:
            number = int(self.rng.random() * len(remaining))
            chosen = remaining[number]
            remaining[number] = remaining[-1]
            remaining.pop()
            yield chosen

    def rank(
        self,
        upstream: KnownUpstream,
        now: float,
        exclude: Container[str],
    ) -> int:
        """Return the rank of an upstream."""
        if (
            self.upstreams.registration_state(upstream, now)
            is RegistrationState.EXPIRED
        ):
            return EXPIRED
        if upstream.record.name in exclude or upstream.health.is_ejected(now):
            return EJECTED
        if self.outages.is_upstream_suspected(upstream, now):
            return SUSPECTED
        if self.outliers is not None and self.outliers.is_ejected(
            upstream, now
        ):
            return OUTLIER
        return HEALTHY

    def by_preference(
        self,
        candidates: list[KnownUpstream],
        now: float,
    ) -> list[KnownUpstream]:
        """Sort by load, the own failure domain first unless requests queue."""
        keyed = [
            (self.load(upstream, now), self.rng.random(), upstream)
            for upstream in candidates
        ]
        keyed.sort(key=lambda one: one[:2])
        ordered = [upstream for _, _, upstream in keyed]
        local = [one for one in ordered if one.record.domain == self.domain]
        remote = [one for one in ordered if one.record.domain != self.domain]
        if (
            local
            and remote
            and is_queueing(local[0])
            and not is_queueing(remote[0])
        ):
            return [*remote, *local]
        return [*local, *remote]

    def load(self, upstream: KnownUpstream, now: float) -> float:
        """Return the weighted flows and requests for each slot."""
        load = (
            weighted_load(upstream.flows, upstream.waiting)
            / upstream.record.slots
        )
        if upstream.is_cold(now):
            load = (load + 1) * COLD_LOAD_FACTOR
        return load


def is_queueing(upstream: KnownUpstream) -> bool:
    """Return True when this node's requests show that an upstream queues."""
    return upstream.waiting > upstream.record.slots * SPILLOVER_LOAD
