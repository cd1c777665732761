"""Stand-ins for the platform, endpoints and clients, on loopback addresses.

They speak what the users' pages say and use the standard library only. One
process holds them all; the nodes under review are separate processes.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import zlib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEADER = struct.Struct('>HIIIIHHIIB')
TAG = struct.Struct('>Q')
SYN, ACK, FIN, RST = 128, 64, 8, 4
MAX_DATA = 1200
RESET_WINDOW = 76_800
SYN_TIMES = (0.0, 0.2, 0.6)
OPENING_SECONDS = 1.4
FIRST_RETRANSMIT = 0.2
MAX_RETRANSMIT = 1.6
ENDPOINT_RETRANSMITS = 8
PROBE_SECONDS = 0.5
PROBE_MISSES = 2
STATUS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition'}
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

FlowKey = tuple[int, int, int, int]


def number_of(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), 'big')


def host_of(number: int) -> str:
    """Return an IPv4 address as text."""
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


class Packet:
    """One packet, with its fields."""

    def __init__(self, payload: bytes) -> None:
        """Parse a datagram."""
        (
            self.length,
            self.echo,
            self.seq,
            self.ack,
            self.src,
            self.dport,
            self.sport,
            self.dst,
            self.sum,
            self.flags,
        ) = HEADER.unpack_from(payload)
        self.data = payload[HEADER.size : HEADER.size + self.length]

    @property
    def key(self) -> FlowKey:
        """Return source, its port, destination, its port."""
        return (self.src, self.sport, self.dst, self.dport)

    @property
    def reverse(self) -> FlowKey:
        """Return the key of the same flow as its client writes it."""
        return (self.dst, self.dport, self.src, self.sport)

    def is_intact(self) -> bool:
        """Return True if no field but the echo was changed on the way."""
        fields = (self.seq, self.ack, *self.key, self.flags)
        return self.sum == keyed_sum(fields, self.data)


def keyed_sum(fields: tuple[int, ...], data: bytes) -> int:
    """Return the sum over all fields but the echo; never 0."""
    return zlib.crc32(repr(fields).encode() + data) | 1


def build(
    key: FlowKey, echo: int, seq: int, ack: int, flags: int, data: bytes = b''
) -> bytes:
    """Return the bytes of a packet from the first end of a key."""
    src, sport, dst, dport = key
    total = keyed_sum((seq, ack, *key, flags), data)
    head = HEADER.pack(
        len(data), echo, seq, ack, src, dport, sport, dst, total, flags
    )
    return head + data


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Open the file of the record."""
        self.began = time.monotonic()
        self.file = path.open('w', encoding='utf-8')

    def __call__(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        elapsed = time.monotonic() - self.began
        self.file.write(f'{elapsed:8.3f} {text}\n')
        self.file.flush()


class Store:
    """The platform's key-value store."""

    def __init__(self, record: Record) -> None:
        """Start empty."""
        self.record = record
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.oldest = self.revision
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        # Sent as Store-Era from the first restore on.
        self.era = 0
        # False while the store is away.
        self.answering = True
        # Connections on which a response was lost: they return nothing further.
        self.silent = False
        self.writers: set[asyncio.StreamWriter] = set()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return its revision."""
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            'Key': key,
            'Value': base64.b64encode(value).decode(),
            'Rev': self.revision,
            'CreateRev': before['CreateRev'] if before else self.revision,
            'Lease': lease,
        }
        self.history.append(self.items[key])
        self.wake()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({'Key': key, 'Rev': self.revision, 'Removed': True})
        self.wake()

    def wake(self) -> None:
        """Wake the watches that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> dict[str, Any]:
        """Return a copy from which the store can be restored."""
        now = time.monotonic()
        return {
            'revision': self.revision,
            'items': dict(self.items),
            'history': list(self.history),
            'next_lease': self.next_lease,
            'left': {
                lease: (seconds, ends - now)
                for lease, (seconds, ends) in self.leases.items()
            },
        }

    def go_away(self, *, silent: bool = False) -> None:
        """Answer nothing until restored; close connections, or keep silent."""
        self.answering = False
        self.silent = silent
        self.record('the store is away')
        if silent:
            return
        for writer in list(self.writers):
            writer.close()

    def come_back(self) -> None:
        """Answer again; connections on which answers were lost stay silent."""
        self.answering = True
        self.wake()

    def restore(self, copy: dict[str, Any]) -> None:
        """Come back from a copy; what was written since is gone."""
        now = time.monotonic()
        self.revision = copy['revision']
        self.items = dict(copy['items'])
        self.history = list(copy['history'])
        self.next_lease = copy['next_lease']
        self.leases = {
            lease: (seconds, now + left)
            for lease, (seconds, left) in copy['left'].items()
        }
        self.era += 1
        self.answering = True
        self.record('the store is back from the copy')
        self.wake()

    async def expire(self) -> None:
        """Remove the keys of leases that ended."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends) in list(self.leases.items()):
                if ends < now and self.answering:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['Lease'] == lease:
                self.remove(key)
        return True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        self.writers.add(writer)
        try:
            while self.answering or self.silent:
                head = await reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode().split('\r\n')
                length = next(
                    (
                        int(line.split(':')[1])
                        for line in lines
                        if line.lower().startswith('content-length')
                    ),
                    0,
                )
                body = await reader.readexactly(length)
                method, target, _ = first.split(' ')
                status, answer = await self.answer(method, target, body)
                if not self.answering:
                    if self.silent:
                        await asyncio.sleep(3600)
                    return
                era = f'Store-Era: {self.era}\r\n' if self.era else ''
                encoded = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} {STATUS[status]}\r\n'
                    'Content-Type: application/json\r\n'
                    f'{era}Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        """Return status and body of one call."""
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: last[-1] for name, last in parse_qs(parts.query).items()}
        wanted = json.loads(body) if body else {}
        head, _, last = parts.path.rpartition('/')
        if parts.path == '/-/kv-key':
            item = self.items.get(query['Key'])
            return (200, {**item, 'AsOf': self.revision}) if item else (404, {})
        if parts.path == '/-/kv-range':
            return self.read_range(query)
        if parts.path == '/-/kv-watch':
            return await self.watch(query)
        if parts.path == '/-/kv-txn':
            return self.write(wanted)
        if parts.path == '/-/kv-lease':
            self.next_lease += 1
            seconds = wanted['TtlMs'] / 1000
            self.leases[self.next_lease] = (
                seconds,
                time.monotonic() + seconds,
            )
            return 200, {'Lease': self.next_lease, 'TtlMs': wanted['TtlMs']}
        if head == '/-/kv-keep' and int(last) in self.leases:
            seconds, _ = self.leases[int(last)]
            self.leases[int(last)] = (seconds, time.monotonic() + seconds)
            return 200, {'TtlMs': round(seconds * 1000)}
        if head == '/-/kv-lease-end' and method == 'DELETE':
            return (200 if self.end_lease(int(last)) else 404), {}
        return 404, {}

    def read_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Answer with one page of a prefix."""
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:500]],
            'HasMore': len(keys) > 500,
            'AsOf': self.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Answer with the changes after a revision, once there are any."""
        after, prefix = int(query['after']), query.get('Prefix', '')
        ends = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event['Rev'] > after and event['Key'].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'AsOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def write(self, wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction if its conditions hold."""
        rows = wanted.get('Expect', [])
        for row in rows:
            item = self.items.get(row['Key'])
            if (item['Rev'] if item else 0) != row['Rev']:
                shown = [
                    self.items[one['Key']]
                    for one in rows
                    if one['Key'] in self.items
                ]
                return 412, {'items': shown}
        for one in wanted.get('Puts', []):
            if one.get('Lease') and one['Lease'] not in self.leases:
                return 404, {}
        for one in wanted.get('Puts', []):
            self.put(
                one['Key'], base64.b64decode(one['Value']), one.get('Lease', 0)
            )
        for key in wanted.get('Delete', []):
            self.remove(key)
        return 200, {'Rev': self.revision}


