"""Choose the upstream of a new flow."""

from collections.abc import Container
from random import Random
from typing import Final

import attrs

from burdocksill.packets.messages import Route, Share
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import KnownUpstream, Presence, Upstreams

# A new flow leaves the own failure domain when the upstream chosen there has
# this many requests in progress for each slot, as far as this node sees: it
# sees a part of them, so the upstream queues by then. A flow that stays at
# home outlives a cut between the domains and pays for no bytes between them.
SPILL_IN_PROGRESS: Final = 1.5
# A cold upstream needs longer for each request, and its flows outlast that.
COLD_LOAD_FACTOR: Final = 1.6
# Among more than these, a random sample is compared: the best of 16 is among
# the best 6 % in most draws, and nodes don't all run to the same upstream.
MOST_COMPARED: Final = 16
# Nodes do not know each other. A cold upstream's limit is shared as if there
# were this many: fleets have 7 to 9 today, and more of them are added at times.
# Larger ones push it further than they should; what carries those is on the
# capacity page.
ASSUMED_NODES: Final = 16
# Ranks of candidates: a lower one is taken whenever there is any.
WELL: Final = 0
ASIDE: Final = 1
LAPSED: Final = 2
NOTHING_AVOIDED: Final[frozenset[str]] = frozenset()


@attrs.define(kw_only=True, eq=False, repr=False)
class ColdBudget:
    """Space the new flows that one node gives to a cold upstream.

    A second's worth at once would be allowed to each node alone, and together
    they would push the upstream over.
    """

    next_at: dict[str, float] = attrs.field(factory=dict)

    def take(self, name: str, now: float, per_second: float) -> bool:
        """Count a flow if the one before it lies back far enough."""
        if now < self.next_at.get(name, 0):
            return False
        self.next_at[name] = now + 1 / per_second
        return True


@attrs.define(kw_only=True, eq=False, repr=False)
class PacketPlacer:
    """Choose the least loaded upstream of the own failure domain.

    Load is what this node itself sees open. Nodes do not share it, so they
    don't all run to the same upstream at once.
    """

    domain: str
    table: RoutingTable
    upstreams: Upstreams
    rng: Random
    # Failure domains that operators have taken out.
    out: set[str] = attrs.field(factory=set)
    budget: ColdBudget = attrs.field(factory=ColdBudget)
    # How many nodes may send to the same cold upstream.
    nodes: int = ASSUMED_NODES

    def place(
        self,
        route: Route,
        now: float,
        avoid: Container[str] = NOTHING_AVOIDED,
    ) -> KnownUpstream | None:
        """Return an upstream for a new flow, None when there is none."""
        for share in self.shuffled(route.shares):
            chosen = self.place_at(share.service, now, avoid)
            if chosen is not None:
                return chosen
        return None

    def shuffled(self, shares: tuple[Share, ...]) -> list[Share]:
        """Return the services in a random order that follows the weights."""
        rest = [share for share in shares if share.weight > 0]
        ordered: list[Share] = []
        while rest:
            weights = [share.weight for share in rest]
            chosen = self.rng.choices(rest, weights)[0]
            rest.remove(chosen)
            ordered.append(chosen)
        return ordered

    def place_at(
        self,
        service: str,
        now: float,
        avoid: Container[str],
    ) -> KnownUpstream | None:
        """Return an upstream of a service, the best rank first.

        Mostly the own failure domain has one that is well, and then nobody
        looks at the others: an opening among 10,000 upstreams in 14 domains
        costs 0.1 ms instead of 1 ms (tools/packet_cost.py).
        """
        near = self.place_near(service, now, avoid)
        if near is not None:
            return near
        ranks: tuple[list[KnownUpstream], ...] = ([], [], [])
        for known in self.upstreams.of_service(service, now):
            if known.record.domain not in self.out:
                ranks[self.rank(known, now, avoid)].append(known)
        limit = self.cold_limit(service)
        for candidates in ranks:
            for known in self.by_preference(candidates, now):
                if not known.is_cold(now) or self.take_cold(known, now, limit):
                    return known
        return None

    def place_near(
        self,
        service: str,
        now: float,
        avoid: Container[str],
    ) -> KnownUpstream | None:
        """Return a warm upstream of the own domain that does not queue."""
        if self.domain in self.out:
            return None
        found = [
            known
            for known in self.upstreams.of_domain(service, self.domain, now)
            if not known.is_cold(now)
            and self.rank(known, now, avoid) == WELL
            and not queues(known)
        ]
        if len(found) > MOST_COMPARED:
            found = self.rng.sample(found, MOST_COMPARED)
        ordered = self.by_preference(found, now)
        return ordered[0] if ordered else None

    def rank(
        self,
        known: KnownUpstream,
        now: float,
        avoid: Container[str],
    ) -> int:
        """Return how much speaks against an upstream."""
        if self.upstreams.presence(known, now) is Presence.LAPSED:
            return LAPSED
        if known.record.name in avoid or known.health.is_aside(now):
            return ASIDE
        return WELL

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
        near = [one for one in ordered if one.record.domain == self.domain]
        far = [one for one in ordered if one.record.domain != self.domain]
        if near and far and queues(near[0]) and not queues(far[0]):
            return [*far, *near]
        return [*near, *far]

    def load(self, known: KnownUpstream, now: float) -> float:
        """Return the flows for each slot: long flows keep coming back."""
        load = known.flows / known.record.slots
        if known.is_cold(now):
            load = (load + 1) * COLD_LOAD_FACTOR
        return load

    def cold_limit(self, service: str) -> float:
        """Return this node's share of what a cold upstream may get."""
        limit = self.table.limits(service).cold_per_second
        return limit / max(1, self.nodes) if limit else float('inf')

    def take_cold(
        self,
        known: KnownUpstream,
        now: float,
        limit: float,
    ) -> bool:
        """Count a new flow on a cold upstream if it can bear it."""
        if limit == float('inf'):
            return True
        return self.budget.take(known.record.name, now, limit)


def queues(known: KnownUpstream) -> bool:
    """Return True when requests wait at an upstream, as far as is seen."""
    return known.waiting > known.record.slots * SPILL_IN_PROGRESS
