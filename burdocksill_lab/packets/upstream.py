"""An upstream of the packet world: one process with slots and a queue."""

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
# What a full upstream answers with, instead of running a request.
REFUSAL_BYTES: Final = 40
FIRST_SEQ: Final = 5_000
NUMBERS: Final = itertools.count(1)


class Condition(enum.Enum):
    """Name what is wrong with an upstream."""

    WELL = 'well'
    # Its process or its link is gone: nothing comes back.
    DARK = 'dark'
    # Its process is gone, and its host answers for it.
    REFUSING = 'refusing'


@attrs.define(kw_only=True)
class HeldFlow:
    """Hold what an upstream knows of one flow."""

    echo: int
    seq: int = FIRST_SEQ
    expected: int = 0
    done: int = 0


@attrs.define(kw_only=True)
class LabUpstream:
    """Answer each request with one packet after its work."""

    name: str
    address: Address
    service: str
    domain: str
    timeline: Timeline
    network: Network
    client_port: int
    slots: int = 2
    work_seconds: float = 0.02
    # How many requests may wait; the rest are refused. None: any number.
    queue_limit: int | None = None
    # Draws how many times as long as usual a request takes.
    unevenness: Callable[[], float] = lambda: 1.0
    condition: Condition = Condition.WELL
    flows: dict[tuple[int, ...], HeldFlow] = attrs.field(factory=dict)
    queue: deque[tuple[Packet, HeldFlow]] = attrs.field(factory=deque)
    running: int = 0
    # Opening packets that were taken, with their times.
    opened: list[float] = attrs.field(factory=list)
    # Told of each packet that opens a flow here.
    on_open: Callable[['LabUpstream', Packet], None] | None = None
    # Packets that were not as their sender wrote them.
    altered: int = 0
    ran: int = 0
    refused: int = 0

    @property
    def tag(self) -> int:
        """Return the number that its name writes in hex."""
        return int(self.name.rpartition('-')[2], 16)

    def receive(self, payload: bytes, _: Address) -> None:
        """Take a datagram that is marked for this process."""
        tag = TAG.unpack_from(payload)[0]
        if self.condition is Condition.DARK or tag not in {0, self.tag}:
            return
        packet = Packet(*HEADER.unpack_from(payload, TAG.size))
        self.altered += not is_intact(payload[TAG.size :])
        if self.condition is Condition.REFUSING:
            self.refuse(packet)
        elif packet.is_syn:
            self.open(packet)
        else:
            self.carry_on(packet)

    def refuse(self, packet: Packet) -> None:
        """Answer as a host does whose process is gone."""
        if packet.is_syn:
            self.opened.append(self.timeline.now)
        self.answer(packet, HeldFlow(echo=packet.echo), RST)

    def carry_on(self, packet: Packet) -> None:
        """Take a packet of an open flow."""
        flow = self.flows.get(packet.flow)
        if flow is None:
            self.answer(packet, HeldFlow(echo=packet.echo), RST)
        elif packet.flags & (FIN | RST):
            del self.flows[packet.flow]
        elif packet.length:
            self.take(packet, flow)

    def open(self, packet: Packet) -> None:
        """Answer an opening."""
        flow = HeldFlow(echo=packet.echo, expected=packet.seq)
        if packet.flow not in self.flows:
            self.opened.append(self.timeline.now)
            if self.on_open is not None:
                self.on_open(self, packet)
        self.flows[packet.flow] = flow
        self.answer(packet, flow, SYN | ACK)

    def take(self, packet: Packet, flow: HeldFlow) -> None:
        """Queue a request, or acknowledge one that was sent again."""
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
        self.work()

    def work(self) -> None:
        """Begin to run what waits while slots are free."""
        while self.queue and self.running < self.slots:
            self.running += 1
            finish = partial(self.finish, *self.queue.popleft())
            seconds = self.work_seconds * self.unevenness()
            self.timeline.after(seconds, finish)

    def finish(self, packet: Packet, flow: HeldFlow) -> None:
        """Send the answer of a request."""
        self.running -= 1
        if self.condition is not Condition.WELL:
            return
        self.ran += 1
        self.answer(packet, flow, ACK, ANSWER_BYTES)
        flow.seq += ANSWER_BYTES
        self.work()

    def answer(
        self,
        packet: Packet,
        flow: HeldFlow,
        flags: int,
        length: int = 0,
    ) -> None:
        """Send a packet straight to the client."""
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
        """Lose all flows, as a process does that is started anew."""
        self.flows.clear()
        self.queue.clear()

    def entry(self, state: str, born: int = 1) -> dict[str, object]:
        """Return what it registers of itself."""
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
    """Return fresh names of upstreams."""
    return (
        f'{prefix}-{number * 2654435761 % 2**40:010x}' for number in NUMBERS
    )


__all__ = ('Condition', 'LabUpstream', 'names', 'parse_ipv4')