class Sender(asyncio.DatagramProtocol):
    """A UDP socket with a handler."""

    def __init__(self, handler: Callable[[bytes], None]) -> None:
        """Store the handler of what arrives."""
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand a datagram on."""
        self.handler(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore what an unreachable peer reports."""

    def send(self, payload: bytes, target: tuple[str, int]) -> None:
        """Send a datagram."""
        if self.transport is not None:
            self.transport.sendto(payload, target)


class Half:
    """What both ends of a flow keep: sequence numbers and what is unacked."""

    def __init__(self, key: FlowKey, seq: int, transmit: Any) -> None:
        """Start with nothing sent; `key` is from this end."""
        self.key = key
        self.seq = seq
        self.expected = 0
        self.echo = 0
        self.transmit = transmit
        self.unacked: list[tuple[int, bytes]] = []
        self.unacknowledged = 0
        self.closed = False
        self.gave_up: Callable[[], None] = lambda: None
        self.most = 1000

    def send_data(self, data: bytes) -> None:
        """Send data in packets, and again until they are acknowledged."""
        for start in range(0, len(data), MAX_DATA):
            part = data[start : start + MAX_DATA]
            entry = (self.seq, part)
            self.seq = (self.seq + len(part)) & 0xFFFFFFFF
            self.unacked.append(entry)
            self.send_entry(entry, FIRST_RETRANSMIT, 0)

    def send_entry(
        self, entry: tuple[int, bytes], pause: float, count: int
    ) -> None:
        """Send one packet, and plan its retransmission."""
        if entry not in self.unacked or self.closed:
            return
        if count > self.most:
            self.closed = True
            self.gave_up()
            return
        self.unacknowledged = 0
        seq, part = entry
        self.transmit(build(self.key, self.echo, seq, self.expected, ACK, part))
        asyncio.get_running_loop().call_later(
            pause,
            self.send_entry,
            entry,
            min(pause * 2, MAX_RETRANSMIT),
            count + 1,
        )

    def acknowledge(self, flags: int = ACK) -> None:
        """Send a packet without data."""
        self.unacknowledged = 0
        self.transmit(
            build(self.key, self.echo, self.seq, self.expected, flags)
        )

    def take(self, packet: Packet) -> bytes:
        """Handle acknowledgements and data; return new data in order."""
        self.unacked = [
            (seq, part)
            for seq, part in self.unacked
            if (packet.ack - seq - len(part)) & 0xFFFFFFFF >= 1 << 31
        ]
        if not packet.length:
            return b''
        self.unacknowledged += 1
        data = b''
        if packet.seq == self.expected:
            self.expected = (self.expected + packet.length) & 0xFFFFFFFF
            data = packet.data
        if self.unacknowledged >= 2 or not data:
            self.acknowledge()
        return data


