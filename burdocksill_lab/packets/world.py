"""A whole packet world on virtual time: nodes run the product's own code."""

import json
import math
import zlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from random import Random
from types import MappingProxyType
from typing import Any, Final

import attrs

from burdocksill.network.addresses import Address as Place
from burdocksill.packets.core import PacketCore, make_core
from burdocksill.packets.header import format_ipv4, parse_ipv4
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.records import (
    DOMAINS_OUT,
    MANIFEST,
    UPSTREAMS,
    RecordDecoder,
)
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill_lab.packets.client import ClientFlow, hand_over
from burdocksill_lab.packets.network import (
    Address,
    DatagramNetwork,
    MemorySocket,
    Timeline,
    VirtualTimeline,
)
from burdocksill_lab.packets.upstream import LabUpstream, names

PORT: Final = 8172
ROUTE_HOST: Final = '198.18.0.1'
ROUTE_PORT: Final = 8443
FIRST_IDLE_PORT: Final = 10000
UPSTREAM_PORT: Final = 8080
HOSTS_PER_NET: Final = 250
FIRST_CLIENT_PORT: Final = 1024


@attrs.frozen(kw_only=True)
class Objective:
    """Hold within which a route's callers want answers, and how urgently."""

    seconds: float = 0
    priority: int = 0

    def fields(self) -> dict[str, float]:
        """Return its fields of a route in a manifest."""
        return {'SloMs': self.seconds * 1000, 'Priority': self.priority}


NO_OBJECTIVES: Final[Mapping[int, Objective]] = MappingProxyType({})


@attrs.define(kw_only=True)
class LabNode:
    """Hold a node of the world; a stopped one loses what reaches it."""

    name: str
    domain: str
    address: Address
    core: PacketCore
    timeline: Timeline
    alive: bool = True
    # A node that is cut off from the store hears no changes.
    follows: bool = True
    # A node that stands still handles nothing; what comes in waits here.
    stands: bool = False
    backlog: list[bytes] = attrs.field(factory=list)

    def receive(self, payload: bytes, _: Address) -> None:
        """Handle a datagram at once, or keep it while the node stands."""
        if self.stands:
            self.backlog.append(payload)
        elif self.alive:
            self.core.handle(payload, self.timeline.now)
            self.wait_for_missed()

    def wait_for_missed(self) -> None:
        """Look for missed openings when the next one is due."""
        wait = self.core.seconds_until_due(self.timeline.now)
        if not math.isinf(wait):
            self.timeline.after(wait, self.expire_openings)

    def expire_openings(self) -> None:
        """Conclude from missed openings, as a node does that has read all."""
        if self.alive and not self.stands:
            self.core.expire_openings(self.timeline.now)

    def go_on(self) -> None:
        """Handle all that has come in meanwhile, in one go."""
        self.stands = False
        for payload in self.backlog:
            self.core.handle(payload, self.timeline.now)
        self.backlog.clear()


