"""Choose the upstream of a new flow."""

import math
from random import Random
from typing import Final, Protocol

import attrs

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.ownership.rendezvous import owner_of
from burdocksill.upstreams.hints import HintTable, ReceivedHint

# Another failure domain is taken only when its upstream has this much less
# load than the best of our own: near ones are kept while they are no worse.
SPILLOVER_MARGIN: Final = 0.05
SAMPLE_SIZE: Final = 2
# A bound on load that every upstream is below.
NO_LOAD_LIMIT: Final = math.inf
NO_EXCLUSIONS: Final[frozenset[str]] = frozenset()


@attrs.frozen(kw_only=True)
class Placement:
    """Hold the upstream chosen for a flow and the VM that owns it."""

    upstream: Upstream
    owner: Member


class Placer(Protocol):
    """Choose an upstream; the owner has the last word."""

    def place(
        self,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
        max_load: float = NO_LOAD_LIMIT,
    ) -> Placement | None:
        """Return a choice outside the upstreams to avoid, None without one.

        With `max_load`, only an upstream known to have less load will do.
        """

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""


@attrs.frozen(kw_only=True)
class Candidate:
    """Hold an upstream that could be chosen and its load as far as known."""

    placement: Placement
    load: float
    # True when a fresh hint says that there is room for new flows.
    confirmed_capacity: bool


@attrs.define(kw_only=True)
class TwoChoicePlacer:
    """Choose the less loaded of two random upstreams, near ones first.

    Hints are stale. The least loaded of all would be hit by every VM at once
    until the next hint; of two random ones it is not. What this VM placed
    since the hint is added, times the VMs that do the same meanwhile.
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
        """Return a choice outside the upstreams to avoid, None without one."""
        self.hints.refresh_local()
        found = self.candidates(document, exclude)
        if math.isfinite(max_load):
            found = [
                one
                for one in found
                if one.confirmed_capacity and one.load < max_load
            ]
        local_domain = self.members.local_member.domain
        local = self.choose(
            [
                one
                for one in found
                if one.placement.upstream.domain == local_domain
            ],
        )
        remote = self.choose(
            [
                one
                for one in found
                if one.placement.upstream.domain != local_domain
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
        """Return the better of two at random, None without any."""
        picked = self.rng.sample(found, min(SAMPLE_SIZE, len(found)))
        return min(picked, key=lambda one: one.load, default=None)

    def candidates(
        self,
        document: ServiceDocument,
        exclude: frozenset[str],
    ) -> list[Candidate]:
        """Return what may be chosen: those with room, else all usable."""
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
            held = self.hints.find(document.service, upstream.name)
            candidate = Candidate(
                placement=Placement(upstream=upstream, owner=owner),
                load=self.load(held, upstream),
                confirmed_capacity=held is not None and has_capacity(held),
            )
            usable.append(candidate)
            if has_capacity(held):
                with_capacity.append(candidate)
        return with_capacity or usable

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""
        return find_owner(self.members, service, upstream)

    def load(self, held: ReceivedHint | None, upstream: Upstream) -> float:
        """Return an upstream's flows for each of its slots."""
        if held is None:
            return 0
        placers = max(1, len(self.members.live(upstream.domain)))
        flows = held.hint.flows + held.placed * placers
        # A cold upstream counts in full: flows outlast its ramp by hours.
        return flows / upstream.slots


@attrs.define(kw_only=True)
class RandomPlacer:
    """Choose at random, near ones first: the baseline of the control runs."""

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
        """Return a choice outside the upstreams to avoid, None without one."""
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
    """Return True unless the document or the operators say otherwise."""
    return not upstream.draining and not store.is_out(upstream.domain)


def has_capacity(held: ReceivedHint | None) -> bool:
    """Return True unless a hint says that new flows are not wanted."""
    if held is None:
        return True
    hint = held.hint
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
