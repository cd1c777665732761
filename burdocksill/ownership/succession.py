"""Policies that choose the successor when an owner releases an upstream."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from burdocksill.membership.protocols import Member
from burdocksill.ownership.rendezvous import owner_of


class SuccessorPolicy(Protocol):
    """Choose the successor of an upstream's owner."""

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return the successor; None means that the epochs are sealed."""


@attrs.define(kw_only=True)
class RendezvousSuccessorPolicy:
    """Choose the member that all other VMs consider the new owner.

    Without a handover the new owner does not know the requests of the
    upstream's flows and would report "may have run" in a planned change.
    """

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return the member with the highest score."""
        return owner_of(members, hash_key)


@attrs.define(kw_only=True)
class NoSuccessorPolicy:
    """Choose no successor: baseline without handover, for control runs."""

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return None, the owner among no members."""
        return owner_of((), hash_key)
