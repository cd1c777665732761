"""Members of the fleet, as other packages see them."""

import enum
from collections.abc import Callable
from functools import lru_cache
from typing import Final, Protocol

import attrs

from burdocksill.flows.cookie import name_tag
from burdocksill.network.protocols import Address

# Larger than the fleet; each heartbeat looks up a few dozen tags.
TAGS_KEPT: Final = 65536
cached_tag = lru_cache(maxsize=TAGS_KEPT)(name_tag)


class MemberState(enum.StrEnum):
    """State of an entry VM."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen(kw_only=True)
class Member:
    """Describe an entry VM; incarnation and state don't affect equality."""

    name: str
    domain: str
    peer_address: Address
    incarnation: int = attrs.field(default=0, eq=False)
    state: MemberState = attrs.field(default=MemberState.ALIVE, eq=False)

    @property
    def tag(self) -> bytes:
        """Return the short hash by which cookies name the VM."""
        return cached_tag(self.name)


class MemberView(Protocol):
    """Provide the members as this VM knows them."""

    @property
    def local_member(self) -> Member:
        """Return the member of this VM."""

    def live(self, domain: str) -> tuple[Member, ...]:
        """Return the members that may own upstreams, sorted by name.

        Alive and suspect ones count; leaving and dead ones do not.
        """

    def leaving(self, domain: str) -> tuple[Member, ...]:
        """Return the members that are handing over before they stop."""

    def find(self, tag: bytes) -> Member | None:
        """Return a member that packets can be relayed to, leaving included."""

    def quorate(self) -> bool:
        """Return True while a majority of the domain answers this VM."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of members."""
