"""A network in memory: delay, loss, copies, cuts and silence from a seed."""

import heapq
import math
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.network.protocols import Address, Datagram, DatagramSocket
from burdocksill_lab.fakes.links import WINDOW_BYTES, SlowLink

ONE_WAY_SECONDS: Final = 0.001
FIRST_PORT: Final = 40000

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


@attrs.define(kw_only=True)
class LinkFaults:
    """Hold what the network does to datagrams between all hosts."""

    loss: float = 0
    copies: float = 0
    # Each datagram takes one way's delay and up to this much more.
    jitter_seconds: float = 0
    # This share of the copies arrives this much later.
    late: float = 0
    late_seconds: float = 0


@attrs.define(order=True)
class Delivery:
    """Hold one thing that happens at a time; `number` keeps the order."""

    at: float
    number: int
    act: Callable[[], None] = attrs.field(order=False)


@attrs.define(kw_only=True, eq=False)
class FakeDatagramSocket:
    """Hold the queue of one bound address."""

    network: 'FakeNetwork'
    local: Address
    queue: deque[Datagram] = attrs.field(factory=deque)
    arrived: trio.Event = attrs.field(factory=trio.Event)
    closed: bool = False

    async def receive(self) -> list[Datagram]:
        """Wait until something arrived, then return all of it."""
        while not self.queue or self.local.host in self.network.paused:
            await self.arrived.wait()
            self.arrived = trio.Event()
        await trio.lowlevel.checkpoint()
        batch = list(self.queue)
        self.queue.clear()
        return batch

    def send(self, payload: bytes, peer: Address) -> bool:
        """Hand a datagram to the network."""
        if self.closed:
            return False
        self.network.send_datagram(self.local, payload, peer)
        return True

    def push(self, datagram: Datagram) -> None:
        """Queue a datagram that has arrived."""
        self.queue.append(datagram)
        self.arrived.set()

    def close(self) -> None:
        """Release the address."""
        self.closed = True
        self.network.sockets.pop(self.local, None)


@attrs.define(kw_only=True, eq=False)
class FakeStream(trio.abc.Stream):
    """One end of a connection; bytes wait while the hosts are cut off."""

    network: 'FakeNetwork'
    local: str
    remote: str
    peer: 'FakeStream | None' = None
    buffer: bytearray = attrs.field(factory=bytearray)
    arrived: trio.Event = attrs.field(factory=trio.Event)
    ended: bool = False
    broken: bool = False
    closed: bool = False
    last_at: float = 0

    def other(self) -> 'FakeStream':
        """Return the other end."""
        if self.peer is None:
            raise trio.ClosedResourceError
        return self.peer

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; they arrive in order after the link's delay."""
        await trio.lowlevel.checkpoint()
        if self.closed:
            raise trio.ClosedResourceError
        if self.broken:
            raise trio.BrokenResourceError
        chunk = bytes(data)
        peer = self.other()
        link = self.network.links.get(self.remote)
        if link is None:
            self.deliver(lambda: peer.feed(chunk))
        else:
            self.feed_over(link, peer, chunk)

    def feed_over(
        self,
        link: SlowLink,
        peer: 'FakeStream',
        chunk: bytes,
    ) -> None:
        """Send bytes as a link carries them, until the other end closes."""
        now = trio.current_time()
        window, rest = chunk[:WINDOW_BYTES], chunk[WINDOW_BYTES:]

        def act() -> None:
            peer.feed(window)
            if rest and not peer.closed:
                self.feed_over(link, peer, rest)

        self.deliver(act, link.passes_at(now, len(window)) - now)

    def deliver(self, act: Callable[[], None], passing: float = 0) -> None:
        """Let something happen at the other end, in order."""
        at = trio.current_time() + ONE_WAY_SECONDS + passing
        at = max(at, self.last_at)
        self.last_at = at
        self.network.schedule(at, lambda: self.attempt(act))

    def attempt(self, act: Callable[[], None]) -> None:
        """Act now, or later when the hosts are cut off from each other."""
        if self.network.reaches(self.local, self.remote):
            act()
        else:
            # TCP sends again until the cut heals; nobody is told meanwhile.
            self.network.held.append(lambda: self.attempt(act))

    def feed(self, chunk: bytes) -> None:
        """Take bytes that have arrived."""
        self.buffer.extend(chunk)
        self.arrived.set()

    def end(self) -> None:
        """Take the end of the other side's bytes."""
        self.ended = True
        self.arrived.set()

    def break_off(self) -> None:
        """Take a reset of the connection."""
        self.broken = True
        self.arrived.set()

    def kill(self, *, silent: bool) -> None:
        """End this side; the other sees a reset, or nothing at all."""
        if self.closed:
            return
        self.closed = True
        self.arrived.set()
        if not silent:
            self.deliver(self.other().break_off)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once: the network takes any amount."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return what has arrived, b'' at the end."""
        await trio.lowlevel.checkpoint()
        while not (self.buffer or self.ended or self.broken or self.closed):
            await self.arrived.wait()
            self.arrived = trio.Event()
        if self.closed:
            raise trio.ClosedResourceError
        if self.buffer:
            size = max_bytes or len(self.buffer)
            chunk = bytes(self.buffer[:size])
            del self.buffer[:size]
            return chunk
        if self.broken:
            raise trio.BrokenResourceError
        return b''

    async def aclose(self) -> None:
        """Close this end and tell the other."""
        self.close_now()
        await trio.lowlevel.checkpoint()

    def close_now(self) -> None:
        """Close this end and tell the other, without waiting."""
        if self.closed:
            return
        self.closed = True
        self.arrived.set()
        self.deliver(self.other().end)


