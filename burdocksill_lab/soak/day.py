"""The surroundings of a soak: nodes, routers, store, upstreams and users."""

import zlib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.packets.header import FIN, parse_ipv4
from burdocksill.platform.records import DOMAINS_OUT, UPSTREAMS
from burdocksill_lab.packets.client import ClientFlow, deliver_to_flow
from burdocksill_lab.packets.loopback import (
    PROBE_SECONDS,
    UNHEALTHY_THRESHOLD,
    LoopbackNetwork,
    NodeProcess,
    TrioTimeline,
)
from burdocksill_lab.packets.network import Address
from burdocksill_lab.packets.store import LabStore
from burdocksill_lab.packets.upstream import LabUpstream, names
from burdocksill_lab.packets.world import (
    ROUTE_HOST,
    ROUTE_PORT,
    idle_routes,
    write_entry,
    write_manifest,
)
from burdocksill_lab.soak.judge import Judge
from burdocksill_lab.soak.proxy import StoreProxy

DOMAINS: Final = ('a', 'b')
STORE_HOST: Final = '127.10.0.1'
# Upstreams listen above the nodes' ports, so that soaks may run side by side.
UPSTREAM_OFFSET: Final = 2
# A port whose route comes and goes.
TOGGLED_PORT: Final = 9443
SERVICE: Final = 'ledger'
OTHER_SERVICE: Final = 'desk'
# Between two requests of one user.
PAUSE_SECONDS: Final = 0.25
DEADLINE_SECONDS: Final = 1.6
FIRST_PORT: Final = 1024
LAST_PORT: Final = 65000
POLL_SECONDS: Final = 0.01
StreamHandler = Callable[[trio.SocketStream], Awaitable[None]]


@attrs.define(kw_only=True)
class SoakNode:
    """Hold a node's process, its proxy and what becomes of its packets."""

    process: NodeProcess
    proxy: StoreProxy
    # Share of the packets from routers that is lost, and that comes twice.
    lost: float = 0
    doubled: float = 0
    # True while the soak itself has ended the process.
    is_down: bool = False


@attrs.frozen(kw_only=True)
class SoakSize:
    """Hold how large manifests are, and how slow the links they come over."""

    # Routes of each manifest that nobody uses.
    idle_routes: int = 0
    # What the store can send to each node; 0 for any amount.
    link_bytes_per_second: float = 0


