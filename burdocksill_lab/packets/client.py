"""Simulated client of the packet path, with its retransmissions."""

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

SYN_RETRANSMIT_SECONDS: Final = (0.2, 0.4)
OPENING_TIMEOUT_SECONDS: Final = 1.4
INITIAL_RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
RESET_WINDOW: Final = 76_800
REQUEST_BYTES: Final = 200
FIRST_SEQ: Final = 1_000


class Outcome(enum.Enum):
    """Result of a request."""

    PENDING = 'pending'
    SERVED = 'served'
    REFUSED = 'refused by its upstream'
    RESET = 'reset'
    NOT_OPENED = 'not opened'
    LATE = 'deadline passed'


@attrs.define(kw_only=True)
class Request:
    """Request of a client, with its times and outcome."""

    sent_at: float
    outcome: Outcome = Outcome.PENDING
    ended_at: float = 0
    system_reset: bool = False


@attrs.define(kw_only=True)
class ClientFlow:
    """Client side of one flow; sends one request at a time."""

    key: tuple[int, int, int, int]
    timeline: Timeline
    send: Callable[[bytes, tuple[int, int, int, int]], None]
    deadline: float = 1.0
    echo: int = 0
    seq: int = FIRST_SEQ
    ack: int = 0
    syn_count: int = 0
    open: bool = False
    ended: bool = False
    # True if a node reset the flow, not an upstream.
    system_reset: bool = False
    waiting: Request | None = None
    # True once the upstream has acknowledged the data of `waiting`.
    acknowledged: bool = False
    requests: list[Request] = attrs.field(factory=list)
    # Called with each request that has ended.
    on_end: Callable[['ClientFlow', Request], None] | None = None

    def request(self) -> Request:
        """Send a request; open the flow first if it is not open."""
        sent = Request(sent_at=self.timeline.now)
        self.requests.append(sent)
        self.waiting = sent
        self.acknowledged = False
        self.timeline.after(self.deadline, lambda: self.expire(sent))
        if self.ended:
            self.end_request(Outcome.RESET)
        elif self.open:
            self.send_data(sent, INITIAL_RETRANSMIT_SECONDS)
        else:
            self.send_opening()
        return sent

    def send_opening(self) -> None:
        """Send the opening packet (SYN) and its retransmissions."""
        if self.open or self.ended:
            return
        self.packet(SYN, ack=self.syn_count)
        if self.syn_count < len(SYN_RETRANSMIT_SECONDS):
            self.timeline.after(
                SYN_RETRANSMIT_SECONDS[self.syn_count], self.send_opening
            )
        elif self.syn_count == len(SYN_RETRANSMIT_SECONDS):
            remaining = OPENING_TIMEOUT_SECONDS - sum(SYN_RETRANSMIT_SECONDS)
            self.timeline.after(remaining, self.expire_opening)
        self.syn_count += 1

    def expire_opening(self) -> None:
        """End the flow if its opening was not answered."""
        if not self.open:
            self.ended = True
            self.end_request(Outcome.NOT_OPENED)

    def send_data(self, sent: Request, pause: float) -> None:
        """Send the request's data; retransmit until it is acknowledged."""
        if self.waiting is not sent or self.ended or self.acknowledged:
            return
        self.packet(ACK, ack=self.ack, length=REQUEST_BYTES)
        next_pause = min(pause * 2, MAX_RETRANSMIT_SECONDS)
        self.timeline.after(pause, lambda: self.send_data(sent, next_pause))

    def receive(self, packet: Packet) -> None:
        """Handle a packet that was received for this flow."""
        if self.ended:
            return
        if packet.flags & RST:
            self.handle_reset(packet)
            return
        self.echo = packet.echo
        if packet.flags & SYN:
            self.handle_opening_answer(packet)
            return
        if packet.ack == self.seq + REQUEST_BYTES:
            self.acknowledged = True
        if packet.length and packet.seq == self.ack:
            self.handle_answer(packet)

    def handle_reset(self, packet: Packet) -> None:
        """End the flow, unless a node's reset lies outside the window."""
        by_node = packet.checksum == 0
        in_window = abs(packet.seq - self.ack) <= RESET_WINDOW
        if by_node and self.open and not in_window:
            return
        self.ended = True
        self.system_reset = by_node
        if self.waiting is not None:
            self.waiting.system_reset = by_node
        self.end_request(Outcome.RESET)

    def handle_opening_answer(self, packet: Packet) -> None:
        """Send the request to the first upstream that answers the opening."""
        if self.open:
            return
        self.open = True
        self.ack = packet.seq
        if self.waiting is not None:
            self.send_data(self.waiting, INITIAL_RETRANSMIT_SECONDS)

    def handle_answer(self, packet: Packet) -> None:
        """Acknowledge an answer and end its request."""
        self.ack = packet.seq + packet.length
        self.seq += REQUEST_BYTES
        self.packet(ACK, ack=self.ack)
        refused = packet.length == REFUSAL_BYTES
        self.end_request(Outcome.REFUSED if refused else Outcome.SERVED)

    def close(self) -> None:
        """Send FIN to the upstream and end the flow."""
        if self.open and not self.ended:
            self.packet(ACK | FIN, ack=self.ack)
        self.ended = True

    def expire(self, sent: Request) -> None:
        """End a request and its flow when the deadline has passed."""
        if sent is self.waiting:
            self.end_request(Outcome.LATE)
            self.ended = True

    def end_request(self, outcome: Outcome) -> None:
        """Record the outcome of the current request."""
        if self.waiting is not None:
            ended = self.waiting
            ended.outcome = outcome
            ended.ended_at = self.timeline.now
            self.waiting = None
            if self.on_end is not None:
                self.on_end(self, ended)

    def packet(self, flags: int, *, ack: int, length: int = 0) -> None:
        """Build and send one packet."""
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


def deliver_to_flow(
    flows: Mapping[tuple[int, ...], ClientFlow], payload: bytes
) -> None:
    """Deliver a packet to its client flow; drop it if there is none.

    In a packet to a client the route is the source, so the address pairs are
    swapped to form the key.
    """
    packet = Packet(*HEADER.unpack_from(payload))
    key = (packet.address, packet.port, packet.client, packet.client_port)
    flow = flows.get(key)
    if flow is not None:
        flow.receive(packet)


__all__ = ('Address', 'ClientFlow', 'Outcome', 'Request', 'deliver_to_flow')
