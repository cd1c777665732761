"""Selection of the gossiped member states: changes first, then all in turn."""

import math
import struct
from collections.abc import Iterator
from typing import Final

import attrs

from burdocksill.flows.cookie import TAG_BYTES
from burdocksill.membership.protocols import Member, MemberState
from burdocksill.membership.table import RANKS, MemberTable
from burdocksill.network.protocols import Address
from burdocksill.peers.messages import MemberRecord

# tag, incarnation, rank of the state.
STATE: Final = struct.Struct(f'>{TAG_BYTES}sIB')
# Nine bytes each, so that a heartbeat stays small in a fleet of any size.
STATES_PER_MESSAGE: Final = 8
# A change is sent this many times the logarithm of the number of members. The
# probability that a member misses it then falls with their number.
RETRANSMIT_FACTOR: Final = 3
# Without changes, one message in so many introduces a member in full.
MESSAGES_PER_INTRODUCTION: Final = 4
BY_RANK: Final = tuple(sorted(RANKS, key=lambda state: RANKS[state]))


@attrs.frozen(kw_only=True)
class StateUpdate:
    """Hold a state of a member that the receiver is expected to know."""

    tag: bytes
    incarnation: int
    state: MemberState


@attrs.define(kw_only=True)
class BroadcastQueue:
    """Select the member states of the next message within its budget."""

    table: MemberTable
    # How often each member's change was sent.
    change_counts: dict[bytes, int] = attrs.field(factory=dict)
    introduction_counts: dict[bytes, int] = attrs.field(factory=dict)
    rotation: list[bytes] = attrs.field(factory=list)
    messages: int = 0

    def add(self, tag: bytes, *, introduce: bool = False) -> None:
        """Queue a member's change."""
        self.change_counts[tag] = 0
        if introduce:
            self.introduction_counts[tag] = 0

    def limit(self) -> int:
        """Return how often one change is sent."""
        return RETRANSMIT_FACTOR * math.ceil(
            math.log2(len(self.table.entries) + 1)
        )

    def states(self, first: tuple[bytes, ...]) -> bytes:
        """Encode the states of the next message."""
        chosen = list(dict.fromkeys(first))
        chosen += self.least_sent(
            self.change_counts, STATES_PER_MESSAGE - len(chosen)
        )
        chosen += self.next_in_rotation(STATES_PER_MESSAGE - len(chosen))
        entries = (self.table.find(tag) for tag in chosen)
        return b''.join(
            encode_state(entry.member) for entry in entries if entry
        )

    def introduction(self) -> Member | None:
        """Return a member to introduce: a changed one, or at times any."""
        self.messages += 1
        chosen = self.least_sent(self.introduction_counts, 1)
        if not chosen and self.messages % MESSAGES_PER_INTRODUCTION == 0:
            chosen = self.next_in_rotation(1)
        entry = self.table.find(chosen[0]) if chosen else None
        return entry.member if entry else None

    def least_sent(self, counts: dict[bytes, int], count: int) -> list[bytes]:
        """Return the members whose change was sent least, and count it."""
        chosen = sorted(counts, key=lambda tag: counts[tag])[: max(0, count)]
        for tag in chosen:
            counts[tag] += 1
            if counts[tag] >= self.limit():
                counts.pop(tag)
        return chosen

    def next_in_rotation(self, count: int) -> list[bytes]:
        """Return the next members in turn, which repairs missed broadcasts."""
        chosen: list[bytes] = []
        for _ in range(count):
            if not self.rotation:
                self.rotation = list(self.table.entries)
            chosen.append(self.rotation.pop())
        return chosen


def encode_state(member: Member) -> bytes:
    """Encode a member's state."""
    return STATE.pack(member.tag, member.incarnation, RANKS[member.state])


def decode_states(states: bytes) -> Iterator[StateUpdate]:
    """Decode states; skip states that only newer versions know."""
    whole = len(states) // STATE.size * STATE.size
    for tag, incarnation, rank in STATE.iter_unpack(states[:whole]):
        if rank < len(BY_RANK):
            yield StateUpdate(
                tag=tag,
                incarnation=incarnation,
                state=BY_RANK[rank],
            )


def record_of(member: Member) -> MemberRecord:
    """Return the introduction of a member."""
    return MemberRecord(
        name=member.name,
        domain=member.domain,
        host=member.peer_address.host,
        port=member.peer_address.port,
        incarnation=member.incarnation,
        state=member.state.value,
    )


def member_from(record: MemberRecord) -> Member:
    """Return the member of an introduction; an unknown state is alive."""
    known = record.state in set(MemberState)
    return Member(
        name=record.name,
        domain=record.domain,
        peer_address=Address(record.host, record.port),
        incarnation=record.incarnation,
        state=MemberState(record.state) if known else MemberState.ALIVE,
    )