@attrs.define(kw_only=True)
class PacketWorld:
    """Hold clients, routers, nodes, upstreams and the store's content."""

    seed: int
    timeline: VirtualTimeline = attrs.field(factory=VirtualTimeline)
    network: DatagramNetwork = attrs.field(init=False)
    rng: Random = attrs.field(init=False)
    nodes: list[LabNode] = attrs.field(factory=list)
    upstreams: dict[str, LabUpstream] = attrs.field(factory=dict)
    clients: dict[tuple[int, ...], ClientFlow] = attrs.field(factory=dict)
    store: dict[str, bytes] = attrs.field(factory=dict)
    revision: int = 10
    ports: int = FIRST_CLIENT_PORT
    fresh_names: Iterator[str] = attrs.field(factory=lambda: names('i'))

    def __attrs_post_init__(self) -> None:
        """Prepare the network."""
        self.rng = Random(self.seed)
        self.network = DatagramNetwork(timeline=self.timeline)

    def time(self) -> float:
        """Return the virtual time."""
        return self.timeline.now

    def add_node(self, domain: str) -> LabNode:
        """Start a node that has read the store."""
        host = f'10.1.0.{len(self.nodes) + 1}'
        address = (host, PORT)
        settings = PacketSettings(
            name=f'entry-{len(self.nodes) + 1}',
            domain=domain,
            listen=Place(host, PORT),
            ready=Place(host, 1),
            platform=Place('10.200.0.1', 1),
        )
        socket: Any = MemorySocket(network=self.network, address=address)
        node = LabNode(
            name=settings.name,
            domain=domain,
            address=address,
            timeline=self.timeline,
            core=make_core(
                settings=settings,
                datagrams=socket,
                decode=RecordDecoder().decode,
                rng=Random(self.rng.random()),
                clock=self.time,
                age_clock=self.time,
            ),
        )
        self.nodes.append(node)
        self.network.receivers[address] = node.receive
        self.read_whole(node)
        return node

    def add_upstream(
        self,
        domain: str,
        service: str = 'ledger',
        **fields: Any,
    ) -> LabUpstream:
        """Start an upstream and register it."""
        upstream = LabUpstream(
            name=next(self.fresh_names),
            address=(upstream_host(len(self.upstreams)), UPSTREAM_PORT),
            service=service,
            domain=domain,
            timeline=self.timeline,
            network=self.network,
            client_port=PORT,
            **fields,
        )
        self.upstreams[upstream.name] = upstream
        self.network.receivers[upstream.address] = upstream.receive
        self.register(upstream)
        return upstream

    def replace_upstream(self, before: LabUpstream) -> LabUpstream:
        """Start another process at the address of one that has ended."""
        fresh = LabUpstream(
            name=next(self.fresh_names),
            address=before.address,
            service=before.service,
            domain=before.domain,
            timeline=self.timeline,
            network=self.network,
            client_port=PORT,
            work_seconds=before.work_seconds,
        )
        self.upstreams[fresh.name] = fresh
        self.network.receivers[fresh.address] = fresh.receive
        self.put_entry(fresh, fresh.entry('ready', born=2))
        return fresh

    def register(self, upstream: LabUpstream, state: str = 'ready') -> None:
        """Write an upstream's entry."""
        write_entry(self.put, upstream, state)

    def put_entry(self, upstream: LabUpstream, entry: dict[str, Any]) -> None:
        """Write what an upstream says of itself."""
        self.put(UPSTREAMS + upstream.name, json.dumps(entry).encode())

    def deregister(self, upstream: LabUpstream) -> None:
        """Remove an upstream's entry."""
        self.remove(UPSTREAMS + upstream.name)

    def put_manifest(
        self,
        version: int,
        routes: dict[int, str],
        cold_per_second: float = 0,
        objectives: Mapping[int, Objective] = NO_OBJECTIVES,
    ) -> None:
        """Write a manifest that sends ports to services."""
        write_manifest(self.put, version, routes, cold_per_second, objectives)

    def take_out(self, domain: str) -> None:
        """Take a failure domain out."""
        self.put(DOMAINS_OUT + domain, b'{}')

    def put(self, key: str, value: bytes) -> None:
        """Write a key and let the nodes hear of it."""
        self.store[key] = value
        self.revision += 1
        self.tell(StoredValue(key=key, value=value, revision=self.revision))

    def remove(self, key: str) -> None:
        """Remove a key and let the nodes hear of it."""
        del self.store[key]
        self.revision += 1
        gone = StoredValue(
            key=key,
            value=b'',
            revision=self.revision,
            removed=True,
        )
        self.tell(gone)

    def tell(self, change: StoredValue) -> None:
        """Let the nodes that follow the store learn of a change."""
        found = Snapshot(values=(change,), revision=self.revision)
        for node in self.nodes:
            if node.follows:
                node.core.store_cache.apply_changes(found, self.timeline.now)

    def read_whole(self, node: LabNode) -> None:
        """Let a node read everything that stands in the store."""
        values = tuple(
            StoredValue(key=key, value=value, revision=self.revision)
            for key, value in self.store.items()
        )
        found = Snapshot(values=values, revision=self.revision)
        node.core.store_cache.apply_snapshot(found, self.timeline.now)

    def open_flow(
        self,
        domain: str,
        port: int = ROUTE_PORT,
        host: str = '',
    ) -> ClientFlow:
        """Prepare a client's flow; its first request opens it."""
        self.ports += 1
        host = host or f'100.64.0.{sum(domain.encode()) % 200 + 1}'
        key = (parse_ipv4(host), self.ports, parse_ipv4(ROUTE_HOST), port)
        flow = ClientFlow(
            key=key,
            timeline=self.timeline,
            send=lambda payload, flow: self.route(domain, payload, flow),
        )
        self.clients[key] = flow
        self.network.receivers[(host, PORT)] = self.receive
        return flow

    def receive(self, payload: bytes, _: Address) -> None:
        """Hand a packet to the client's flow that it is for."""
        hand_over(self.clients, payload)

    def route(
        self,
        domain: str,
        payload: bytes,
        flow: tuple[int, int, int, int],
    ) -> None:
        """Send a packet to a node of the client's domain, by a hash."""
        near = [node for node in self.nodes if node.domain == domain]
        living = [node for node in near if node.alive]
        if not living:
            alive = [node for node in self.nodes if node.alive]
            living = alive or self.nodes
        digest = zlib.crc32(repr(flow).encode())
        node = living[digest % len(living)]
        source = (format_ipv4(flow[0]), PORT)
        self.network.send(payload, source, node.address)

    def run(self, seconds: float) -> None:
        """Let time pass, with the store read as often as nodes do."""
        for _ in range(round(seconds * 10)):
            self.timeline.run(0.1)
            for node in self.nodes:
                if node.follows and node.alive:
                    node.core.progress.synced_at = self.timeline.now - 0.01


