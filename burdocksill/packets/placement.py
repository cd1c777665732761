"""Choose the upstream of a new flow."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator
from itertools import islice
from random import Random

from burdocksill.packets.isolation import IsolationDetector
from burdocksill.packets.messages import Route, WeightedService
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import (
    KnownUpstream,
    Presence,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Reason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.admission import ConcurrencyLimiter

# A new flow leaves the own failure domain when the upstreams there have this
# many requests in progress for each slot, as far as this node sees: it sees a
# part of them, so they queue by then. A flow that stays at home outlives a cut
# between the domains and pays for no bytes between them.
SPILL_IN_PROGRESS: Final = 0.75
# A cold upstream needs longer for each request, and its flows outlast that.
COLD_LOAD_FACTOR: Final = 1.6
# A request in progress keeps a slot now; an open flow comes back later.
WAITING_WEIGHT: Final = 2
# Among more than these, a random sample is compared: its best is nearly the
# best of all, and nodes don't all run to the same upstream.
MOST_COMPARED: Final = 16
# Above so many of a service a sample of all domains is looked at before all.
MOST_RANKED: Final = 64
# Nodes do not know each other. A cold upstream's limit is shared as if there
# were this many. Larger fleets push it further than they should; what carries
# those is on the capacity page.
ASSUMED_NODES: Final = 16
# Ranks of candidates: a lower one is taken whenever there is any.
WELL: Final = 0
# Its domain has lost many upstreams, and it has not answered since.
SUSPECTED: Final = 1
ASIDE: Final = 2
LAPSED: Final = 3
RANKS: Final = 4
# The part of the new flows that a suspected domain gets as a trial: what is
# back is found by one of them, and the rest reach an upstream that answers.
TRIAL_SHARE: Final = 1 / 16
NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()


class ColdBudget:
    """Space the new flows that one node gives to a cold upstream.

    A second's worth at once would be allowed to each node alone, and together
    they would push the upstream over.
    """

    __slots__ = ('next_at',)

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.next_at: dict[str, float] = {}

    def take(self, name: str, now: float, per_second: float) -> bool:
        """Count a flow if the one before it lies back far enough."""
        if now < self.next_at.get(name, 0):
            return False
        self.next_at[name] = now + 1 / per_second
        return True


class PacketPlacer:
    """Choose the least loaded upstream of the own failure domain.

    Load is what this node itself sees open. Nodes do not share it, so they
    don't all run to the same upstream at once.
    """

    __slots__ = (
        'budget',
        'domain',
        'domains_out',
        'isolation',
        'nodes',
        'outages',
        'rng',
        'table',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        table: RoutingTable,
        upstreams: UpstreamRegistry,
        rng: Random,
        budget: ColdBudget | None = None,
        nodes: int = ASSUMED_NODES,
        outages: DomainOutageDetector | None = None,
    ) -> None:
        """Take all fields."""
        self.domain = domain
        self.table = table
        self.upstreams = upstreams
        self.rng = rng
        # Failure domains that operators have taken out.
        self.domains_out: set[str] = set()
        self.budget: ColdBudget = ColdBudget() if budget is None else budget
        # How many nodes may send to the same cold upstream.
        self.nodes = nodes
        self.outages: DomainOutageDetector = outages or DomainOutageDetector(
            upstreams
        )
        self.isolation: IsolationDetector = IsolationDetector(
            domain=domain,
            domains_out=self.domains_out,
            upstreams=upstreams,
            outages=self.outages,
        )

    def place(
        self,
        route: Route,
        now: float,
        exclude: Container[str] = NO_EXCLUSIONS,
    ) -> KnownUpstream | Reason:
        """Return an upstream for a new flow, or why there is none."""
        urgency = self.table.least_urgent - route.priority
        reason = Reason.NO_UPSTREAM
        for share in self.shuffled(route.weighted_services):
            chosen = self.place_at(share.service, urgency, now, exclude)
            if isinstance(chosen, KnownUpstream):
                return chosen
            if chosen is Reason.OVERLOADED:
                reason = chosen
        return reason

    def limiters_of(self, route: Route) -> dict[str, ConcurrencyLimiter]:
        """Return what is in progress on the services of a route."""
        limiters = self.upstreams.limiters
        return {
            share.service: limiters[share.service]
            for share in route.weighted_services
            if share.service in limiters
        }

    def shuffled(
        self, weighted_services: tuple[WeightedService, ...]
    ) -> list[WeightedService]:
        """Return the services in a random order that follows the weights."""
        rest = [share for share in weighted_services if share.weight > 0]
        ordered: list[WeightedService] = []
        while rest:
            weights = [share.weight for share in rest]
            chosen = self.rng.choices(rest, weights)[0]
            rest.remove(chosen)
            ordered.append(chosen)
        return ordered

    def place_at(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
    ) -> KnownUpstream | Reason:
        """Return an upstream of a service, the best rank first.

        Mostly the own failure domain has one that is well, and then nobody
        looks at the others, of which a large fleet has many.
        """
        worst = SUSPECTED if self.tries_suspected(now) else WELL
        if worst == WELL and self.isolation.is_isolated(now):
            home = self.home(service, now)
            chosen = self.first_open(home, urgency, now)
            if chosen is not None:
                return chosen
        local = self.place_local(service, urgency, now, exclude, worst)
        if local is not None:
            return local
        some = self.some_well(service, now, exclude)
        chosen = self.first_open(some, urgency, now)
        if isinstance(chosen, KnownUpstream):
            return chosen
        for candidates in self.ranked(service, now, exclude):
            chosen = self.first_open(candidates, urgency, now)
            if chosen is not None:
                return chosen
        return Reason.NO_UPSTREAM

    def some_well(
        self,
        service: str,
        now: float,
        exclude: Container[str],
    ) -> list[KnownUpstream]:
        """Return some of the best rank, none where there are few in all."""
        domains = self.upstreams.by_service.get(service, {})
        if sum(len(placed) for placed in domains.values()) <= MOST_RANKED:
            return []
        usable = [name for name in domains if name not in self.domains_out]
        well = (
            known
            for known in self.drawn(service, usable)
            if self.upstreams.is_available(known, now)
            and self.rank(known, now, exclude) == WELL
        )
        return list(islice(well, MOST_COMPARED))

    def tries_suspected(self, now: float) -> bool:
        """Return True for the few new flows that test a suspected domain.

        A domain that is cut off tests the others.
        """
        in_trial = self.outages.is_domain_suspected(self.domain, now)
        if not in_trial and self.domain in self.domains_out:
            in_trial = self.isolation.is_suspected(now)
        return in_trial and self.rng.random() < TRIAL_SHARE

    def home(self, service: str, now: float) -> list[KnownUpstream]:
        """Return the own domain's upstreams that nothing speaks against."""
        return [
            known
            for known in self.upstreams.available_in_domain(
                service, self.domain, now
            )
            if self.rank(known, now, NO_EXCLUSIONS) == WELL
        ]

    def ranked(
        self,
        service: str,
        now: float,
        exclude: Container[str],
    ) -> tuple[list[KnownUpstream], ...]:
        """Return the upstreams of all domains, by what speaks against them."""
        ranks: tuple[list[KnownUpstream], ...] = tuple([] for _ in range(RANKS))
        for known in self.upstreams.available_in_service(service, now):
            if known.record.domain not in self.domains_out:
                ranks[self.rank(known, now, exclude)].append(known)
        return ranks

    def first_open(
        self,
        candidates: list[KnownUpstream],
        urgency: int,
        now: float,
    ) -> KnownUpstream | Reason | None:
        """Return the best that has room, OVERLOADED where only that lacks.

        Where those that are well have no room, one that was put aside for its
        silence is no way out.
        """
        reason = None
        for known in self.by_preference(candidates, now):
            if not known.admits(urgency):
                reason = Reason.OVERLOADED
            elif not known.is_cold(now) or self.take_cold(known, now):
                return known
        return reason

    def place_local(
        self,
        service: str,
        urgency: int,
        now: float,
        exclude: Container[str],
        worst: int = WELL,
    ) -> KnownUpstream | None:
        """Return a warm upstream of the own domain that does not queue."""
        if self.domain in self.domains_out:
            return None
        fitting = (
            known
            for known in self.drawn(service, [self.domain])
            if self.upstreams.is_available(known, now)
            and self.rank(known, now, exclude) <= worst
            and has_capacity(known, urgency, now)
        )
        found = list(islice(fitting, MOST_COMPARED))
        ordered = self.by_preference(found, now)
        return ordered[0] if ordered else None

    def drawn(
        self,
        service: str,
        domains: Iterable[str],
    ) -> Iterator[KnownUpstream]:
        """Return upstreams in a random order, drawn as they are asked for."""
        rest = [
            known
            for domain in domains
            for known in self.upstreams.candidates(service, domain)
        ]
        while rest:
            number = int(self.rng.random() * len(rest))
            chosen = rest[number]
            rest[number] = rest[-1]
            rest.pop()
            yield chosen

    def rank(
        self,
        known: KnownUpstream,
        now: float,
        exclude: Container[str],
    ) -> int:
        """Return how much speaks against an upstream."""
        if self.upstreams.presence(known, now) is Presence.EXPIRED:
            return LAPSED
        if known.record.name in exclude or known.health.is_ejected(now):
            return ASIDE
        return (
            SUSPECTED
            if self.outages.is_upstream_suspected(known, now)
            else WELL
        )

    def by_preference(
        self,
        candidates: list[KnownUpstream],
        now: float,
    ) -> list[KnownUpstream]:
        """Sort by load, the own failure domain first unless it queues."""
        keyed = [
            (self.load(known, now), self.rng.random(), known)
            for known in candidates
        ]
        keyed.sort(key=lambda one: one[:2])
        ordered = [known for _, _, known in keyed]
        local = [one for one in ordered if one.record.domain == self.domain]
        remote = [one for one in ordered if one.record.domain != self.domain]
        if local and remote and queues(local[0]) and not queues(remote[0]):
            return [*remote, *local]
        return [*local, *remote]

    def load(self, known: KnownUpstream, now: float) -> float:
        """Return the flows for each slot: long flows keep coming back."""
        load = (
            known.flows + known.waiting * WAITING_WEIGHT
        ) / known.record.slots
        if known.is_cold(now):
            load = (load + 1) * COLD_LOAD_FACTOR
        return load

    def cold_limit(self, service: str) -> float:
        """Return this node's share of what a cold upstream may get."""
        limit = self.table.limits(service).cold_per_second
        return limit / max(1, self.nodes) if limit else float('inf')

    def take_cold(self, known: KnownUpstream, now: float) -> bool:
        """Count a new flow on a cold upstream if it can bear it."""
        limit = self.cold_limit(known.record.service)
        if limit == float('inf'):
            return True
        return self.budget.take(known.record.name, now, limit)


def has_capacity(known: KnownUpstream, urgency: int, now: float) -> bool:
    """Return True when it is warm and would answer one more flow at once."""
    return (
        not known.is_cold(now) and not queues(known) and known.admits(urgency)
    )


def queues(known: KnownUpstream) -> bool:
    """Return True when requests wait at an upstream, as far as is seen."""
    return known.waiting > known.record.slots * SPILL_IN_PROGRESS