@attrs.define(kw_only=True, eq=False)
class FakeNetwork:
    """Carry datagrams and streams between hosts; `run` delivers them."""

    rng: Random
    faults: LinkFaults = attrs.field(factory=LinkFaults)
    sockets: dict[Address, FakeDatagramSocket] = attrs.field(factory=dict)
    listeners: dict[Address, StreamHandler] = attrs.field(factory=dict)
    # Addresses whose packets the fabric sprays over entry VMs.
    sprayed: dict[Address, list[Address]] = attrs.field(factory=dict)
    streams: list[FakeStream] = attrs.field(factory=list)
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    # Hosts whose links are slow; streams to all others take no time to send.
    links: dict[str, SlowLink] = attrs.field(factory=dict)
    dead: set[str] = attrs.field(factory=set)
    paused: set[str] = attrs.field(factory=set)
    resumed: trio.Event = attrs.field(factory=trio.Event)
    held: list[Callable[[], None]] = attrs.field(factory=list)
    heap: list[Delivery] = attrs.field(factory=list)
    scheduled: trio.Event = attrs.field(factory=trio.Event)
    number: int = 0
    next_port: int = FIRST_PORT
    nursery: trio.Nursery | None = None
    # Called with sender, receiver and payload of every datagram delivered.
    taps: list[Callable[[Address, Address, bytes], None]] = attrs.field(
        factory=list,
    )

    async def run(self) -> None:
        """Deliver what is due until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await self.wait_for_delivery()
                while self.heap and self.heap[0].at <= trio.current_time():
                    heapq.heappop(self.heap).act()

    async def wait_for_delivery(self) -> None:
        """Wait until the earliest delivery is due or an earlier one comes."""
        self.scheduled = trio.Event()
        due = self.heap[0].at if self.heap else math.inf
        with trio.move_on_at(due):
            await self.scheduled.wait()

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Let something happen at a time of trio's clock."""
        self.number += 1
        heapq.heappush(self.heap, Delivery(at, self.number, act))
        self.scheduled.set()

    def reaches(self, source: str, target: str) -> bool:
        """Return True when a packet gets from host to host."""
        hosts = {source, target}
        if hosts & self.dead or hosts & self.paused:
            return False
        return (source, target) not in self.cuts

    def cut(
        self,
        some: list[str],
        others: list[str],
        *,
        one_way: bool = False,
    ) -> None:
        """Cut hosts off from others."""
        for source in some:
            for target in others:
                self.cuts.add((source, target))
                if not one_way:
                    self.cuts.add((target, source))

    def heal(self) -> None:
        """Undo every cut; bytes of streams that waited arrive."""
        self.cuts.clear()
        self.release_held()

    def release_held(self) -> None:
        """Try again what waited for a cut or a pause to end."""
        waiting = self.held
        self.held = []
        for act in waiting:
            act()

    def pause(self, host: str) -> None:
        """Freeze a host: it receives nothing and what it sends waits."""
        self.paused.add(host)

    def resume(self, host: str) -> None:
        """Let a frozen host go on with everything that waited."""
        self.paused.discard(host)
        self.resumed.set()
        self.resumed = trio.Event()
        self.release_held()
        for address, socket in list(self.sockets.items()):
            if address.host == host:
                socket.arrived.set()

    def kill(self, host: str, *, silent: bool = False) -> None:
        """End a host; its connections break, or fall silent with its VM."""
        for address in [known for known in self.sockets if known.host == host]:
            self.sockets.pop(address).closed = True
        for address in [
            known for known in self.listeners if known.host == host
        ]:
            self.listeners.pop(address)
        for stream in self.streams:
            if stream.local == host:
                stream.kill(silent=silent)
        self.streams = [known for known in self.streams if not known.closed]

    def send_datagram(
        self,
        source: Address,
        payload: bytes,
        target: Address,
    ) -> None:
        """Send a datagram with what the link does to it."""
        times = 1
        if self.faults.copies and self.rng.random() < self.faults.copies:
            times = 2
        for _ in range(times):
            if self.faults.loss and self.rng.random() < self.faults.loss:
                continue
            delay = ONE_WAY_SECONDS
            if self.faults.jitter_seconds:
                delay += self.rng.uniform(0, self.faults.jitter_seconds)
            if self.faults.late and self.rng.random() < self.faults.late:
                delay += self.rng.uniform(0, self.faults.late_seconds)
            self.schedule(
                trio.current_time() + delay,
                partial(self.deliver, source, payload, target),
            )

    def deliver(self, source: Address, payload: bytes, target: Address) -> None:
        """Put a datagram into its receiver's queue, or lose it."""
        if source.host in self.paused:
            self.held.append(lambda: self.deliver(source, payload, target))
            return
        entries = self.sprayed.get(target)
        receiver = self.rng.choice(entries) if entries else target
        socket = self.sockets.get(receiver)
        cut = (source.host, receiver.host) in self.cuts
        if socket is None or cut or receiver.host in self.dead:
            return
        for tap in self.taps:
            tap(source, receiver, payload)
        socket.push(Datagram(payload, source))

    def bind(self, local: Address) -> DatagramSocket:
        """Bind an address; port 0 takes a free one."""
        if local.port == 0:
            self.next_port += 1
            local = Address(local.host, self.next_port)
        if local in self.sockets:
            raise OSError(f'{local} is in use')
        socket = FakeDatagramSocket(network=self, local=local)
        self.sockets[local] = socket
        return socket

    async def open_stream(self, host: str, remote: Address) -> FakeStream:
        """Connect a host to a listener; its handler runs in a task."""
        await trio.sleep(2 * ONE_WAY_SECONDS)
        # A SYN that was lost is sent again after a second.
        while not self.reaches(host, remote.host):  # noqa: ASYNC110
            await trio.sleep(1)
        handler = self.listeners.get(remote)
        if handler is None or self.nursery is None:
            raise ConnectionRefusedError(f'{remote} refused the connection')
        near = FakeStream(network=self, local=host, remote=remote.host)
        far = FakeStream(network=self, local=remote.host, remote=host)
        near.peer = far
        far.peer = near
        self.streams += (near, far)
        self.nursery.start_soon(handler, far)
        return near


@attrs.define(kw_only=True)
class FakeHost:
    """Implement the Network Protocol as one host sees it."""

    network: FakeNetwork
    host: str

    async def open_datagrams(self, local: Address) -> DatagramSocket:
        """Bind a datagram socket on this host."""
        await trio.lowlevel.checkpoint()
        return self.network.bind(Address(self.host, local.port))

    async def connect(self, remote: Address) -> trio.abc.Stream:
        """Open a stream from this host."""
        return await self.network.open_stream(self.host, remote)

    async def sleep(self, seconds: float) -> None:
        """Sleep as a process on this host does: a pause makes it longer."""
        await trio.sleep(seconds)
        while self.host in self.network.paused:
            await self.network.resumed.wait()
