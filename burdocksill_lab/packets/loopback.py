"""The packet world on loopback: real nodes, the same clients and upstreams."""

import os
import signal
import subprocess
import sys
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

import attrs
import trio

from burdocksill.packets.header import parse_ipv4
from burdocksill.platform.early import VARIABLE
from burdocksill_lab.packets.client import ClientFlow, Outcome, hand_over
from burdocksill_lab.packets.network import Address, Receiver
from burdocksill_lab.packets.store import LabStore
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import (
    ROUTE_HOST,
    ROUTE_PORT,
    write_entry,
    write_manifest,
)
from burdocksill_lab.processes import ProcessFailedError

STORE_HOST: Final = '127.10.0.1'
RECEIVE_BYTES: Final = 2048
# Between two probes of readiness, as the users' routers send them.
PROBE_SECONDS: Final = 0.5
MISSES: Final = 2
READY: Final = b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n'
GOOD: Final = b'HTTP/1.1 200'
GAP_SECONDS: Final = 0.01
START_SECONDS: Final = 20.0
HEX: Final = 16


@attrs.define(kw_only=True)
class TrioTimeline:
    """Run callbacks at real times."""

    nursery: trio.Nursery

    @property
    def now(self) -> float:
        """Return steady seconds."""
        return trio.current_time()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action some seconds from now."""
        self.nursery.start_soon(self.wait, seconds, action)

    async def wait(self, seconds: float, action: Callable[[], None]) -> None:
        """Sleep, then act."""
        await trio.sleep(seconds)
        action()


@attrs.define(kw_only=True)
class LoopbackNetwork:
    """Carry datagrams over one real socket for each address."""

    nursery: trio.Nursery
    sockets: dict[Address, trio.socket.SocketType] = attrs.field(factory=dict)

    async def open(self, address: Address, receiver: Receiver) -> None:
        """Bind an address and hand what arrives there to a receiver."""
        opened = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await opened.bind(address)
        self.sockets[address] = opened
        self.nursery.start_soon(self.receive, opened, receiver)

    async def receive(
        self,
        opened: trio.socket.SocketType,
        receiver: Receiver,
    ) -> None:
        """Hand over one datagram after the other."""
        with opened:
            while True:
                payload, source = await opened.recvfrom(RECEIVE_BYTES)
                receiver(payload, source)

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Send a datagram from an address of this process."""
        self.nursery.start_soon(self.sockets[source].sendto, payload, target)