class EndpointFlow(Half):
    """A flow at an endpoint."""

    def __init__(self, key: FlowKey, transmit: Any) -> None:
        """Start with a sequence number of its own."""
        super().__init__(key, random.getrandbits(32), transmit)
        self.first = self.seq
        self.open = False
        self.most = ENDPOINT_RETRANSMITS
        self.buffer = b''


class Endpoint:
    """An endpoint: slots, a queue, and flows with clients."""

    def __init__(
        self,
        *,
        record: Record,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        client_port: int,
        slots: int = 2,
    ) -> None:
        """Store the arguments and start without flows."""
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.client_port = client_port
        self.slots = slots
        self.tag = int(name.rpartition('-')[2], 16)
        self.born = int(time.time() * 1000)
        self.flows: dict[FlowKey, EndpointFlow] = {}
        self.queue: deque[tuple[EndpointFlow, str, float]] = deque()
        self.running = 0
        self.ran: dict[str, float] = {}
        self.answered: dict[str, float] = {}
        self.altered = 0
        self.openings: list[tuple[float, FlowKey]] = []
        self.sender = Sender(self.receive)

    def entry(self, state: str = 'ready') -> bytes:
        """Return its registration."""
        return json.dumps(
            {
                'Service': self.service,
                'Address': f'{self.address[0]}:{self.address[1]}',
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': self.slots,
                'State': state,
                'WarmupMs': 0,
                'Seq': 1,
                'born': self.born,
            }
        ).encode()

    def receive(self, payload: bytes) -> None:
        """Handle a datagram: 8 bytes and a packet."""
        tag = TAG.unpack_from(payload)[0]
        if tag not in {0, self.tag}:
            return
        packet = Packet(payload[TAG.size :])
        if not packet.is_intact():
            self.altered += 1
            self.record(f'{self.name} got an altered packet')
            return
        if packet.flags & SYN:
            self.open(packet)
            return
        flow = self.flows.get(packet.key)
        if flow is None:
            self.record(f'{self.name} resets unknown {show(packet.key)}')
            reset = build(packet.reverse, packet.echo, packet.ack, 0, RST)
            self.transmit(reset)
            return
        flow.echo = packet.echo
        if packet.flags & RST:
            del self.flows[packet.key]
            return
        if packet.ack != flow.first and not flow.open:
            return
        if not flow.open:
            flow.open = True
            self.record(f'{self.name} has {show(packet.key)} open')
        self.take(flow, packet)

    def open(self, packet: Packet) -> None:
        """Answer a SYN."""
        flow = self.flows.get(packet.key)
        if flow is None:
            flow = EndpointFlow(packet.reverse, self.transmit)
            flow.expected = packet.seq
            self.flows[packet.key] = flow
            self.openings.append((time.monotonic(), packet.key))
            self.record(f'{self.name} got SYN of {show(packet.key)}')
        flow.echo = packet.echo
        self.transmit(
            build(flow.key, flow.echo, flow.first, flow.expected, SYN | ACK)
        )

    def take(self, flow: EndpointFlow, packet: Packet) -> None:
        """Take data and start the requests that are complete."""
        flow.buffer += flow.take(packet)
        while b'\r\n\r\n' in flow.buffer:
            head, _, rest = flow.buffer.partition(b'\r\n\r\n')
            fields = dict(
                line.split(': ') for line in head.decode().split('\r\n')[1:]
            )
            length = int(fields.get('Content-Length', 0))
            if len(rest) < length:
                break
            flow.buffer = rest[length:]
            self.queue.append(
                (
                    flow,
                    fields['Burdocksill-Request-Id'],
                    int(fields['Work-Ms']) / 1000,
                )
            )
            self.start()
        if packet.flags & FIN:
            flow.acknowledge(ACK | FIN)
            del self.flows[packet.key]

    def start(self) -> None:
        """Work on queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            flow, name, seconds = self.queue.popleft()
            self.running += 1
            self.ran[name] = time.monotonic()
            self.record(f'{self.name} begins {name}')
            asyncio.get_running_loop().call_later(
                seconds, self.finish, flow, name
            )

    def finish(self, flow: EndpointFlow, name: str) -> None:
        """Answer a request."""
        self.running -= 1
        self.answered[name] = time.monotonic()
        self.record(f'{self.name} answers {name}')
        size = 600 if name.startswith('count') else 2000
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Burdocksill-Request-Id: {name}\r\n'
            f'Content-Length: {size}\r\n\r\n'
        ).encode()
        if flow.key[2:] + flow.key[:2] in self.flows:
            flow.send_data(head + bytes(size))
        self.start()

    def transmit(self, payload: bytes) -> None:
        """Send a packet to its client directly."""
        packet = Packet(payload)
        self.sender.send(payload, (host_of(packet.dst), self.client_port))


def show(key: FlowKey) -> str:
    """Return a flow as text."""
    return f'{host_of(key[0])}:{key[1]}>{host_of(key[2])}:{key[3]}'


class Request:
    """A request of a client and what became of it."""

    def __init__(self, name: str, flow: ClientFlow) -> None:
        """Start without an answer."""
        self.name = name
        self.flow = flow
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.outcome = ''
        self.done = asyncio.Event()

    def end(self, outcome: str) -> None:
        """Record the outcome, once."""
        if not self.outcome:
            self.outcome = outcome
            self.ended_at = time.monotonic()
            taken = (self.ended_at - self.sent_at) * 1000
            self.flow.client.record(
                f'{self.name} on {show(self.flow.key)}: {outcome} '
                f'after {taken:.0f} ms'
            )
            self.done.set()


class ClientFlow(Half):
    """A flow at its client."""

    def __init__(self, client: ClientHost, key: FlowKey) -> None:
        """Store the arguments; nothing is sent yet."""
        super().__init__(key, random.getrandbits(32), self.pass_on)
        self.client = client
        self.ack_base = 0
        self.open = False
        self.opened = asyncio.Event()
        self.opened_at = 0.0
        self.upstream = 0
        self.endpoint: Endpoint | None = None
        self.reset_by_node_at = 0.0
        self.request: Request | None = None
        self.buffer = b''
        self.last_seen = 0.0
        # How the opening failed, if it did.
        self.failure = ''

    def pass_on(self, payload: bytes) -> None:
        """Send a packet through the router."""
        self.last_seen = time.monotonic()
        self.client.router.forward(self.key, payload)

    async def connect(self) -> bool:
        """Open the flow; return False if that failed."""
        loop = asyncio.get_running_loop()
        for count, after in enumerate(SYN_TIMES):
            loop.call_later(after, self.send_opening, count)
        try:
            await asyncio.wait_for(self.opened.wait(), OPENING_SECONDS)
        except TimeoutError:
            self.closed = True
            self.failure = 'no answer'
        return self.open

    def send_opening(self, count: int) -> None:
        """Send a SYN or one of its copies."""
        if not self.open and not self.closed:
            self.pass_on(build(self.key, 0, self.seq, count, SYN))

    def receive(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if self.closed:
            return
        if packet.flags & RST:
            self.handle_reset(packet)
            return
        if packet.flags & SYN:
            if not self.open:
                self.open = True
                self.opened_at = time.monotonic()
                self.expected = packet.seq
                self.echo = packet.echo
                self.upstream = packet.echo
                self.acknowledge()
                self.opened.set()
            return
        self.echo = packet.echo
        self.buffer += self.take(packet)
        self.read_answers()

    def handle_reset(self, packet: Packet) -> None:
        """End the flow; a node's reset counts near the last ack only."""
        by_node = packet.sum == 0
        distance = (packet.seq - self.expected) & 0xFFFFFFFF
        near = min(distance, (1 << 32) - distance) <= RESET_WINDOW
        if by_node and self.open and not near:
            return
        sender = 'a node' if by_node else 'its endpoint'
        self.client.record(f'{show(self.key)} was reset by {sender}')
        self.closed = True
        self.failure = f'reset by {sender}'
        self.opened.set()
        if by_node and self.open:
            self.reset_by_node_at = time.monotonic()
        if self.request is not None:
            self.request.end(f'reset by {sender}')

    def read_answers(self) -> None:
        """End the request when its answer is complete."""
        head, found, rest = self.buffer.partition(b'\r\n\r\n')
        if not found:
            return
        fields = dict(
            line.split(': ') for line in head.decode().split('\r\n')[1:]
        )
        length = int(fields['Content-Length'])
        if len(rest) < length or self.request is None:
            return
        self.buffer = rest[length:]
        same = fields['Burdocksill-Request-Id'] == self.request.name
        request, self.request = self.request, None
        request.end('answered' if same else 'answered with foreign data')

    def ask(self, name: str, work_ms: int, deadline: float = 1.0) -> Request:
        """Send a request; `count...` are unsafe, others have no body."""
        request = Request(name, self)
        if self.closed:
            request.end('flow was closed')
            return request
        self.request = request
        is_unsafe = name.startswith('count')
        body = bytes(900) if is_unsafe else b''
        method = 'POST' if is_unsafe else 'GET'
        text = (
            f'{method} /{name} HTTP/1.1\r\n'
            f'Burdocksill-Request-Id: {name}\r\n'
            f'Work-Ms: {work_ms}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        where = self.client.router.choose(self.key)
        self.client.record(f'{name} sent on {show(self.key)} through {where}')
        self.send_data(text.encode() + body)
        asyncio.get_running_loop().call_later(deadline, self.expire, request)
        return request

    def expire(self, request: Request) -> None:
        """Give up at the deadline."""
        if not request.outcome:
            request.end('no answer by its deadline')
            self.request = None
            self.acknowledge(ACK | FIN)
            self.closed = True


class ClientHost:
    """The clients at one address."""

    def __init__(self, *, record: Record, host: str, router: Router) -> None:
        """Start without flows."""
        self.record = record
        self.host = host
        self.router = router
        self.flows: dict[FlowKey, ClientFlow] = {}
        self.port = 1024
        self.sender = Sender(self.receive)

    def receive(self, payload: bytes) -> None:
        """Hand a packet to its flow."""
        packet = Packet(payload)
        flow = self.flows.get(packet.reverse)
        if flow is not None:
            flow.receive(packet)

    def make_flow(self, route: tuple[str, int]) -> ClientFlow:
        """Return a new flow from a new port; it is not open yet."""
        self.port += 1
        key = (number_of(self.host), self.port, number_of(route[0]), route[1])
        flow = ClientFlow(self, key)
        self.flows[key] = flow
        return flow


class Router:
    """The platform's router of one zone; nodes are drawn by `mod`."""

    def __init__(self, *, record: Record, nodes: list[Node]) -> None:
        """Start with all nodes in rotation."""
        self.record = record
        self.nodes = nodes
        self.rotation = list(nodes)
        self.misses: dict[str, int] = {}
        self.sender = Sender(lambda payload: None)
        self.next_probe_at = 0.0
        # Nodes that run but are not probed yet, as machines yet to be added.
        self.unseen: set[str] = set()

    def choose(self, key: FlowKey) -> Node:
        """Return the node of a flow."""
        nodes = self.rotation or self.nodes
        return self.choose_among(key, nodes)

    @staticmethod
    def choose_among(key: FlowKey, nodes: list[Node]) -> Node:
        """Return the node of a flow in a given rotation."""
        return nodes[zlib.crc32(repr(key).encode()) % len(nodes)]

    def forward(self, key: FlowKey, payload: bytes) -> None:
        """Send a packet of a client to its node."""
        node = self.choose(key)
        self.sender.send(payload, (node.host, node.data_port))

    async def run(self) -> None:
        """Probe the nodes twice a second."""
        while True:
            self.next_probe_at = time.monotonic() + PROBE_SECONDS
            await asyncio.gather(*(self.probe(node) for node in self.nodes))
            delay = self.next_probe_at - time.monotonic()
            await asyncio.sleep(max(0.01, delay))

    async def probe(self, node: Node) -> None:
        """Probe one node and update the rotation."""
        is_ready = await node.is_ready()
        misses = 0 if is_ready else self.misses.get(node.name, 0) + 1
        self.misses[node.name] = misses
        inside = node in self.rotation
        if is_ready and not inside:
            self.rotation = [
                one for one in self.nodes if one in self.rotation or one is node
            ]
            self.record(f'router: {node} is in rotation')
        elif misses >= PROBE_MISSES and inside:
            self.rotation = [one for one in self.rotation if one is not node]
            self.record(f'router: {node} is out of rotation')


class Node:
    """One process under review, with its settings."""

    def __init__(
        self,
        *,
        record: Record,
        folder: Path,
        number: int,
        zone: str,
        ports: dict[str, int],
        store: tuple[str, int],
    ) -> None:
        """Write the settings file."""
        self.record = record
        self.zone = zone
        self.name = f'front-{zone}-{number}'
        self.host = f'127.0.1.{number}'
        self.data_port = ports['data']
        self.ready_port = ports['ready']
        self.settings = folder / f'{self.name}.conf'
        self.log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=zone,
                ip=self.host,
                store_address=f'{store[0]}:{store[1]}',
                **ports,
            ),
            encoding='utf-8',
        )

    def __str__(self) -> str:
        """Return the name."""
        return self.name

    def start(self) -> None:
        """Start the process as the deploy file says."""
        self.starts += 1
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BURDOCKSILL_CONFIG'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'deploy/node.py'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record(f'{self} is started')

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record(f'{self} gets {number.name}')

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def restart_if_ended(self) -> int | None:
        """Start the process again if it ended; return its exit status."""
        if self.process is None:
            return None
        status = self.process.poll()
        if status is not None:
            self.record(f'{self} ended by itself with {status}')
            self.start()
        return status

    def lines(self, message: str) -> list[dict[str, Any]]:
        """Return the log lines with a message."""
        found = []
        for line in self.log.read_text(encoding='utf-8').splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and fields.get('message') == message:
                found.append(fields)
        return found

    async def is_ready(self) -> bool:
        """Return True if the probe is answered with 200."""
        try:
            return await asyncio.wait_for(self.ask_ready(), 0.4)
        except (OSError, TimeoutError):
            return False

    async def ask_ready(self) -> bool:
        """Probe the process once."""
        reader, writer = await asyncio.open_connection(
            self.host, self.ready_port
        )
        try:
            writer.write(
                f'GET /-/ready HTTP/1.1\r\nHost: {self.host}\r\n\r\n'.encode()
            )
            line = await reader.readline()
            return b' 200 ' in line
        finally:
            writer.close()


