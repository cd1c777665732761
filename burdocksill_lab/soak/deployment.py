"""Deployment of a soak: nodes, routers, store, upstreams and users."""

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
from burdocksill_lab.packets.drill import RestoreDrill
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
from burdocksill_lab.soak.checker import SoakChecker
from burdocksill_lab.soak.proxy import StoreProxy

DOMAINS: Final = ('a', 'b')
STORE_HOST: Final = '127.10.0.1'
# Offset of upstream ports from node ports; lets several soaks run at once.
UPSTREAM_OFFSET: Final = 2
# Port whose route is added and removed repeatedly.
TOGGLED_PORT: Final = 9443
SERVICE: Final = 'ledger'
OTHER_SERVICE: Final = 'desk'
# Mean pause between two requests of one user.
PAUSE_SECONDS: Final = 0.25
DEADLINE_SECONDS: Final = 1.6
FIRST_PORT: Final = 1024
LAST_PORT: Final = 65000
POLL_SECONDS: Final = 0.01
StreamHandler = Callable[[trio.SocketStream], Awaitable[None]]


@attrs.define(kw_only=True)
class SoakNode:
    """Node process with its store proxy and packet fault rates."""

    process: NodeProcess
    proxy: StoreProxy
    # Fractions of the packets from routers that are lost and duplicated.
    lost: float = 0
    doubled: float = 0
    # True while the soak has stopped the process.
    is_down: bool = False
    # True while routers don't know its machine.
    is_hidden: bool = False


@attrs.frozen(kw_only=True)
class SoakSize:
    """Size of manifests and bandwidth of the store's links."""

    # Number of unused routes in each manifest.
    idle_routes: int = 0
    # Bandwidth from the store to each node; 0 is unlimited.
    link_bytes_per_second: float = 0


