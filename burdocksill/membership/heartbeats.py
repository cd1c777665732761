"""Probes, their answers and the gossip that rides on them."""

import itertools
import math
from collections.abc import Iterator
from typing import Final

import attrs
import trio

from burdocksill.membership.beliefs import Beliefs
from burdocksill.membership.piggyback import NoPiggyback, Piggyback
from burdocksill.membership.protocols import Member
from burdocksill.membership.rumours import member_from, record_of, unpack
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

DIRECT_SECONDS: Final = 0.15


@attrs.define(kw_only=True)
class Heartbeats:
    """Send probes, answer them and read what they carry."""

    beliefs: Beliefs
    documents: Piggyback = attrs.field(factory=NoPiggyback)
    hints: Piggyback = attrs.field(factory=NoPiggyback)
    channel: PeerChannel | None = None
    nursery: trio.Nursery | None = None
    numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    waiting: dict[int, trio.Event] = attrs.field(factory=dict)

    def attach(self, channel: PeerChannel) -> None:
        """Take heartbeats from the channel."""
        self.channel = channel
        channel.handlers[Probe] = self.take_probe
        channel.handlers[ProbeAck] = self.take_ack
        channel.handlers[ProbeRequest] = self.take_request

    def introductions(self, about: tuple[bytes, ...]) -> list[MemberRecord]:
        """Introduce this VM where it is unknown, others where there is news."""
        held = self.beliefs.table.find(about[0]) if about else None
        if held is None or math.isinf(held.heard_at):
            return [record_of(self.beliefs.local_member)]
        introduced = self.beliefs.rumours.introduction()
        return [record_of(introduced)] if introduced else []

    def gossip(self, *about: bytes) -> Gossip:
        """Write what the next heartbeat carries."""
        now = trio.current_time()
        first = (self.beliefs.local_member.tag, *about)
        return Gossip(
            members=tuple(self.introductions(about)),
            states=self.beliefs.rumours.states(first),
            heard=self.beliefs.contacts.pack(now),
            digest=self.documents.pack(),
            hints=self.hints.pack(),
        )

    def send_probe(self, target: Member, number: int) -> None:
        """Send a probe that tells the target what is believed of it."""
        gossip = self.gossip(target.tag)
        self.send(Probe(number=number, gossip=gossip), target.peer_address)

    def send(self, message: object, peer: Address) -> None:
        """Send a message once the channel is there."""
        if self.channel is not None:
            self.channel.send(message, peer)

    def take_probe(self, opened: VerifiedMessage, peer: Address) -> None:
        """Answer a probe."""
        message = opened.message
        if isinstance(message, Probe):
            self.take_gossip(message.gossip, opened.sender_tag)
            gossip = self.gossip(opened.sender_tag)
            self.send(ProbeAck(number=message.number, gossip=gossip), peer)

    def take_ack(self, opened: VerifiedMessage, peer: Address) -> None:
        """Match an answer with the probe that waits for it."""
        message = opened.message
        if not isinstance(message, ProbeAck):
            return
        self.take_gossip(message.gossip, opened.sender_tag)
        about = self.beliefs.table.find(message.about)
        if about is not None:
            about.heard_at = trio.current_time()
        waiter = self.waiting.get(message.number)
        if waiter is not None:
            waiter.set()

    def take_request(self, opened: VerifiedMessage, peer: Address) -> None:
        """Probe a member for somebody who cannot reach it."""
        message = opened.message
        if not isinstance(message, ProbeRequest) or self.nursery is None:
            return
        target = self.beliefs.table.find(message.target)
        if target is not None:
            self.nursery.start_soon(
                self.help_probe,
                target.member,
                message.number,
                peer,
            )

    async def help_probe(
        self,
        target: Member,
        asked_number: int,
        asker: Address,
    ) -> None:
        """Probe a member once and pass its answer on."""
        number, answered = self.expect_answer()
        self.send_probe(target, number)
        with trio.move_on_after(DIRECT_SECONDS):
            await answered.wait()
        self.waiting.pop(number)
        if answered.is_set():
            ack = ProbeAck(
                number=asked_number,
                gossip=self.gossip(),
                about=target.tag,
            )
            self.send(ack, asker)

    def take_gossip(self, gossip: Gossip, sender_tag: bytes) -> None:
        """Read all that a heartbeat carried."""
        now = trio.current_time()
        for record in gossip.members:
            self.beliefs.take_member(member_from(record))
        sender = self.beliefs.table.find(sender_tag)
        if sender is None:
            return
        sender.heard_at = now
        for rumour in unpack(gossip.states):
            self.beliefs.take_state(rumour, now)
        if sender.member.domain == self.beliefs.local_member.domain:
            self.beliefs.contacts.take(gossip.heard, now)
        else:
            self.beliefs.contacts.hear(sender.member.domain, now)
        self.documents.take(gossip.digest, sender.member)
        self.hints.take(gossip.hints, sender.member)

    def expect_answer(self) -> tuple[int, trio.Event]:
        """Return a probe's number and what its answer sets."""
        number = next(self.numbers)
        answered = trio.Event()
        self.waiting[number] = answered
        return number, answered