SETTINGS = """\
Node={name}
Role=entry
MachineClass=front
Serves=front
Ip={ip}
Zone={zone}
Region=cz-central
Zones.cz-central-a=cz-central
Zones.cz-central-b=cz-central
Zones.cz-central-c=cz-central
Listen.DataAddr={ip}:{data}
Listen.ReadyAddr={ip}:{ready}
PortRange={first},{last}
Seeds=
Bootstrap=true
LossCounts=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=announce
HeartbeatMs=770
Contracts=base,drain,config,cost,recover,flows,places,platform
FaultTolerance.Machines=2
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=4000
Bounds.AckMs=5000
Bounds.SyncS=4
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.LostMs=200
Bounds.ConfigMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxSkewMs=12000
Bounds.WarmupFactor=1.5
Bounds.WarmupSlack=5
Bounds.EvacMs=5000
Bounds.RecoverS=12
Bounds.FlowMs=2000
Bounds.FlowMaxS=60
Hash=mod
Mode=echo
platform.Address={store_address}
platform.Mode=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
"""
ROUTE_COUNT = ('198.18.0.1', 8080)
ROUTE_FEED = ('198.18.0.1', 8443)


def manifest(version: int, service: str = 'kiosk-ledger') -> bytes:
    """Return a manifest with one unsafe and one safe route."""
    routes = [
        {
            'Name': 'returns-count',
            'Hostname': ROUTE_COUNT[0],
            'Prefix': f'/{ROUTE_COUNT[1]}/',
            'Type': 'unsafe',
            'TimeoutMs': 1000,
            'SloMs': 150,
            'Priority': 1,
            'Service': service,
            'Attempts': 2,
        },
        {
            'Name': 'pickup-confirm',
            'Hostname': ROUTE_FEED[0],
            'Prefix': f'/{ROUTE_FEED[1]}/',
            'Type': 'safe',
            'TimeoutMs': 800,
            'SloMs': 120,
            'Priority': 2,
            'Service': service,
            'Attempts': 2,
        },
    ]
    return json.dumps(
        {
            'Version': version,
            'Routes': routes,
            'Services': [
                {
                    'Name': service,
                    'HealthPath': '/health',
                    'MaxConns': 2000,
                    'Protocol': 'h1',
                    'Tls': False,
                    'WarmupS': 2.0,
                    'ColdPerS': 0.0,
                }
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 262144,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
        }
    ).encode()


def is_free(host: str, port: int) -> bool:
    """Return True if a port can be bound for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as tried:
            try:
                tried.bind((host, port))
            except OSError:
                return False
    return True


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return ports that are free on all hosts."""
    while True:
        first = random.randrange(12000, 30000, 32)
        wanted = range(first, first + 20)
        if all(is_free(host, port) for host in hosts for port in wanted):
            return {
                'data': first,
                'ready': first + 1,
                'first': first + 2,
                'last': first + 17,
                'store': first + 18,
                'endpoint': first + 19,
            }


class World:
    """A small deployment: a store, nodes, endpoints, clients and a router."""

    def __init__(self, folder: Path) -> None:
        """Choose ports; nothing runs yet."""
        self.record = Record(folder / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.hosts = [
            f'127.0.{net}.{n}' for net in (1, 2, 3) for n in range(1, 9)
        ]
        self.ports = free_ports([*self.hosts, '127.0.4.1'])
        self.store_address = ('127.0.4.1', self.ports['store'])
        self.store = Store(self.record)
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self.routers: dict[str, Router] = {}
        self.clients: dict[str, ClientHost] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def listen(self, sender: Sender, address: tuple[str, int]) -> None:
        """Bind a UDP socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: sender, local_addr=address)

    async def start_store(self) -> None:
        """Serve the store."""
        await asyncio.start_server(self.store.serve, *self.store_address)
        self.spawn(self.store.expire())

    def spawn(self, coroutine: Any) -> None:
        """Run a task until the end."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def add_endpoint(
        self, zone: str, service: str = 'kiosk-ledger', slots: int = 2
    ) -> Endpoint:
        """Start an endpoint and register it."""
        number = len(self.endpoints) + 1
        endpoint = Endpoint(
            record=self.record,
            name=f'i-{random.getrandbits(40):010x}',
            service=service,
            zone=zone,
            address=(f'127.0.2.{number}', self.ports['endpoint']),
            client_port=self.ports['data'],
            slots=slots,
        )
        await self.listen(endpoint.sender, endpoint.address)
        self.endpoints.append(endpoint)
        self.store.put(f'servers/{endpoint.name}', endpoint.entry())
        self.record(f'{endpoint.name} of {service} is ready in {zone}')
        return endpoint

    def make_node(self, zone: str) -> Node:
        """Return a node that is not started yet."""
        node = Node(
            record=self.record,
            folder=self.folder,
            number=len(self.nodes) + 1,
            zone=zone,
            ports=self.ports,
            store=self.store_address,
        )
        self.nodes.append(node)
        return node

    async def start_zone(self, zone: str, nodes: int) -> Router:
        """Start the nodes, the router and the clients of a zone."""
        started = [self.make_node(zone) for _ in range(nodes)]
        for node in started:
            node.start()
        router = Router(record=self.record, nodes=started)
        host = f'127.0.3.{len(self.routers) + 1}'
        await self.listen(router.sender, (host, self.ports['store']))
        client = ClientHost(record=self.record, host=host, router=router)
        await self.listen(client.sender, (host, self.ports['data']))
        self.routers[zone] = router
        self.clients[zone] = client
        return router

    async def until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Wait for a condition; CannotRunError after some seconds."""
        ends = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > ends:
                raise CannotRunError(what)
            await asyncio.sleep(0.02)

    async def until_ready(self, nodes: list[Node], seconds: float = 10) -> None:
        """Wait until nodes are ready."""
        ends = time.monotonic() + seconds
        while not all([await node.is_ready() for node in nodes]):
            if time.monotonic() > ends:
                raise CannotRunError('the nodes are not ready')
            await asyncio.sleep(0.1)

    def record_log(self, message: str, most: int = 2) -> None:
        """Record the first log lines of each node with a message."""
        for node in self.nodes:
            found = node.lines(message) if node.log.exists() else []
            if found:
                self.record(f'{node} logged {message} {len(found)} times')
            for line in found[:most]:
                self.record(f'  {json.dumps(line)}')

    def close(self) -> None:
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.stop()
        self.temporary.cleanup()


class CannotRunError(Exception):
    """The case could not be set up."""


def main(folder: Path, play: Any) -> None:
    """Play a case and exit with its result."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        task = asyncio.current_task()
        if task is not None:
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                broken = await play(world, trouble)
        except Exception as error:  # noqa: BLE001 - no error is a broken rule
            world.record(f'could not run: {error!r}')
            return COULD_NOT_RUN
        finally:
            world.close()
        world.record('BROKEN' if broken else 'HELD')
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