@attrs.define(kw_only=True)
class SoakDeployment:
    """Deployment on real sockets and real time."""

    nursery: trio.Nursery
    folder: Path
    port: int
    rng: Random
    checker: SoakChecker
    command: tuple[str, ...]
    features: str
    size: SoakSize
    store: LabStore = attrs.field(factory=LabStore)
    # The latest copy of the store.
    drill: RestoreDrill = attrs.field(init=False)
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
        """Create the network, the timeline and a first copy of the store."""
        self.drill = copy_for_restore(self)
        self.network = LoopbackNetwork(nursery=self.nursery)
        self.timeline = TrioTimeline(nursery=self.nursery)

    async def start(self, *, nodes: int, upstreams: int) -> None:
        """Start store, upstreams, nodes and probes, but no users."""
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
        """Serve TCP streams on a free port and return its address."""
        listeners = await trio.open_tcp_listeners(0, host=host)
        self.nursery.start_soon(trio.serve_listeners, handler, listeners)
        bound = listeners[0].socket.getsockname()
        return (bound[0], bound[1])

    async def add_node(self, number: int, store: Address) -> None:
        """Start a node that reaches the store through its own proxy."""
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
            features=self.features,
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
            await self.network.open(address, self.deliver_to_upstream)
        upstream = LabUpstream(
            name=next(self.names),
            address=address,
            service=service,
            domain=domain,
            timeline=self.timeline,
            network=self.network,
            client_port=self.port,
            on_open=self.checker.check_opening,
        )
        self.upstreams.append(upstream)
        self.checker.upstreams[upstream.tag & 0xFFFFFFFF] = upstream
        write_entry(self.store.put, upstream, 'ready')
        return upstream

    def deliver_to_upstream(self, payload: bytes, source: Address) -> None:
        """Pass a datagram to all upstreams; the tagged one handles it.

        An address may have been reused by another upstream; upstreams ignore
        datagrams with another tag.
        """
        for upstream in self.upstreams:
            upstream.receive(payload, source)

    def put_manifest(self, routes: dict[int, str]) -> None:
        """Write the next manifest and record its routes as expected."""
        self.version += 1
        now = self.checker.clock()
        expected = self.checker.expected
        for port, service in routes.items():
            expected.allowed.setdefault(port, set()).add(service)
        for port in {*routes, *expected.routes}:
            service_now = routes.get(port, '')
            if expected.route(port)[0] != service_now:
                expected.routes[port] = (service_now, now)
        write_manifest(
            self.store.put,
            self.version,
            routes,
            idle=idle_routes(self.size.idle_routes, SERVICE, self.rng),
        )

    def set_out(self, domain: str, *, out: bool) -> None:
        """Take a domain out of service, or back in."""
        if out:
            self.checker.expected.domains_out[domain] = self.checker.clock()
            self.store.put(DOMAINS_OUT + domain, b'{}')
        elif self.checker.expected.domains_out.pop(domain, None) is not None:
            self.drill.remove(DOMAINS_OUT + domain)

    def deregister(self, upstream: LabUpstream) -> None:
        """Remove an upstream's entry if it exists."""
        self.drill.remove(UPSTREAMS + upstream.name)

    def serving(self) -> list[LabUpstream]:
        """Return upstreams of SERVICE that neither drain nor have ended."""
        expected = self.checker.expected
        return [
            one
            for one in self.upstreams
            if one.service == SERVICE
            and one.name not in expected.draining
            and one.name not in expected.ended
        ]

    def client_host(self, domain: str) -> str:
        """Return the address of the clients of a domain."""
        return f'127.12.0.{DOMAINS.index(domain) + 1}'

    async def probe(self) -> None:
        """Probe all nodes periodically until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    nursery.start_soon(node.process.probe)
                await trio.sleep(PROBE_SECONDS)

    def are_ready(self) -> bool:
        """Return True if every node is in rotation."""
        return all(
            node.process.misses < UNHEALTHY_THRESHOLD for node in self.nodes
        )

    def open_flow(self, domain: str, port: int) -> ClientFlow:
        """Create a client flow; its first request opens it."""
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
        """Send a packet to a node of the client's domain by the flow's hash."""
        here = [one for one in self.nodes if one.process.domain == domain]
        local = [one for one in here if not one.is_hidden] or here
        nodes = [
            one for one in local if one.process.misses < UNHEALTHY_THRESHOLD
        ] or local
        node = nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]
        if self.rng.random() < node.lost:
            return
        source = (self.client_host(domain), self.port)
        target = (node.process.host, node.process.port)
        self.network.send(payload, source, target)
        if self.rng.random() < node.doubled:
            self.network.send(payload, source, target)

    def receive(self, payload: bytes, _: Address) -> None:
        """Deliver a packet to the client flow that it is addressed to."""
        deliver_to_flow(self.flows, payload)

    async def run_user(self, domain: str, port: int, *, long: bool) -> None:
        """Send requests until cancelled, on one long flow or a flow each."""
        flow = self.open_flow(domain, port)
        while True:
            await self.send_request(flow)
            await trio.sleep(PAUSE_SECONDS * self.rng.uniform(0.5, 1.5))
            if flow.ended or not long or self.checker.is_leaving(flow):
                self.close_flow(flow)
                flow = self.open_flow(domain, port)

    async def send_request(self, flow: ClientFlow) -> None:
        """Send a request, wait until it ends and check it."""
        request = flow.request()
        await until(lambda: flow.waiting is not request, POLL_SECONDS)
        self.checker.check_request(flow, request)

    def close_flow(self, flow: ClientFlow) -> None:
        """Close a flow; check a reset that a node sent."""
        if flow.system_reset:
            self.checker.check_reset(flow)
        elif flow.open and not flow.ended:
            flow.packet(FIN, ack=flow.ack)
        del self.flows[flow.key]

    def stop(self) -> None:
        """End the processes that were started here."""
        for node in self.nodes:
            node.process.end()
        self.nursery.cancel_scope.cancel()


def copy_for_restore(deployment: SoakDeployment) -> RestoreDrill:
    """Copy a deployment's store, from which it can be restored."""
    return RestoreDrill(
        store=deployment.store,
        nursery=deployment.nursery,
        rng=deployment.rng,
    )


async def until(holds: Callable[[], bool], pause: float) -> None:
    """Poll until a condition holds, with a pause in seconds."""
    while not holds():  # noqa: ASYNC110
        await trio.sleep(pause)
