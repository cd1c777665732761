"""Placement of new flows on upstreams."""

import math
from random import Random
from typing import Final, Protocol

import attrs

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.ownership.rendezvous import owner_of
from burdocksill.upstreams.hints import HintTable, ReceivedHint

# Another failure domain is chosen only if its upstream has less load than the
# best local candidate by this share, so that flows stay local at equal load.
SPILLOVER_MARGIN: Final = 0.05
SAMPLE_SIZE: Final = 2
# A bound that the load of every upstream is below.
NO_LOAD_LIMIT: Final = math.inf
NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()


@attrs.frozen(kw_only=True)
class Placement:
    """Hold the upstream chosen for a flow and the owner of the upstream."""

    upstream: Upstream
    owner: Member


class Placer(Protocol):
    """Choose an upstream for a flow; its owner may reroute or refuse it."""

    def place(
        self,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
        max_load: float = NO_LOAD_LIMIT,
    ) -> Placement | None:
        """Return a placement outside the excluded upstreams, if there is any.

        A finite `max_load` admits only upstreams known to have less load.
        """

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold an upstream that could be chosen and its last known load."""

    placement: Placement
    load: float
    # True if a fresh hint reports capacity for new flows.
    confirmed_capacity: bool


@attrs.define(kw_only=True)
class TwoChoicePlacer:
    """Choose the less loaded of two random upstreams, local ones first.

    Hints are stale: until the next hint, all VMs would choose the upstream
    with the least load at once. Choosing between two random ones avoids this.
    The flows that this VM has placed since the hint are added to the load,
    times the number of VMs that place flows as well.
    """

    members: MemberView
    store: DocumentStore
    rng: Random
    hints: HintTable

    def place(
        self,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
        max_load: float = NO_LOAD_LIMIT,
    ) -> Placement | None:
        """Return a placement with free capacity if any has it, else any."""
        self.hints.refresh_local()
        found = self.candidates(document, exclude)
        if math.isfinite(max_load):
            found = [
                candidate
                for candidate in found
                if candidate.confirmed_capacity and candidate.load < max_load
            ]
        local_domain = self.members.local_member.domain
        local = self.choose(
            [
                candidate
                for candidate in found
                if candidate.placement.upstream.domain == local_domain
            ],
        )
        remote = self.choose(
            [
                candidate
                for candidate in found
                if candidate.placement.upstream.domain != local_domain
            ],
        )
        chosen = local or remote
        if (
            local
            and remote
            and local.load * (1 - SPILLOVER_MARGIN) > remote.load
        ):
            chosen = remote
        if chosen is None:
            return None
        name = chosen.placement.upstream.name
        self.hints.record_placement(document.service, name)
        return chosen.placement

    def choose(self, found: list[Candidate]) -> Candidate | None:
        """Return the less loaded of two random candidates, None without any."""
        sampled = self.rng.sample(found, min(SAMPLE_SIZE, len(found)))
        return min(sampled, key=lambda candidate: candidate.load, default=None)

    def candidates(
        self,
        document: ServiceDocument,
        exclude: frozenset[str],
    ) -> list[Candidate]:
        """Return the usable upstreams with capacity, else all usable ones."""
        with_capacity: list[Candidate] = []
        usable: list[Candidate] = []
        for upstream in document.upstreams:
            if upstream.name in exclude or not accepts_new_flows(
                self.store, upstream
            ):
                continue
            owner = find_owner(self.members, document.service, upstream)
            if owner is None:
                continue
            received = self.hints.find(document.service, upstream.name)
            candidate = Candidate(
                placement=Placement(upstream=upstream, owner=owner),
                load=self.load(received, upstream),
                confirmed_capacity=received is not None
                and has_capacity(received),
            )
            usable.append(candidate)
            if has_capacity(received):
                with_capacity.append(candidate)
        return with_capacity or usable

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""
        return find_owner(self.members, service, upstream)

    def load(self, received: ReceivedHint | None, upstream: Upstream) -> float:
        """Return an upstream's flows per slot, 0 without a hint."""
        if received is None:
            return 0
        placers = max(1, len(self.members.live(upstream.domain)))
        flows = received.hint.flows + received.placed * placers
        # A cold upstream counts with all its slots, since flows outlast its
        # slow start by hours.
        return flows / upstream.slots


@attrs.define(kw_only=True)
class RandomPlacer:
    """Choose at random, local ones first: baseline for control runs."""

    members: MemberView
    store: DocumentStore
    rng: Random

    def place(
        self,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
        max_load: float = NO_LOAD_LIMIT,
    ) -> Placement | None:
        """Return a random placement, None for a finite `max_load`."""
        if math.isfinite(max_load):
            return None
        usable = [
            upstream
            for upstream in document.upstreams
            if upstream.name not in exclude
            and accepts_new_flows(self.store, upstream)
        ]
        local_domain = self.members.local_member.domain
        local = [
            upstream for upstream in usable if upstream.domain == local_domain
        ]
        for group in (local, usable):
            shuffled = self.rng.sample(group, len(group))
            for upstream in shuffled:
                owner = find_owner(self.members, document.service, upstream)
                if owner is not None:
                    return Placement(upstream=upstream, owner=owner)
        return None

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""
        return find_owner(self.members, service, upstream)


def accepts_new_flows(store: DocumentStore, upstream: Upstream) -> bool:
    """Return True unless the upstream drains or its domain is out."""
    return not upstream.draining and not store.is_out(upstream.domain)


def has_capacity(received: ReceivedHint | None) -> bool:
    """Return True unless a hint reports no capacity for new flows."""
    if received is None:
        return True
    hint = received.hint
    return not hint.leaving and not (hint.cold and hint.free_slots == 0)


def find_owner(
    members: MemberView,
    service: str,
    upstream: Upstream | None,
) -> Member | None:
    """Return the live member that owns an upstream."""
    if upstream is None:
        return None
    live = members.live(upstream.domain)
    return owner_of(live, f'{service}/{upstream.name}')
