"""Choose the upstream of a new flow."""

from random import Random
from typing import Final, Protocol

import attrs

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.ownership.rendezvous import owner_of

NOTHING_AVOIDED: Final[frozenset[str]] = frozenset()


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
        avoid: frozenset[str] = NOTHING_AVOIDED,
    ) -> Placement | None:
        """Return a choice outside the upstreams to avoid, None without one."""

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""


@attrs.define(kw_only=True)
class RandomPlacer:
    """Choose at random, the own failure domain first."""

    members: MemberView
    store: DocumentStore
    rng: Random

    def place(
        self,
        document: ServiceDocument,
        *,
        avoid: frozenset[str] = NOTHING_AVOIDED,
    ) -> Placement | None:
        """Return a choice outside the upstreams to avoid, None without one."""
        usable = [
            upstream
            for upstream in document.upstreams
            if upstream.name not in avoid and self.usable(upstream)
        ]
        home = self.members.itself.domain
        near = [upstream for upstream in usable if upstream.domain == home]
        for group in (near, usable):
            shuffled = self.rng.sample(group, len(group))
            for upstream in shuffled:
                owner = self.owner(document.service, upstream)
                if owner is not None:
                    return Placement(upstream=upstream, owner=owner)
        return None

    def usable(self, upstream: Upstream) -> bool:
        """Return True for an upstream that may get new flows."""
        return not upstream.draining and not self.store.is_out(upstream.domain)

    def owner(self, service: str, upstream: Upstream | None) -> Member | None:
        """Return the live member that owns an upstream."""
        if upstream is None:
            return None
        members = self.members.live(upstream.domain)
        return owner_of(members, f'{service}/{upstream.name}')
