"""Table of member states, and the rule which of two states supersedes."""

import logging
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.membership.protocols import Member, MemberState

# Of two states with the same incarnation the higher rank supersedes. Only the
# member itself starts a new incarnation.
RANKS: Final[Mapping[MemberState, int]] = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    }
)
UNHEALTHY_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.DEAD))
OWNER_STATES: Final = frozenset((MemberState.ALIVE, MemberState.SUSPECT))

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class MemberEntry:
    """Hold a member's state and the time of its last message to this VM."""

    member: Member
    since: float
    received_at: float = -math.inf
    # It announced its leave and has been leaving or dead since.
    left: bool = False

    @property
    def state(self) -> MemberState:
        """Return the member's state."""
        return self.member.state


@attrs.define(kw_only=True)
class MemberTable:
    """Merge member states and notify listeners of changes."""

    local_member: Member
    entries: dict[bytes, MemberEntry] = attrs.field(factory=dict)
    listeners: list[Callable[[], None]] = attrs.field(factory=list)
    owner_cache: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)
    # Suspect and dead members, so that no tick walks through the whole fleet.
    unhealthy: set[bytes] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Add the local member."""
        self.entries[self.local_member.tag] = MemberEntry(
            member=self.local_member,
            since=-math.inf,
            received_at=math.inf,
        )

    def find(self, tag: bytes) -> MemberEntry | None:
        """Return the entry of a member."""
        return self.entries.get(tag)

    def merge(self, offered: Member) -> bool:
        """Store an offered state if it supersedes the current one."""
        entry = self.entries.get(offered.tag)
        if entry is not None and not supersedes(offered, entry.member):
            return False
        self.put(offered)
        return True

    def put(self, member: Member) -> None:
        """Store a member's state, and notify listeners of a visible change."""
        now = trio.current_time()
        entry = self.entries.get(member.tag)
        if member.state in UNHEALTHY_STATES:
            self.unhealthy.add(member.tag)
        else:
            self.unhealthy.discard(member.tag)
        if entry is None:
            self.entries[member.tag] = MemberEntry(member=member, since=now)
            self.notify_change(member, 'unknown')
            return
        before = entry.member
        entry.member = member
        self.owner_cache.pop(member.domain, None)
        if before != member:
            # A new VM under this name, from which nothing was received yet.
            entry.received_at = -math.inf
        if before.state is not member.state:
            entry.since = now
        entry.left = member.state is MemberState.LEAVING or (
            entry.left and member.state is MemberState.DEAD
        )
        if member.tag == self.local_member.tag:
            self.local_member = member
        if before != member or reported_state(before) is not reported_state(
            member
        ):
            self.notify_change(member, before.state.value)

    def notify_change(self, member: Member, before: str) -> None:
        """Drop the cached owners, log the change and notify listeners."""
        self.owner_cache.pop(member.domain, None)
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

    def remove(self, tag: bytes) -> None:
        """Remove a member."""
        entry = self.entries.pop(tag)
        self.unhealthy.discard(tag)
        self.owner_cache.pop(entry.member.domain, None)

    def unhealthy_entries(self) -> list[MemberEntry]:
        """Return the suspect and dead members in a stable order."""
        return [self.entries[tag] for tag in sorted(self.unhealthy)]

    def of_domain(self, domain: str) -> list[MemberEntry]:
        """Return the entries of a domain's members, sorted by name."""
        found = [
            entry
            for entry in self.entries.values()
            if entry.member.domain == domain
        ]
        return sorted(found, key=lambda entry: entry.member.name)

    def live(self, domain: str) -> tuple[Member, ...]:
        """Return the members that may own upstreams, sorted by name."""
        cached = self.owner_cache.get(domain)
        if cached is None:
            cached = tuple(
                entry.member
                for entry in self.of_domain(domain)
                if entry.state in OWNER_STATES
            )
            self.owner_cache[domain] = cached
        return cached

    def domains(self) -> list[str]:
        """Return the domains of all known members, sorted."""
        return sorted({entry.member.domain for entry in self.entries.values()})


def supersedes(offered: Member, current: Member) -> bool:
    """Compare two states by incarnation, then by rank."""
    return (offered.incarnation, RANKS[offered.state]) > (
        current.incarnation,
        RANKS[current.state],
    )


def reported_state(member: Member) -> MemberState:
    """Return the state as other packages see it."""
    return MemberState.ALIVE if member.state in OWNER_STATES else member.state
