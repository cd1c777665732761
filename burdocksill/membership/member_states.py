"""Doubt, bury, refute and announce: how member_states on members change."""

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
# Each doubling of a domain takes gossip about one more round.
SUSPICION_STEP_SECONDS: Final = 0.1
# A dead member is asked for so long, then now and then only.
DEAD_PROBE_SECONDS: Final = 5.0
# Longer than the platform's list lags, so that it cannot bring back the dead.
TOMBSTONE_SECONDS: Final = 900.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class MemberStates:
    """Change what is believed of members, and tell the others."""

    table: MemberTable
    counters: Counters
    broadcasts: BroadcastQueue = attrs.field(init=False)
    contacts: DomainContacts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Tell of this VM first."""
        self.broadcasts = BroadcastQueue(table=self.table)
        self.contacts = DomainContacts(table=self.table)
        self.broadcasts.add(self.local_member.tag, introduce=True)

    @property
    def local_member(self) -> Member:
        """Return this VM."""
        return self.table.local_member

    def apply_list(self, records: tuple[VmRecord, ...]) -> None:
        """Believe the list only on members that nobody has told of.

        It lags: a VM that it lacks may be alive, and one that it shows may
        be dead, so it neither kills a member nor brings one back.
        """
        now = trio.current_time()
        for record in records:
            member = member_of(record)
            entry = self.table.find(member.tag)
            listed = record.state is VmState.LIVE
            if entry is None and listed and record.role == ENTRY_ROLE:
                self.merge(member)
            elif entry is not None and entry.state is MemberState.DEAD:
                # The list still names it: keep the tombstone, ask no more.
                entry.since = max(entry.since, now - 2 * DEAD_PROBE_SECONDS)

    def restart_suspicions(self, now: float) -> None:
        """Start all suspicions anew: what we missed says nothing of them."""
        self.counters.add('pauses_noticed')
        logger.warning('this VM stood still')
        for entry in self.table.known.values():
            entry.since = now
        for domain in self.contacts.received_at:
            self.contacts.record_received(domain, now)

    def end_due_suspicions(self, now: float) -> None:
        """End the suspicions that are due and forget the long dead."""
        timeout = self.suspicion_seconds()
        for entry in self.table.unhealthy_entries():
            age = now - entry.since
            if entry.state is MemberState.DEAD and age > TOMBSTONE_SECONDS:
                self.table.remove(entry.member.tag)
            if entry.state is MemberState.SUSPECT and age >= timeout:
                self.end_suspicion(entry)

    def suspicion_seconds(self) -> float:
        """Return how long a member stays suspect before it counts as dead."""
        members = len(self.table.live(self.local_member.domain))
        doublings = math.log2(members + 1)
        return SUSPICION_SECONDS + SUSPICION_STEP_SECONDS * doublings

    def end_suspicion(self, entry: MemberEntry) -> None:
        """Clear a member that we have heard ourselves, bury one we have not.

        Other domains are not probed from here: a suspicion of theirs that
        outlives gossip is left to them, or their cut would bury them all.
        """
        if entry.received_at > entry.since:
            self.table.put(
                attrs.evolve(entry.member, state=MemberState.ALIVE),
            )
        elif entry.member.domain == self.local_member.domain:
            self.confirm_dead(entry)

    def confirm_dead(self, entry: MemberEntry) -> None:
        """Believe a member dead and tell the others."""
        self.counters.add('members_buried')
        self.merge(attrs.evolve(entry.member, state=MemberState.DEAD))

    def suspect(self, entry: MemberEntry) -> None:
        """Doubt a member and tell the others."""
        if entry.state is MemberState.LEAVING:
            # It said it would go, and now it is gone.
            self.confirm_dead(entry)
            return
        if entry.state is MemberState.ALIVE:
            self.counters.add('members_suspected')
            self.merge(attrs.evolve(entry.member, state=MemberState.SUSPECT))

    def merge(self, offered: Member) -> bool:
        """Take a belief and pass it on if it is news."""
        self.contacts.add_domain(offered.domain, trio.current_time())
        known = self.table.find(offered.tag) is not None
        if not self.table.merge(offered):
            return False
        self.broadcasts.add(offered.tag, introduce=not known)
        return True

    def handle_introduction(self, member: Member) -> None:
        """Merge an introduction."""
        if member.tag == self.local_member.tag:
            self.refute(member)
        else:
            self.merge(member)

    def handle_state(self, update: StateUpdate, now: float) -> None:
        """Merge a update on a member that we know."""
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
        just_received = now - entry.received_at < self.suspicion_seconds()
        if update.state is MemberState.DEAD and just_received:
            # Whoever buried it is cut off from it, and we are not.
            offered = attrs.evolve(offered, state=MemberState.SUSPECT)
        self.merge(offered)

    def refute(self, believed: Member) -> None:
        """Start a new incarnation when others doubt us."""
        own = self.local_member
        doubted = believed.state not in {MemberState.ALIVE, own.state}
        if believed.incarnation > own.incarnation or (
            doubted and believed.incarnation == own.incarnation
        ):
            self.counters.add('suspicions_refuted')
            self.announce(own.state, believed.incarnation + 1)

    def announce(self, state: MemberState, incarnation: int) -> None:
        """Tell a state of our own under a new incarnation."""
        own = attrs.evolve(
            self.local_member, state=state, incarnation=incarnation
        )
        self.table.put(own)
        self.broadcasts.add(own.tag)


def is_known_state(update: StateUpdate, member: Member) -> bool:
    """Return True for a update that tells nothing new."""
    return (
        update.incarnation == member.incarnation
        and update.state is member.state
    )
