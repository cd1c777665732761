"""Probes, their acks and the gossip that they piggyback."""

import itertools
import math
from collections.abc import Iterator
from typing import Final

import attrs
import trio

from burdocksill.membership.beliefs import MemberStates
from burdocksill.membership.broadcasts import (
    decode_states,
    member_from,
    record_of,
)
from burdocksill.membership.piggyback import NoPiggyback, Piggyback
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import VerifiedMessage
from burdocksill.peers.messages import (
    Gossip,
    MemberRecord,
    Probe,
    ProbeAck,
    ProbeRequest,
)

DIRECT_TIMEOUT_SECONDS: Final = 0.15


@attrs.define(kw_only=True)
class Heartbeats:
    """Send and answer probes, and handle the gossip that they carry."""

    member_states: MemberStates
    documents: Piggyback = attrs.field(factory=NoPiggyback)
    hints: Piggyback = attrs.field(factory=NoPiggyback)
    channel: PeerChannel | None = None
    nursery: trio.Nursery | None = None
    numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    pending_probes: dict[int, trio.Event] = attrs.field(factory=dict)

    def attach(self, channel: PeerChannel) -> None:
        """Register the handlers of heartbeats at the channel."""
        self.channel = channel
        channel.handlers[Probe] = self.handle_probe
        channel.handlers[ProbeAck] = self.handle_ack
        channel.handlers[ProbeRequest] = self.handle_request

    def introductions(self, about: tuple[bytes, ...]) -> list[MemberRecord]:
        """Introduce this VM to new members, and changed members to others."""
        entry = self.member_states.table.find(about[0]) if about else None
        if entry is None or math.isinf(entry.received_at):
            return [record_of(self.member_states.local_member)]
        introduced = self.member_states.broadcasts.introduction()
        return [record_of(introduced)] if introduced else []

    def gossip(self, *about: bytes) -> Gossip:
        """Return the gossip of the next heartbeat."""
        now = trio.current_time()
        first = (self.member_states.local_member.tag, *about)
        return Gossip(
            members=tuple(self.introductions(about)),
            states=self.member_states.broadcasts.states(first),
            heard=self.member_states.contacts.pack(now),
            digest=self.documents.pack(),
            hints=self.hints.pack(),
        )

    def send_probe(self, target: Member, number: int) -> None:
        """Send a probe that carries the target's own state too."""
        gossip = self.gossip(target.tag)
        self.send(Probe(number=number, gossip=gossip), target.peer_address)

    def send(self, message: object, peer: Address) -> None:
        """Send a message if the channel is attached."""
        if self.channel is not None:
            self.channel.send(message, peer)

    def handle_probe(self, opened: VerifiedMessage, peer: Address) -> None:
        """Answer a probe."""
        message = opened.message
        if isinstance(message, Probe):
            self.handle_gossip(message.gossip, opened.sender_tag)
            gossip = self.gossip(opened.sender_tag)
            self.send(ProbeAck(number=message.number, gossip=gossip), peer)

    def handle_ack(self, opened: VerifiedMessage, peer: Address) -> None:
        """Match an ack with its pending probe."""
        message = opened.message
        if not isinstance(message, ProbeAck):
            return
        self.handle_gossip(message.gossip, opened.sender_tag)
        about = self.member_states.table.find(message.about)
        if about is not None:
            about.received_at = trio.current_time()
        waiter = self.pending_probes.get(message.number)
        if waiter is not None:
            waiter.set()

    def handle_request(self, opened: VerifiedMessage, peer: Address) -> None:
        """Probe a member on behalf of a peer that gets no answer."""
        message = opened.message
        if not isinstance(message, ProbeRequest) or self.nursery is None:
            return
        target = self.member_states.table.find(message.target)
        if target is not None:
            self.nursery.start_soon(
                self.probe_for_peer,
                target.member,
                message.number,
                peer,
            )

    async def probe_for_peer(
        self,
        target: Member,
        asked_number: int,
        requester: Address,
    ) -> None:
        """Probe a member once and forward its ack."""
        number, answered = self.register_probe()
        self.send_probe(target, number)
        with trio.move_on_after(DIRECT_TIMEOUT_SECONDS):
            await answered.wait()
        self.pending_probes.pop(number)
        if answered.is_set():
            ack = ProbeAck(
                number=asked_number,
                gossip=self.gossip(),
                about=target.tag,
            )
            self.send(ack, requester)

    def handle_gossip(self, gossip: Gossip, sender_tag: bytes) -> None:
        """Handle the gossip of a heartbeat."""
        now = trio.current_time()
        for record in gossip.members:
            self.member_states.handle_introduction(member_from(record))
        sender = self.member_states.table.find(sender_tag)
        if sender is None:
            return
        sender.received_at = now
        for update in decode_states(gossip.states):
            self.member_states.handle_state(update, now)
        if sender.member.domain == self.member_states.local_member.domain:
            self.member_states.contacts.merge_ages(gossip.heard, now)
        else:
            self.member_states.contacts.record_received(
                sender.member.domain, now
            )
        self.documents.take(gossip.digest, sender.member)
        self.hints.take(gossip.hints, sender.member)

    def register_probe(self) -> tuple[int, trio.Event]:
        """Return the number of a new probe and the event that its ack sets."""
        number = next(self.numbers)
        answered = trio.Event()
        self.pending_probes[number] = answered
        return number, answered
