"""A client of the packet world, with the repeats of its protocol."""

import enum
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from burdocksill.packets.header import (
    ACK,
    FIN,
    HEADER,
    RST,
    SYN,
    Packet,
)
from burdocksill_lab.packets.checksum import with_checksum
from burdocksill_lab.packets.network import Address, Timeline
from burdocksill_lab.packets.upstream import REFUSAL_BYTES

COPY_SECONDS: Final = (0.2, 0.4)
OPENING_SECONDS: Final = 1.4
FIRST_REPEAT_SECONDS: Final = 0.2
LONGEST_REPEAT_SECONDS: Final = 1.6
RESET_WINDOW: Final = 76_800
REQUEST_BYTES: Final = 200
FIRST_SEQ: Final = 1_000


class Outcome(enum.Enum):
    """Name what became of a request."""

    PENDING = 'pending'
    SERVED = 'served'
    REFUSED = 'refused by its upstream'
    RESET = 'reset'
    NOT_OPENED = 'not opened'
    LATE = 'deadline passed'


@attrs.define(kw_only=True)
class Request:
    """Hold one request of a client and how it ended."""

    sent_at: float
    outcome: Outcome = Outcome.PENDING
    ended_at: float = 0
    system_reset: bool = False


@attrs.define(kw_only=True)
class ClientFlow:
    """Speak one flow: open it, send requests on it one after the other."""

    key: tuple[int, int, int, int]
    timeline: Timeline
    send: Callable[[bytes, tuple[int, int, int, int]], None]
    deadline: float = 1.0
    echo: int = 0
    seq: int = FIRST_SEQ
    ack: int = 0
    copies: int = 0
    open: bool = False
    ended: bool = False
    # Whether a reset came that no upstream had sent.
    system_reset: bool = False
    waiting: Request | None = None
    requests: list[Request] = attrs.field(factory=list)
    # Told of each request that has ended.
    on_end: Callable[['ClientFlow', Request], None] | None = None

    def request(self) -> Request:
        """Send a request, on this flow if it is open, else open it first."""
        sent = Request(sent_at=self.timeline.now)
        self.requests.append(sent)
        self.waiting = sent
        self.timeline.after(self.deadline, lambda: self.expire(sent))
        if self.ended:
            self.end_request(Outcome.RESET)
        elif self.open:
            self.send_data(sent, FIRST_REPEAT_SECONDS)
        else:
            self.send_opening()
        return sent

    def send_opening(self) -> None:
        """Send the first packet and its copies."""
        if self.open or self.ended:
            return
        self.packet(SYN, ack=self.copies)
        if self.copies < len(COPY_SECONDS):
            self.timeline.after(COPY_SECONDS[self.copies], self.send_opening)
        elif self.copies == len(COPY_SECONDS):
            rest = OPENING_SECONDS - sum(COPY_SECONDS)
            self.timeline.after(rest, self.give_up_opening)
        self.copies += 1

    def give_up_opening(self) -> None:
        """End the flow if nobody has answered its opening."""
        if not self.open:
            self.ended = True
            self.end_request(Outcome.NOT_OPENED)

    def send_data(self, sent: Request, pause: float) -> None:
        """Send the request's data, and again until it is acknowledged."""
        if self.waiting is not sent or self.ended:
            return
        self.packet(ACK, ack=self.ack, length=REQUEST_BYTES)
        longer = min(pause * 2, LONGEST_REPEAT_SECONDS)
        self.timeline.after(pause, lambda: self.send_data(sent, longer))

    def receive(self, packet: Packet) -> None:
        """Take in a packet for this flow."""
        if self.ended:
            return
        if packet.flags & RST:
            self.take_reset(packet)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            self.take_opening(packet)
        elif packet.length and packet.seq == self.ack:
            self.take_answer(packet)

    def take_reset(self, packet: Packet) -> None:
        """End the flow, if the reset lies near what was acknowledged."""
        ours = packet.checksum == 0
        near = abs(packet.seq - self.ack) <= RESET_WINDOW
        if ours and self.open and not near:
            return
        self.ended = True
        self.system_reset = ours
        if self.waiting is not None:
            self.waiting.system_reset = ours
        self.end_request(Outcome.RESET)

    def take_opening(self, packet: Packet) -> None:
        """Acknowledge the first upstream that answers, with the request."""
        if self.open:
            return
        self.open = True
        self.ack = packet.seq
        if self.waiting is not None:
            self.send_data(self.waiting, FIRST_REPEAT_SECONDS)

    def take_answer(self, packet: Packet) -> None:
        """Acknowledge an answer."""
        self.ack = packet.seq + packet.length
        self.seq += REQUEST_BYTES
        self.packet(ACK, ack=self.ack)
        refused = packet.length == REFUSAL_BYTES
        self.end_request(Outcome.REFUSED if refused else Outcome.SERVED)

    def close(self) -> None:
        """Tell the upstream that nothing more will come."""
        if self.open and not self.ended:
            self.packet(ACK | FIN, ack=self.ack)
        self.ended = True

    def expire(self, sent: Request) -> None:
        """End a request whose deadline has passed."""
        if sent is self.waiting:
            self.end_request(Outcome.LATE)
            self.ended = True

    def end_request(self, outcome: Outcome) -> None:
        """Write down how a request ended."""
        if self.waiting is not None:
            ended = self.waiting
            ended.outcome = outcome
            ended.ended_at = self.timeline.now
            self.waiting = None
            if self.on_end is not None:
                self.on_end(self, ended)

    def packet(self, flags: int, *, ack: int, length: int = 0) -> None:
        """Send one packet."""
        client, client_port, address, port = self.key
        head = HEADER.pack(
            length,
            self.echo,
            self.seq,
            ack,
            client,
            port,
            client_port,
            address,
            1,
            flags,
        )
        self.send(with_checksum(head + bytes(length)), self.key)


def hand_over(
    flows: Mapping[tuple[int, ...], ClientFlow], payload: bytes
) -> None:
    """Give a packet for clients to the flow that it is for, if that is there.

    Towards a client the route is the sender, so the pairs stand swapped.
    """
    packet = Packet(*HEADER.unpack_from(payload))
    key = (packet.address, packet.port, packet.client, packet.client_port)
    flow = flows.get(key)
    if flow is not None:
        flow.receive(packet)


__all__ = ('Address', 'ClientFlow', 'Outcome', 'Request', 'hand_over')
