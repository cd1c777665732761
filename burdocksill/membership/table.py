"""What this VM believes of every member, and which belief wins."""

import logging
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.membership.protocols import Member, MemberState

# Of two beliefs with the same incarnation the higher rank wins; only the
# member itself starts a new incarnation.
RANKS: Final[Mapping[MemberState, int]] = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    }
)
DOUBTED: Final = frozenset((MemberState.SUSPECT, MemberState.DEAD))
OWNING: Final = frozenset((MemberState.ALIVE, MemberState.SUSPECT))

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class KnownMember:
    """Hold the belief on one member and when we heard it ourselves."""

    member: Member
    since: float
    heard_at: float = -math.inf
    # It announced its leave, and nothing else was heard of it since.
    left: bool = False

    @property
    def state(self) -> MemberState:
        """Return what is believed of the member."""
        return self.member.state


@attrs.define(kw_only=True)
class MemberTable:
    """Merge beliefs and tell listeners when the members change."""

    local_member: Member
    known: dict[bytes, KnownMember] = attrs.field(factory=dict)
    listeners: list[Callable[[], None]] = attrs.field(factory=list)
    owning: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)
    # Suspect and dead members, so that no tick looks at the whole fleet.
    doubted: set[bytes] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Know this VM itself."""
        self.known[self.local_member.tag] = KnownMember(
            member=self.local_member,
            since=-math.inf,
            heard_at=math.inf,
        )

    def find(self, tag: bytes) -> KnownMember | None:
        """Return what is known of a member."""
        return self.known.get(tag)

    def merge(self, offered: Member) -> bool:
        """Take a belief if it wins over ours."""
        held = self.known.get(offered.tag)
        if held is not None and not wins(offered, held.member):
            return False
        self.put(offered)
        return True

    def put(self, member: Member) -> None:
        """Believe this of a member, and tell who owns upstreams with it."""
        now = trio.current_time()
        held = self.known.get(member.tag)
        if member.state in DOUBTED:
            self.doubted.add(member.tag)
        else:
            self.doubted.discard(member.tag)
        if held is None:
            self.known[member.tag] = KnownMember(member=member, since=now)
            self.change(member, 'unknown')
            return
        before = held.member
        held.member = member
        self.owning.pop(member.domain, None)
        if before != member:
            # The name has a new VM, which we have not heard yet.
            held.heard_at = -math.inf
        if before.state is not member.state:
            held.since = now
        held.left = member.state is MemberState.LEAVING or (
            held.left and member.state is MemberState.DEAD
        )
        if member.tag == self.local_member.tag:
            self.local_member = member
        if before != member or visible(before) is not visible(member):
            self.change(member, before.state.value)

    def change(self, member: Member, before: str) -> None:
        """Forget what was derived and tell the listeners."""
        self.owning.pop(member.domain, None)
        logger.info(
            'member changed',
            extra={
                'member': member.name,
                'before': before,
                'after': member.state.value,
            },
        )
        for listener in self.listeners:
            listener()

    def forget(self, tag: bytes) -> None:
        """Drop a member for good."""
        held = self.known.pop(tag)
        self.doubted.discard(tag)
        self.owning.pop(held.member.domain, None)

    def in_doubt(self) -> list[KnownMember]:
        """Return the suspect and dead members, in a steady order."""
        return [self.known[tag] for tag in sorted(self.doubted)]

    def of_domain(self, domain: str) -> list[KnownMember]:
        """Return all that is known of a domain's members, sorted by name."""
        found = [
            held for held in self.known.values() if held.member.domain == domain
        ]
        return sorted(found, key=lambda held: held.member.name)

    def live(self, domain: str) -> tuple[Member, ...]:
        """Return the members that may own upstreams, sorted by name."""
        cached = self.owning.get(domain)
        if cached is None:
            cached = tuple(
                held.member
                for held in self.of_domain(domain)
                if held.state in OWNING
            )
            self.owning[domain] = cached
        return cached

    def domains(self) -> list[str]:
        """Return the domains of all known members, sorted."""
        return sorted({held.member.domain for held in self.known.values()})


def wins(offered: Member, held: Member) -> bool:
    """Compare two beliefs by incarnation, then by state."""
    return (offered.incarnation, RANKS[offered.state]) > (
        held.incarnation,
        RANKS[held.state],
    )


def visible(member: Member) -> MemberState:
    """Return the state as the other slices see it."""
    return MemberState.ALIVE if member.state in OWNING else member.state