@attrs.define(kw_only=True)
class SoakDay:
    """Hold all of it, on real sockets and real time."""

    nursery: trio.Nursery
    folder: Path
    port: int
    rng: Random
    judge: Judge
    command: tuple[str, ...]
    size: SoakSize
    store: LabStore = attrs.field(factory=LabStore)
    nodes: list[SoakNode] = attrs.field(factory=list)
    upstreams: list[LabUpstream] = attrs.field(factory=list)
    flows: dict[tuple[int, ...], ClientFlow] = attrs.field(factory=dict)
    network: LoopbackNetwork = attrs.field(init=False)
    timeline: TrioTimeline = attrs.field(init=False)
    names: Iterator[str] = attrs.field(factory=lambda: names('s'))
    version: int = 0
    next_port: int = FIRST_PORT
    hosts: int = 0

    def __attrs_post_init__(self) -> None:
        """Prepare network and time."""
        self.network = LoopbackNetwork(nursery=self.nursery)
        self.timeline = TrioTimeline(nursery=self.nursery)

    async def start(self, *, nodes: int, upstreams: int) -> None:
        """Start everything but the users."""
        store = await self.listen(STORE_HOST, self.store.serve)
        self.nursery.start_soon(self.store.run_leases)
        self.put_manifest({ROUTE_PORT: SERVICE})
        for number in range(upstreams):
            await self.add_upstream(DOMAINS[number % len(DOMAINS)], SERVICE)
        for domain in DOMAINS:
            await self.add_upstream(domain, OTHER_SERVICE)
            client = (self.client_host(domain), self.port)
            await self.network.open(client, self.receive)
        for number in range(nodes):
            await self.add_node(number, store)
        self.nursery.start_soon(self.probe)

    async def listen(
        self,
        host: str,
        handler: StreamHandler,
    ) -> Address:
        """Serve streams on a free port."""
        listeners = await trio.open_tcp_listeners(0, host=host)
        self.nursery.start_soon(trio.serve_listeners, handler, listeners)
        bound = listeners[0].socket.getsockname()
        return (bound[0], bound[1])

    async def add_node(self, number: int, store: Address) -> None:
        """Start a node behind a proxy of its own."""
        proxy = StoreProxy(
            store=store,
            bytes_per_second=self.size.link_bytes_per_second,
        )
        process = NodeProcess(
            host=f'127.11.0.{number + 1}',
            port=self.port,
            folder=self.folder,
            store=await self.listen(f'127.13.0.{number + 1}', proxy.serve),
            domain=DOMAINS[number % len(DOMAINS)],
            command=self.command,
            misses=UNHEALTHY_THRESHOLD,
        )
        self.nodes.append(SoakNode(process=process, proxy=proxy))
        process.start()

    async def add_upstream(
        self,
        domain: str,
        service: str,
        address: Address | None = None,
    ) -> LabUpstream:
        """Start an upstream and register it."""
        if address is None:
            self.hosts += 1
            host = f'127.14.{self.hosts // 250}.{self.hosts % 250 + 1}'
            address = (host, self.port + UPSTREAM_OFFSET)
            await self.network.open(address, self.hand_over)
        upstream = LabUpstream(
            name=next(self.names),
            address=address,
            service=service,
            domain=domain,
            timeline=self.timeline,
            network=self.network,
            client_port=self.port,
            on_open=self.judge.opened,
        )
        self.upstreams.append(upstream)
        self.judge.upstreams[upstream.tag & 0xFFFFFFFF] = upstream
        write_entry(self.store.put, upstream, 'ready')
        return upstream

    def hand_over(self, payload: bytes, source: Address) -> None:
        """Hand a datagram to the upstream that it is marked for.

        An address may have been given to another upstream meanwhile; who is
        not meant takes nothing.
        """
        for upstream in self.upstreams:
            upstream.receive(payload, source)

    def put_manifest(self, routes: dict[int, str]) -> None:
        """Write the next manifest."""
        self.version += 1
        now = self.judge.clock()
        ledger = self.judge.ledger
        for port, service in routes.items():
            ledger.allowed.setdefault(port, set()).add(service)
        for port in {*routes, *ledger.routes}:
            leads_to = routes.get(port, '')
            if ledger.route(port)[0] != leads_to:
                ledger.routes[port] = (leads_to, now)
        write_manifest(
            self.store.put,
            self.version,
            routes,
            idle=idle_routes(self.size.idle_routes, SERVICE, self.rng),
        )

    def set_out(self, domain: str, *, out: bool) -> None:
        """Take a domain out, or back in."""
        if out:
            self.judge.ledger.out[domain] = self.judge.clock()
            self.store.put(DOMAINS_OUT + domain, b'{}')
        elif self.judge.ledger.out.pop(domain, None) is not None:
            self.store.remove(DOMAINS_OUT + domain)

    def deregister(self, upstream: LabUpstream) -> None:
        """Remove an upstream's entry if it is there."""
        if UPSTREAMS + upstream.name in self.store.items:
            self.store.remove(UPSTREAMS + upstream.name)

    def living(self) -> list[LabUpstream]:
        """Return the upstreams of the main service that stay."""
        ledger = self.judge.ledger
        return [
            one
            for one in self.upstreams
            if one.service == SERVICE
            and one.name not in ledger.draining
            and one.name not in ledger.ended
        ]

    def client_host(self, domain: str) -> str:
        """Return the address of the clients of a domain."""
        return f'127.12.0.{DOMAINS.index(domain) + 1}'

    async def probe(self) -> None:
        """Probe all nodes for as long as the soak lasts."""
        while True:
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(node.process.probe)
                await trio.sleep(PROBE_SECONDS)

    def are_ready(self) -> bool:
        """Return True when every node is in rotation."""
        return all(
            node.process.misses < UNHEALTHY_THRESHOLD for node in self.nodes
        )

    def open_flow(self, domain: str, port: int) -> ClientFlow:
        """Prepare a flow; its first request opens it."""
        self.next_port += 1
        if self.next_port > LAST_PORT:
            self.next_port = FIRST_PORT
        key = (
            parse_ipv4(self.client_host(domain)),
            self.next_port,
            parse_ipv4(ROUTE_HOST),
            port,
        )
        flow = ClientFlow(
            key=key,
            timeline=self.timeline,
            send=lambda payload, flow: self.route(domain, payload, flow),
            deadline=DEADLINE_SECONDS,
        )
        self.flows[key] = flow
        return flow

    def route(
        self,
        domain: str,
        payload: bytes,
        flow: tuple[int, int, int, int],
    ) -> None:
        """Send a packet to a node of the client's domain, by a hash."""
        near = [one for one in self.nodes if one.process.domain == domain]
        nodes = [
            one for one in near if one.process.misses < UNHEALTHY_THRESHOLD
        ] or near
        node = nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]
        if self.rng.random() < node.lost:
            return
        source = (self.client_host(domain), self.port)
        target = (node.process.host, node.process.port)
        self.network.send(payload, source, target)
        if self.rng.random() < node.doubled:
            self.network.send(payload, source, target)

    def receive(self, payload: bytes, _: Address) -> None:
        """Hand a packet to the client's flow that it is for."""
        deliver_to_flow(self.flows, payload)

    async def use(self, domain: str, port: int, *, long: bool) -> None:
        """Send requests for ever: on one flow while it lives, or each anew."""
        flow = self.open_flow(domain, port)
        while True:
            await self.ask(flow)
            await trio.sleep(PAUSE_SECONDS * self.rng.uniform(0.5, 1.5))
            if flow.ended or not long or self.judge.is_leaving(flow):
                self.leave(flow)
                flow = self.open_flow(domain, port)

    async def ask(self, flow: ClientFlow) -> None:
        """Send a request and wait for its end."""
        request = flow.request()
        await until(lambda: flow.waiting is not request, POLL_SECONDS)
        self.judge.finished(flow, request)

    def leave(self, flow: ClientFlow) -> None:
        """Close a flow, and check how it ended if it did."""
        if flow.system_reset:
            self.judge.was_reset(flow)
        elif flow.open and not flow.ended:
            flow.packet(FIN, ack=flow.ack)
        del self.flows[flow.key]

    def stop(self) -> None:
        """End the processes that were started here."""
        for node in self.nodes:
            node.process.end()
        self.nursery.cancel_scope.cancel()


async def until(holds: Callable[[], bool], pause: float) -> None:
    """Wait until something holds, looked at after each pause."""
    while not holds():  # noqa: ASYNC110
        await trio.sleep(pause)
