"""Packet path on loopback: node processes, simulated clients and upstreams."""

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

from burdocksill.packets.features import NONE
from burdocksill.packets.features import VARIABLE as FEATURES_VARIABLE
from burdocksill.packets.header import parse_ipv4
from burdocksill.platform.early import VARIABLE
from burdocksill_lab.packets.client import ClientFlow, Outcome, deliver_to_flow
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
# Interval and timeout of readiness probes, as the users' routers send them.
PROBE_SECONDS: Final = 0.5
# Consecutive failed probes after which routers stop sending to a node.
UNHEALTHY_THRESHOLD: Final = 2
READY_REQUEST: Final = b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n'
READY_ANSWER: Final = b'HTTP/1.1 200'
POLL_SECONDS: Final = 0.01
START_SECONDS: Final = 20.0
HEX: Final = 16


@attrs.define(kw_only=True)
class TrioTimeline:
    """Run callbacks at real times."""

    nursery: trio.Nursery

    @property
    def now(self) -> float:
        """Return monotonic seconds."""
        return trio.current_time()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.nursery.start_soon(self.run_later, seconds, action)

    async def run_later(
        self, seconds: float, action: Callable[[], None]
    ) -> None:
        """Sleep, then run the action."""
        await trio.sleep(seconds)
        action()


@attrs.define(kw_only=True)
class LoopbackNetwork:
    """Network that sends and receives on one UDP socket for each address."""

    nursery: trio.Nursery
    sockets: dict[Address, trio.socket.SocketType] = attrs.field(factory=dict)

    async def open(self, address: Address, receiver: Receiver) -> None:
        """Bind an address and pass received datagrams to a receiver."""
        udp_socket = trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        await udp_socket.bind(address)
        self.sockets[address] = udp_socket
        self.nursery.start_soon(self.receive, udp_socket, receiver)

    async def receive(
        self,
        udp_socket: trio.socket.SocketType,
        receiver: Receiver,
    ) -> None:
        """Pass received datagrams to the receiver until cancelled."""
        with udp_socket:
            while True:
                payload, source = await udp_socket.recvfrom(RECEIVE_BYTES)
                receiver(payload, source)

    def send(self, payload: bytes, source: Address, target: Address) -> None:
        """Send a datagram from an address of this process."""
        self.nursery.start_soon(self.sockets[source].sendto, payload, target)


@attrs.define(kw_only=True)
class NodeProcess:
    """Process of a node, with the results of the router's probes."""

    host: str
    port: int
    folder: Path
    store: Address
    domain: str = 'a'
    # Module to run, with arguments; control runs use a faulty variant.
    command: tuple[str, ...] = ('burdocksill.packets',)
    # Features that the node is told to use, instead of those of its settings.
    features: str = NONE
    process: subprocess.Popen[bytes] | None = None
    misses: int = 0
    # Number of successful probes.
    answered: int = 0

    @property
    def log_path(self) -> Path:
        """Return the path of the node's log."""
        return self.folder / f'{self.host}.log'

    def start(self) -> None:
        """Write the settings file and start the process."""
        settings = self.folder / f'{self.host}.conf'
        settings.write_text(self.settings())
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.command],
                env={
                    **os.environ,
                    VARIABLE: str(settings),
                    FEATURES_VARIABLE: self.features,
                },
                stdout=log,
                stderr=log,
            )

    def settings(self) -> str:
        """Return the settings file as the users' platform writes it."""
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
        """Return True if the process is not running."""
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
        """Send one readiness probe and record the result."""
        is_ready = False
        with trio.move_on_after(PROBE_SECONDS):
            is_ready = await self.is_answering_ready()
        self.answered += is_ready
        self.misses = 0 if is_ready else self.misses + 1

    async def is_answering_ready(self) -> bool:
        """Return True if the node answers that it is ready."""
        try:
            stream = await trio.open_tcp_stream(self.host, self.port)
            async with stream:
                await stream.send_all(READY_REQUEST)
                answer = await stream.receive_some(RECEIVE_BYTES)
        except (OSError, trio.BrokenResourceError):
            # The process has not started, has ended, or was killed while the
            # probe waited: a failed probe, not an error.
            return False
        return bytes(answer).startswith(READY_ANSWER)


@attrs.define(kw_only=True)
class LoopbackDeployment:
    """Node processes with a simulated store, upstreams, routers, clients."""

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
        """Create the network and the timeline."""
        self.network = LoopbackNetwork(nursery=self.nursery)
        self.timeline = TrioTimeline(nursery=self.nursery)
        # All hosts share one port, so that several deployments can run at once.
        self.client = ('127.12.0.1', self.port)

    async def start(self, *, nodes: int, upstreams: int) -> None:
        """Start store, upstreams and nodes; wait until all nodes are ready.

        Raise ProcessFailedError if they are not ready after START_SECONDS.
        """
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
                misses=UNHEALTHY_THRESHOLD,
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
        """Probe all nodes periodically until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(node.probe)
                await trio.sleep(PROBE_SECONDS)

    async def wait_until_ready(self, count: int) -> None:
        """Wait until at least `count` nodes are in rotation."""
        for _ in range(round(START_SECONDS / POLL_SECONDS)):
            if len(self.in_rotation()) >= count:
                return
            await trio.sleep(POLL_SECONDS)
        ready = len(self.in_rotation())
        raise ProcessFailedError(
            message=f'{ready} of {count} nodes are ready',
            hint=f'see the logs in {self.folder}',
        )

    async def wait_for_probe(self, node: NodeProcess) -> None:
        """Wait until the next successful probe of a node."""
        answered = node.answered
        # The probing task signals no event, so this polls.
        while node.answered == answered:  # noqa: ASYNC110
            await trio.sleep(POLL_SECONDS)

    def in_rotation(self) -> list[NodeProcess]:
        """Return the nodes that routers send to."""
        return [
            node for node in self.nodes if node.misses < UNHEALTHY_THRESHOLD
        ]

    def open_flows(self, count: int, port: int = ROUTE_PORT) -> None:
        """Create client flows; their first requests open them."""
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
        """Send a packet to a node in rotation, chosen by the flow's hash."""
        nodes = self.in_rotation() or self.nodes
        node = nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]
        self.network.send(payload, self.client, (node.host, node.port))

    def receive(self, payload: bytes, _: Address) -> None:
        """Deliver a packet to the client flow that it is addressed to."""
        deliver_to_flow(self.clients, payload)

    async def request_all(self, rounds: int, pause: float) -> None:
        """Send a request on each idle flow per round, spread over `pause`."""
        for _ in range(rounds):
            for flow in self.flows:
                if flow.waiting is None and not flow.ended:
                    flow.request()
                await trio.sleep(pause / len(self.flows))

    def outcomes(self) -> Counter[Outcome]:
        """Count the requests by outcome."""
        return Counter(
            request.outcome for flow in self.flows for request in flow.requests
        )

    def log_lines(self) -> Iterator[str]:
        """Yield the log lines of all nodes."""
        for node in self.nodes:
            yield from node.log_path.read_text().splitlines()

    def stop(self) -> None:
        """End the processes that were started here."""
        for node in self.nodes:
            node.end()
        self.nursery.cancel_scope.cancel()
