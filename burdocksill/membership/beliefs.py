"""State changes of members: suspect, confirm dead, refute and announce."""

import logging
import math
from typing import Final

import attrs
import trio

from burdocksill.membership.broadcasts import BroadcastQueue, StateUpdate
from burdocksill.membership.contacts import DomainContacts
from burdocksill.membership.listed import ENTRY_ROLE, member_of
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.membership.table import MemberEntry, MemberTable
from burdocksill.observe.counters import Counters
from burdocksill.platform.protocols import VmRecord, VmState

SUSPICION_SECONDS: Final = 1.0
# Each doubling of a domain's size takes gossip about one more round.
SUSPICION_STEP_SECONDS: Final = 0.1
# A dead member is still probed in turn for this long, then only at times.
DEAD_PROBE_SECONDS: Final = 5.0
# Longer than the lag of the platform's list, which must not add dead members.
TOMBSTONE_SECONDS: Final = 900.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class MemberStates:
    """Apply state changes of members, and gossip them."""

    table: MemberTable
    counters: Counters
    broadcasts: BroadcastQueue = attrs.field(init=False)
    contacts: DomainContacts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Gossip the local member first."""
        self.broadcasts = BroadcastQueue(table=self.table)
        self.contacts = DomainContacts(table=self.table)
        self.broadcasts.add(self.local_member.tag, introduce=True)

    @property
    def local_member(self) -> Member:
        """Return the member of this VM."""
        return self.table.local_member

    def apply_list(self, records: tuple[VmRecord, ...]) -> None:
        """Add listed members that gossip has not reported yet.

        The list lags: a VM that it lacks may be alive, and one that it shows
        may be dead. So it neither removes nor revives a member.
        """
        now = trio.current_time()
        for record in records:
            member = member_of(record)
            entry = self.table.find(member.tag)
            listed = record.state is VmState.LIVE
            if entry is None and listed and record.role == ENTRY_ROLE:
                self.merge(member)
            elif entry is not None and entry.state is MemberState.DEAD:
                # Still listed: keep the tombstone, and stop probing it.
                entry.since = max(entry.since, now - 2 * DEAD_PROBE_SECONDS)

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicions: messages may have been missed in a pause."""
        self.counters.add('pauses_noticed')
        logger.warning('event loop was paused')
        for entry in self.table.entries.values():
            entry.since = now
        for domain in self.contacts.received_at:
            self.contacts.record_received(domain, now)

    def end_due_suspicions(self, now: float) -> None:
        """End the suspicions that are due, and drop old tombstones."""
        timeout = self.suspicion_seconds()
        for entry in self.table.unhealthy_entries():
            age = now - entry.since
            if entry.state is MemberState.DEAD and age > TOMBSTONE_SECONDS:
                self.table.remove(entry.member.tag)
            if entry.state is MemberState.SUSPECT and age >= timeout:
                self.end_suspicion(entry)

    def suspicion_seconds(self) -> float:
        """Return the seconds until a suspect member is confirmed dead."""
        members = len(self.table.live(self.local_member.domain))
        doublings = math.log2(members + 1)
        return SUSPICION_SECONDS + SUSPICION_STEP_SECONDS * doublings

    def end_suspicion(self, entry: MemberEntry) -> None:
        """Clear a member that has sent a message since, or confirm it dead.

        Members of other domains are not probed from here. Their suspicions are
        left to their own domain, or a partition would confirm them all dead.
        """
        if entry.received_at > entry.since:
            self.table.put(
                attrs.evolve(entry.member, state=MemberState.ALIVE),
            )
        elif entry.member.domain == self.local_member.domain:
            self.confirm_dead(entry)

    def confirm_dead(self, entry: MemberEntry) -> None:
        """Mark a member as dead and gossip it."""
        self.counters.add('members_buried')
        self.merge(attrs.evolve(entry.member, state=MemberState.DEAD))

    def suspect(self, entry: MemberEntry) -> None:
        """Mark a member as suspect and gossip it."""
        if entry.state is MemberState.LEAVING:
            # It has announced its leave.
            self.confirm_dead(entry)
            return
        if entry.state is MemberState.ALIVE:
            self.counters.add('members_suspected')
            self.merge(attrs.evolve(entry.member, state=MemberState.SUSPECT))

    def merge(self, offered: Member) -> bool:
        """Merge a member's state, and gossip it if it supersedes."""
        self.contacts.add_domain(offered.domain, trio.current_time())
        known = self.table.find(offered.tag) is not None
        if not self.table.merge(offered):
            return False
        self.broadcasts.add(offered.tag, introduce=not known)
        return True

    def handle_introduction(self, member: Member) -> None:
        """Merge the introduction of a member."""
        if member.tag == self.local_member.tag:
            self.refute(member)
        else:
            self.merge(member)

    def handle_state(self, update: StateUpdate, now: float) -> None:
        """Merge a state update of a known member."""
        entry = self.table.find(update.tag)
        if entry is None or update.incarnation < entry.member.incarnation:
            return
        if is_known_state(update, entry.member):
            return
        offered = attrs.evolve(
            entry.member,
            incarnation=update.incarnation,
            state=update.state,
        )
        if update.tag == self.local_member.tag:
            self.refute(offered)
            return
        recently_received = now - entry.received_at < self.suspicion_seconds()
        if update.state is MemberState.DEAD and recently_received:
            # The VM that confirmed it dead is partitioned from it.
            offered = attrs.evolve(offered, state=MemberState.SUSPECT)
        self.merge(offered)

    def refute(self, reported: Member) -> None:
        """Start a new incarnation if others suspect this VM."""
        own = self.local_member
        is_suspected = reported.state not in {MemberState.ALIVE, own.state}
        if reported.incarnation > own.incarnation or (
            is_suspected and reported.incarnation == own.incarnation
        ):
            self.counters.add('suspicions_refuted')
            self.announce(own.state, reported.incarnation + 1)

    def announce(self, state: MemberState, incarnation: int) -> None:
        """Gossip a local state under a new incarnation."""
        own = attrs.evolve(
            self.local_member, state=state, incarnation=incarnation
        )
        self.table.put(own)
        self.broadcasts.add(own.tag)


def is_known_state(update: StateUpdate, member: Member) -> bool:
    """Return True for an update that changes nothing."""
    return (
        update.incarnation == member.incarnation
        and update.state is member.state
    )
