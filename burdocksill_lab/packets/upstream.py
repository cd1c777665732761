"""Simulated upstream of the packet path: a process with slots and a queue."""

import enum
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final

import attrs

from burdocksill.packets.header import (
    ACK,
    FIN,
    HEADER,
    RST,
    SYN,
    TAG,
    Packet,
    format_ipv4,
    parse_ipv4,
)
from burdocksill_lab.packets.checksum import is_intact, with_checksum
from burdocksill_lab.packets.network import Address, Network, Timeline

ANSWER_BYTES: Final = 100
# Size of the answer with which a full upstream refuses a request.
REFUSAL_BYTES: Final = 40
FIRST_SEQ: Final = 5_000
NAME_NUMBERS: Final = itertools.count(1)


class Condition(enum.Enum):
    """Fault that is injected into an upstream."""

    HEALTHY = 'well'
    # The process or its link is down: nothing is answered.
    UNRESPONSIVE = 'dark'
    # The process has ended; its host answers each packet with a reset.
    REFUSING = 'refusing'


@attrs.define(kw_only=True)
class FlowState:
    """State of one flow on an upstream."""

    echo: int
    seq: int = FIRST_SEQ
    expected: int = 0
    done: int = 0


@attrs.define(kw_only=True)
class LabUpstream:
    """Upstream that answers each request with one packet."""

    name: str
    address: Address
    service: str
    domain: str
    timeline: Timeline
    network: Network
    client_port: int
    slots: int = 2
    work_seconds: float = 0.02
    # Maximum number of queued requests, more are refused; None is unlimited.
    queue_limit: int | None = None
    # Draws the factor by which `work_seconds` is multiplied for a request.
    draw_work_factor: Callable[[], float] = lambda: 1.0
    condition: Condition = Condition.HEALTHY
    flows: dict[tuple[int, ...], FlowState] = attrs.field(factory=dict)
    queue: deque[tuple[Packet, FlowState]] = attrs.field(factory=deque)
    running: int = 0
    # Times at which opening packets were received.
    opened: list[float] = attrs.field(factory=list)
    # Called with each packet that opens a flow.
    on_open: Callable[['LabUpstream', Packet], None] | None = None
    # Number of packets received with a wrong checksum.
    altered: int = 0
    ran: int = 0
    refused: int = 0

    @property
    def tag(self) -> int:
        """Return the number in the name's hexadecimal part."""
        return int(self.name.rpartition('-')[2], 16)

    def receive(self, payload: bytes, _: Address) -> None:
        """Handle a datagram whose tag names this process or is 0."""
        tag = TAG.unpack_from(payload)[0]
        if self.condition is Condition.UNRESPONSIVE or tag not in {0, self.tag}:
            return
        packet = Packet(*HEADER.unpack_from(payload, TAG.size))
        self.altered += not is_intact(payload[TAG.size :])
        if self.condition is Condition.REFUSING:
            self.answer_with_reset(packet)
        elif packet.is_syn:
            self.open(packet)
        else:
            self.handle_flow_packet(packet)

    def answer_with_reset(self, packet: Packet) -> None:
        """Answer with a reset, as a host without the process does."""
        if packet.is_syn:
            self.opened.append(self.timeline.now)
        self.answer(packet, FlowState(echo=packet.echo), RST)

    def handle_flow_packet(self, packet: Packet) -> None:
        """Handle a packet that is not an opening; reset an unknown flow."""
        flow = self.flows.get(packet.flow)
        if flow is None:
            self.answer(packet, FlowState(echo=packet.echo), RST)
        elif packet.flags & (FIN | RST):
            del self.flows[packet.flow]
        elif packet.length:
            self.handle_request(packet, flow)

    def open(self, packet: Packet) -> None:
        """Open a flow and answer its opening."""
        flow = FlowState(echo=packet.echo, expected=packet.seq)
        if packet.flow not in self.flows:
            self.opened.append(self.timeline.now)
            if self.on_open is not None:
                self.on_open(self, packet)
        self.flows[packet.flow] = flow
        self.answer(packet, flow, SYN | ACK)

    def handle_request(self, packet: Packet, flow: FlowState) -> None:
        """Queue or refuse a request; acknowledge a retransmitted one."""
        if packet.seq < flow.expected:
            self.answer(packet, flow, ACK)
            return
        flow.expected = packet.seq + packet.length
        if self.queue_limit is not None and len(self.queue) >= self.queue_limit:
            self.refused += 1
            self.answer(packet, flow, ACK, REFUSAL_BYTES)
            flow.seq += REFUSAL_BYTES
            return
        self.queue.append((packet, flow))
        self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            self.running += 1
            finish = partial(self.finish, *self.queue.popleft())
            seconds = self.work_seconds * self.draw_work_factor()
            self.timeline.after(seconds, finish)

    def finish(self, packet: Packet, flow: FlowState) -> None:
        """Send the answer of a request; free its slot."""
        self.running -= 1
        if self.condition is not Condition.HEALTHY:
            return
        self.ran += 1
        self.answer(packet, flow, ACK, ANSWER_BYTES)
        flow.seq += ANSWER_BYTES
        self.start_queued()

    def answer(
        self,
        packet: Packet,
        flow: FlowState,
        flags: int,
        length: int = 0,
    ) -> None:
        """Send a packet to the client directly, not through a node."""
        head = HEADER.pack(
            length,
            flow.echo,
            flow.seq,
            flow.expected,
            packet.address,
            packet.client_port,
            packet.port,
            packet.client,
            1,
            flags,
        )
        target = (format_ipv4(packet.client), self.client_port)
        payload = with_checksum(head + bytes(length))
        self.network.send(payload, self.address, target)

    def restart(self) -> None:
        """Drop all flows and queued requests, as a restart does."""
        self.flows.clear()
        self.queue.clear()

    def entry(self, state: str, born: int = 1) -> dict[str, object]:
        """Return its registration in the form of the store's JSON."""
        return {
            'Service': self.service,
            'Address': f'{self.address[0]}:{self.address[1]}',
            'Zone': self.domain,
            'Version': 'v1',
            'Slots': self.slots,
            'State': state,
            'WarmupMs': 0,
            'Seq': 1,
            'born': born,
        }


def names(prefix: str) -> Iterator[str]:
    """Yield names that no other upstream of this process has."""
    return (
        f'{prefix}-{number * 2654435761 % 2**40:010x}'
        for number in NAME_NUMBERS
    )


__all__ = ('Condition', 'LabUpstream', 'names', 'parse_ipv4')