@attrs.define(kw_only=True)
class NodeProcess:
    """Hold one node's process and what its router believes."""

    host: str
    port: int
    folder: Path
    store: Address
    domain: str = 'a'
    # The module that is run; a broken variant of it stands here in controls.
    command: tuple[str, ...] = ('burdocksill.packets',)
    process: subprocess.Popen[bytes] | None = None
    misses: int = 0
    # Probes that found it ready.
    answered: int = 0

    @property
    def log_path(self) -> Path:
        """Return the file of its log lines."""
        return self.folder / f'{self.host}.log'

    def start(self) -> None:
        """Write its settings file and start it."""
        settings = self.folder / f'{self.host}.conf'
        settings.write_text(self.settings())
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.command],
                env={**os.environ, VARIABLE: str(settings)},
                stdout=log,
                stderr=log,
            )

    def settings(self) -> str:
        """Return the file that the users' platform would write."""
        return '\n'.join(
            (
                f'Node=entry-{self.host}',
                f'Zone={self.domain}',
                f'Ip={self.host}',
                f'PortRange={self.port + 1},{self.port + 1}',
                f'Listen.DataAddr={self.host}:{self.port}',
                f'Listen.ReadyAddr={self.host}:{self.port}',
                f'platform.Address={self.store[0]}:{self.store[1]}',
                'Bounds.GraceS=6',
                '',
            ),
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None:
            self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return True when no process runs."""
        return self.process is None or self.process.poll() is not None

    def survives_hang_up(self) -> bool:
        """Return True once the process ignores or handles SIGHUP."""
        if self.process is None or self.has_ended():
            return False
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        masks = [
            int(line.split()[1], HEX)
            for line in status.splitlines()
            if line.startswith(('SigIgn:', 'SigCgt:'))
        ]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def probe(self) -> None:
        """Ask for readiness, as routers do."""
        good = False
        with trio.move_on_after(PROBE_SECONDS):
            good = await self.ask()
        self.answered += good
        self.misses = 0 if good else self.misses + 1

    async def ask(self) -> bool:
        """Return True for an answer that says ready."""
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
            async with stream:
                await stream.send_all(READY)
                answer = await stream.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError):
            # Not started yet, gone, or killed while the probe waited: that is
            # what a probe is to find out.
            return False
        return bytes(answer).startswith(GOOD)


@attrs.define(kw_only=True)
class LoopbackDay:
    """Hold a store, upstreams, routers and clients around real nodes."""

    nursery: trio.Nursery
    folder: Path
    port: int
    store: LabStore = attrs.field(factory=LabStore)
    nodes: list[NodeProcess] = attrs.field(factory=list)
    flows: list[ClientFlow] = attrs.field(factory=list)
    upstreams: list[LabUpstream] = attrs.field(factory=list)
    network: LoopbackNetwork = attrs.field(init=False)
    timeline: TrioTimeline = attrs.field(init=False)
    clients: dict[tuple[int, ...], ClientFlow] = attrs.field(factory=dict)
    client: Address = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare network and time."""
        self.network = LoopbackNetwork(nursery=self.nursery)
        self.timeline = TrioTimeline(nursery=self.nursery)
        # All hosts of a day share its port, so that days can run side by side.
        self.client = ('127.12.0.1', self.port)

    async def start(self, *, nodes: int, upstreams: int) -> None:
        """Start everything, and wait until all nodes are ready."""
        listeners = await trio.open_tcp_listeners(0, host=STORE_HOST)
        store_port = listeners[0].socket.getsockname()[1]
        self.nursery.start_soon(
            trio.serve_listeners,
            self.store.serve,
            listeners,
        )
        self.nursery.start_soon(self.store.run_leases)
        write_manifest(self.store.put, 1, {ROUTE_PORT: 'ledger'})
        for number in range(upstreams):
            await self.add_upstream(number)
        await self.network.open(self.client, self.receive)
        for number in range(nodes):
            node = NodeProcess(
                host=f'127.11.0.{number + 1}',
                port=self.port,
                folder=self.folder,
                store=(STORE_HOST, store_port),
                misses=MISSES,
            )
            self.nodes.append(node)
            node.start()
        self.nursery.start_soon(self.probe)
        await self.wait_until_ready(nodes)

    async def add_upstream(self, number: int) -> None:
        """Start an upstream in this process and register it."""
        upstream = LabUpstream(
            name=f'i-{number * 2654435761 % 2**40 + 1:010x}',
            address=(f'127.14.0.{number + 1}', self.port),
            service='ledger',
            domain='a',
            timeline=self.timeline,
            network=self.network,
            client_port=self.port,
        )
        await self.network.open(upstream.address, upstream.receive)
        self.upstreams.append(upstream)
        write_entry(self.store.put, upstream, 'ready')

    async def probe(self) -> None:
        """Probe all nodes for as long as the day lasts."""
        while True:
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(node.probe)
                await trio.sleep(PROBE_SECONDS)

    async def wait_until_ready(self, count: int) -> None:
        """Wait until so many nodes are in rotation."""
        for _ in range(round(START_SECONDS / GAP_SECONDS)):
            if len(self.in_rotation()) >= count:
                return
            await trio.sleep(GAP_SECONDS)
        ready = len(self.in_rotation())
        raise ProcessFailedError(
            message=f'{ready} of {count} nodes are ready',
            hint=f'see the logs in {self.folder}',
        )

    async def wait_for_probe(self, node: NodeProcess) -> None:
        """Wait until the next probe has found a node ready."""
        answered = node.answered
        # The probes' task has no event for each of them.
        while node.answered == answered:  # noqa: ASYNC110
            await trio.sleep(GAP_SECONDS)

    def in_rotation(self) -> list[NodeProcess]:
        """Return the nodes that routers send to."""
        return [node for node in self.nodes if node.misses < MISSES]

    def open_flows(self, count: int, port: int = ROUTE_PORT) -> None:
        """Prepare flows; their first requests open them."""
        first = len(self.flows)
        for number in range(first, first + count):
            key = (
                parse_ipv4(self.client[0]),
                number + 1024,
                parse_ipv4(ROUTE_HOST),
                port,
            )
            flow = ClientFlow(key=key, timeline=self.timeline, send=self.route)
            self.flows.append(flow)
            self.clients[key] = flow

    def route(self, payload: bytes, flow: tuple[int, int, int, int]) -> None:
        """Send a packet to a node in rotation, by a hash."""
        nodes = self.in_rotation() or self.nodes
        node = nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]
        self.network.send(payload, self.client, (node.host, node.port))

    def receive(self, payload: bytes, _: Address) -> None:
        """Hand a packet to the client's flow that it is for."""
        hand_over(self.clients, payload)

    async def request_all(self, rounds: int, pause: float) -> None:
        """Send requests on all flows, some rounds with pauses between."""
        for _ in range(rounds):
            for flow in self.flows:
                if flow.waiting is None and not flow.ended:
                    flow.request()
                await trio.sleep(pause / len(self.flows))

    def outcomes(self) -> Counter[Outcome]:
        """Count how the requests ended."""
        return Counter(
            request.outcome for flow in self.flows for request in flow.requests
        )

    def log_lines(self) -> Iterator[str]:
        """Return the log lines of all nodes."""
        for node in self.nodes:
            yield from node.log_path.read_text().splitlines()

    def stop(self) -> None:
        """End the processes that were started here."""
        for node in self.nodes:
            node.end()
        self.nursery.cancel_scope.cancel()
