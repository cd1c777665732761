"""Doubt, bury, refute and announce: how beliefs on members change."""

import logging
import math
from typing import Final

import attrs
import trio

from burdocksill.membership.contacts import DomainContacts
from burdocksill.membership.listed import ENTRY_ROLE, member_of
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.membership.rumours import RumourQueue, StateRumour
from burdocksill.membership.table import KnownMember, MemberTable
from burdocksill.observe.counters import Counters
from burdocksill.platform.protocols import VmRecord, VmState

SUSPICION_SECONDS: Final = 1.0
# Each doubling of a domain takes gossip about one more round.
SUSPICION_STEP_SECONDS: Final = 0.1
# A dead member is asked for so long, then now and then only.
REFORM_SECONDS: Final = 5.0
# Longer than the platform's list lags, so that it cannot bring back the dead.
TOMBSTONE_SECONDS: Final = 900.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class Beliefs:
    """Change what is believed of members, and tell the others."""

    table: MemberTable
    counters: Counters
    rumours: RumourQueue = attrs.field(init=False)
    contacts: DomainContacts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Tell of this VM first."""
        self.rumours = RumourQueue(table=self.table)
        self.contacts = DomainContacts(table=self.table)
        self.rumours.add(self.local_member.tag, introduce=True)

    @property
    def local_member(self) -> Member:
        """Return this VM."""
        return self.table.local_member

    def take_list(self, records: tuple[VmRecord, ...]) -> None:
        """Believe the list only on members that nobody has told of.

        It lags: a VM that it lacks may be alive, and one that it shows may
        be dead, so it neither kills a member nor brings one back.
        """
        now = trio.current_time()
        for record in records:
            member = member_of(record)
            held = self.table.find(member.tag)
            listed = record.state is VmState.LIVE
            if held is None and listed and record.role == ENTRY_ROLE:
                self.merge(member)
            elif held is not None and held.state is MemberState.DEAD:
                # The list still names it: keep the tombstone, ask no more.
                held.since = max(held.since, now - 2 * REFORM_SECONDS)

    def resume(self, now: float) -> None:
        """Start all suspicions anew: what we missed says nothing of them."""
        self.counters.add('pauses_noticed')
        logger.warning('this VM stood still')
        for held in self.table.known.values():
            held.since = now
        for domain in self.contacts.heard_at:
            self.contacts.hear(domain, now)

    def judge(self, now: float) -> None:
        """End the suspicions that are due and forget the long dead."""
        patience = self.patience()
        for held in self.table.in_doubt():
            age = now - held.since
            if held.state is MemberState.DEAD and age > TOMBSTONE_SECONDS:
                self.table.forget(held.member.tag)
            if held.state is MemberState.SUSPECT and age >= patience:
                self.end_suspicion(held)

    def patience(self) -> float:
        """Return how long a member stays suspect before it counts as dead."""
        members = len(self.table.live(self.local_member.domain))
        doublings = math.log2(members + 1)
        return SUSPICION_SECONDS + SUSPICION_STEP_SECONDS * doublings

    def end_suspicion(self, held: KnownMember) -> None:
        """Clear a member that we have heard ourselves, bury one we have not.

        Other domains are not probed from here: a suspicion of theirs that
        outlives gossip is left to them, or their cut would bury them all.
        """
        if held.heard_at > held.since:
            self.table.put(
                attrs.evolve(held.member, state=MemberState.ALIVE),
            )
        elif held.member.domain == self.local_member.domain:
            self.bury(held)

    def bury(self, held: KnownMember) -> None:
        """Believe a member dead and tell the others."""
        self.counters.add('members_buried')
        self.merge(attrs.evolve(held.member, state=MemberState.DEAD))

    def suspect(self, held: KnownMember) -> None:
        """Doubt a member and tell the others."""
        if held.state is MemberState.LEAVING:
            # It said it would go, and now it is gone.
            self.bury(held)
            return
        if held.state is MemberState.ALIVE:
            self.counters.add('members_suspected')
            self.merge(attrs.evolve(held.member, state=MemberState.SUSPECT))

    def merge(self, offered: Member) -> bool:
        """Take a belief and pass it on if it is news."""
        self.contacts.learn(offered.domain, trio.current_time())
        known = self.table.find(offered.tag) is not None
        if not self.table.merge(offered):
            return False
        self.rumours.add(offered.tag, introduce=not known)
        return True

    def take_member(self, member: Member) -> None:
        """Merge an introduction."""
        if member.tag == self.local_member.tag:
            self.refute(member)
        else:
            self.merge(member)

    def take_state(self, rumour: StateRumour, now: float) -> None:
        """Merge a rumour on a member that we know."""
        held = self.table.find(rumour.tag)
        if held is None or rumour.incarnation < held.member.incarnation:
            return
        if is_same(rumour, held.member):
            return
        offered = attrs.evolve(
            held.member,
            incarnation=rumour.incarnation,
            state=rumour.state,
        )
        if rumour.tag == self.local_member.tag:
            self.refute(offered)
            return
        just_heard = now - held.heard_at < self.patience()
        if rumour.state is MemberState.DEAD and just_heard:
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
        self.rumours.add(own.tag)


def is_same(rumour: StateRumour, member: Member) -> bool:
    """Return True for a rumour that tells nothing new."""
    return (
        rumour.incarnation == member.incarnation
        and rumour.state is member.state
    )