Put = Callable[[str, bytes], None]
Row = dict[str, Any]


def upstream_host(number: int) -> str:
    """Return an address of its own for each upstream."""
    third, fourth = divmod(number, HOSTS_PER_NET)
    return (
        f'10.{2 + third // HOSTS_PER_NET}.{third % HOSTS_PER_NET}.{fourth + 1}'
    )


def write_entry(put: Put, upstream: LabUpstream, state: str) -> None:
    """Write an upstream's entry into a store."""
    put(
        UPSTREAMS + upstream.name,
        json.dumps(upstream.entry(state)).encode(),
    )


def idle_routes(count: int, service: str, rng: Random) -> list[Row]:
    """Return routes that nobody uses, with names that pack badly."""
    return [
        {
            'Name': f'{rng.getrandbits(64):x}',
            'Hostname': ROUTE_HOST,
            'Prefix': f'/{FIRST_IDLE_PORT + number}/',
            'Type': 'unsafe',
            'TimeoutMs': 5516,
            'SloMs': 551,
            'Priority': 1,
            'Service': service,
        }
        for number in range(count)
    ]


def write_manifest(
    put: Put,
    version: int,
    routes: dict[int, str],
    cold_per_second: float = 0,
    objectives: Mapping[int, Objective] = NO_OBJECTIVES,
    idle: Sequence[Row] = (),
) -> None:
    """Write a manifest that sends ports to services into a store."""
    manifest = {
        'Version': version,
        'Routes': [
            {
                'Name': f'r-{port}',
                'Hostname': ROUTE_HOST,
                'Prefix': f'/{port}/',
                'Service': service,
                **objectives.get(port, Objective()).fields(),
            }
            for port, service in routes.items()
        ]
        + list(idle),
        'Services': [
            {'Name': name, 'WarmupS': 2.0, 'ColdPerS': cold_per_second}
            for name in sorted(set(routes.values()))
        ],
        'Limits': {'IdleTimeoutMs': 15000},
    }
    put(MANIFEST, json.dumps(manifest).encode())
