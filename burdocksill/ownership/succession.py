"""Choose who takes over an upstream when its owner lets it go."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from burdocksill.membership.protocols import Member
from burdocksill.ownership.rendezvous import owner_of


class SuccessorPolicy(Protocol):
    """Choose the heir of an upstream."""

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return the heir, None when the epochs are sealed instead."""


@attrs.define(kw_only=True)
class RendezvousSuccessorPolicy:
    """Hand over to the member that every other VM takes for the new owner.

    Without a handover every flow of the upstream meets a VM that does not
    know its requests, and is told "may have run" in a change that was planned.
    """

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return the member with the highest score."""
        return owner_of(members, hash_key)


@attrs.define(kw_only=True)
class NoSuccessorPolicy:
    """Hand over to nobody: the naive baseline of the control runs."""

    def choose(self, members: Sequence[Member], hash_key: str) -> Member | None:
        """Return the owner of an empty domain: nobody."""
        return owner_of((), hash_key)
