"""Membership by the platform's lagging list alone, as a baseline."""

import logging
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.network.protocols import Address
from burdocksill.platform.protocols import Platform, VmRecord, VmState

POLL_SECONDS: Final = 1.0
ENTRY_ROLE: Final = 'entry'
STATES: Final[Mapping[VmState, MemberState]] = MappingProxyType(
    {
        VmState.LIVE: MemberState.ALIVE,
        VmState.LEAVING: MemberState.LEAVING,
    }
)

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class ListedMembership:
    """Use the platform's list as the members."""

    local_member: Member
    platform: Platform
    members: dict[bytes, Member] = attrs.field(factory=dict)
    left: dict[bytes, Member] = attrs.field(factory=dict)
    listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def live(self, domain: str) -> tuple[Member, ...]:
        """Return the listed members of a failure domain, sorted by name."""
        found = [
            member
            for member in self.members.values()
            if member.domain == domain
        ]
        return tuple(sorted(found, key=lambda member: member.name))

    def leaving(self, domain: str) -> tuple[Member, ...]:
        """Return the members that announced their leave to this VM."""
        found = [
            member for member in self.left.values() if member.domain == domain
        ]
        return tuple(sorted(found, key=lambda member: member.name))

    def find(self, tag: bytes) -> Member | None:
        """Return a listed member by its tag."""
        return self.members.get(tag) or self.left.get(tag)

    def quorate(self) -> bool:
        """Return True, as the list says nothing about a quorum."""
        return True

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of members."""
        self.listeners.append(listener)

    async def leave(self) -> None:
        """Do nothing: the platform lists leaving VMs."""

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(POLL_SECONDS)

    async def refresh(self) -> None:
        """Read the list once; keep the old one if the platform fails."""
        try:
            records = await self.platform.list_vms()
        except BurdocksillError:
            return
        self.take(records)

    def take(self, records: tuple[VmRecord, ...]) -> None:
        """Replace the members by the live entry VMs of a list."""
        listed = [
            member_of(record)
            for record in records
            if record.role == ENTRY_ROLE and record.state is VmState.LIVE
        ]
        fresh = {member.tag: member for member in (*listed, self.local_member)}
        known = self.members
        self.members = fresh
        self.left = {
            member.tag: member
            for member in map(member_of, records)
            if member.state is MemberState.LEAVING
        }
        if fresh.keys() != known.keys():
            logger.info('members', extra={'count': len(fresh)})
            for listener in self.listeners:
                listener()


def member_of(record: VmRecord) -> Member:
    """Return the member of a platform record."""
    return Member(
        name=record.name,
        domain=record.domain,
        peer_address=Address(record.host, record.peer_port),
        state=STATES[record.state],
    )
