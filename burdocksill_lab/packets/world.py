"""Simulation of the packet path on virtual time with the real node code."""

import json
import math
import zlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from random import Random
from types import MappingProxyType
from typing import Any, Final

import attrs

from burdocksill.network.addresses import Address as NodeAddress
from burdocksill.packets.core import PacketCore, make_core
from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.header import format_ipv4, parse_ipv4
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.records import (
    DOMAINS_OUT,
    MANIFEST,
    UPSTREAMS,
    RecordDecoder,
)
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill_lab.packets.client import ClientFlow, deliver_to_flow
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
    """Latency objective (0 for none) and priority of a route's requests."""

    seconds: float = 0
    priority: int = 0

    def fields(self) -> dict[str, float]:
        """Return the manifest fields of a route with this objective."""
        return {'SloMs': self.seconds * 1000, 'Priority': self.priority}


NO_OBJECTIVES: Final[Mapping[int, Objective]] = MappingProxyType({})


@attrs.define(kw_only=True)
class LabNode:
    """Simulated node; one that is not alive drops received datagrams."""

    name: str
    domain: str
    address: Address
    core: PacketCore
    timeline: Timeline
    alive: bool = True
    # False while the node is partitioned from the store.
    receives_updates: bool = True
    # A paused node handles nothing; datagrams queue in `backlog`.
    is_paused: bool = False
    backlog: list[bytes] = attrs.field(factory=list)
    # When `handle_due` runs next.
    scheduled_at: float = 0

    def receive(self, payload: bytes, _: Address) -> None:
        """Handle a datagram at once, or queue it while the node is paused."""
        if self.is_paused:
            self.backlog.append(payload)
        elif self.alive:
            self.core.handle(payload, self.timeline.now)
            self.schedule_due()

    def schedule_due(self) -> None:
        """Schedule the next work that does not wait for a packet."""
        now = self.timeline.now
        due_at = now + self.core.seconds_until_due(now)
        is_scheduled = now < self.scheduled_at <= due_at
        if not math.isinf(due_at) and not is_scheduled:
            self.scheduled_at = due_at
            self.timeline.after(due_at - now, self.handle_due)

    def handle_due(self) -> None:
        """Do the work that is due, as a node with an empty socket does."""
        if self.alive and not self.is_paused:
            self.core.handle_due(self.timeline.now)
            self.schedule_due()

    def resume(self) -> None:
        """Resume after a pause and handle the backlog at once."""
        self.is_paused = False
        for payload in self.backlog:
            self.core.handle(payload, self.timeline.now)
        self.backlog.clear()


@attrs.define(kw_only=True)
class PacketWorld:
    """Clients, routers, nodes, upstreams and store content of a simulation."""

    seed: int
    # Features of the nodes that are added from now on.
    features: frozenset[Feature] = NO_FEATURES
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
        """Create the random generator and the network."""
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
            listen=NodeAddress(host, PORT),
            ready=NodeAddress(host, 1),
            platform=NodeAddress('10.200.0.1', 1),
            features=self.features,
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
        self.read_store(node)
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

    def replace_upstream(self, previous: LabUpstream) -> LabUpstream:
        """Start a new process at the address of one that has ended."""
        replacement = LabUpstream(
            name=next(self.fresh_names),
            address=previous.address,
            service=previous.service,
            domain=previous.domain,
            timeline=self.timeline,
            network=self.network,
            client_port=PORT,
            work_seconds=previous.work_seconds,
        )
        self.upstreams[replacement.name] = replacement
        self.network.receivers[replacement.address] = replacement.receive
        self.put_entry(replacement, replacement.entry('ready', born=2))
        return replacement

    def register(self, upstream: LabUpstream, state: str = 'ready') -> None:
        """Write an upstream's entry."""
        write_entry(self.put, upstream, state)

    def put_entry(self, upstream: LabUpstream, entry: dict[str, Any]) -> None:
        """Write an upstream's registration."""
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
        """Write a manifest that routes ports to services."""
        write_manifest(self.put, version, routes, cold_per_second, objectives)

    def take_out(self, domain: str) -> None:
        """Take a failure domain out of service."""
        self.put(DOMAINS_OUT + domain, b'{}')

    def put(self, key: str, value: bytes) -> None:
        """Write a key and notify the nodes."""
        self.store[key] = value
        self.revision += 1
        self.publish(StoredValue(key=key, value=value, revision=self.revision))

    def remove(self, key: str) -> None:
        """Remove a key and notify the nodes."""
        del self.store[key]
        self.revision += 1
        removal = StoredValue(
            key=key,
            value=b'',
            revision=self.revision,
            removed=True,
        )
        self.publish(removal)

    def publish(self, change: StoredValue) -> None:
        """Apply a change on all nodes that can reach the store."""
        snapshot = Snapshot(values=(change,), revision=self.revision)
        for node in self.nodes:
            if node.receives_updates:
                node.core.store_cache.apply_changes(snapshot, self.timeline.now)

    def read_store(self, node: LabNode) -> None:
        """Let a node read the full content of the store."""
        values = tuple(
            StoredValue(key=key, value=value, revision=self.revision)
            for key, value in self.store.items()
        )
        snapshot = Snapshot(values=values, revision=self.revision)
        node.core.store_cache.apply_snapshot(snapshot, self.timeline.now)

    def open_flow(
        self,
        domain: str,
        port: int = ROUTE_PORT,
        host: str = '',
    ) -> ClientFlow:
        """Create a client's flow; its first request opens it."""
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
        """Deliver a packet to the client flow that it is addressed to."""
        deliver_to_flow(self.clients, payload)

    def route(
        self,
        domain: str,
        payload: bytes,
        flow: tuple[int, int, int, int],
    ) -> None:
        """Send a packet to a node chosen by the flow's hash.

        Nodes of the client's domain are preferred while any is alive.
        """
        local = [node for node in self.nodes if node.domain == domain]
        living = [node for node in local if node.alive]
        if not living:
            alive = [node for node in self.nodes if node.alive]
            living = alive or self.nodes
        digest = zlib.crc32(repr(flow).encode())
        node = living[digest % len(living)]
        source = (format_ipv4(flow[0]), PORT)
        self.network.send(payload, source, node.address)

    def run(self, seconds: float) -> None:
        """Advance the time; nodes that reach the store stay in sync."""
        for _ in range(round(seconds * 10)):
            self.timeline.run(0.1)
            for node in self.nodes:
                if node.receives_updates and node.alive:
                    node.core.progress.synced_at = self.timeline.now - 0.01


PutFunction = Callable[[str, bytes], None]
Row = dict[str, Any]


def upstream_host(number: int) -> str:
    """Return a distinct IPv4 address for each upstream number."""
    third, fourth = divmod(number, HOSTS_PER_NET)
    return (
        f'10.{2 + third // HOSTS_PER_NET}.{third % HOSTS_PER_NET}.{fourth + 1}'
    )


def write_entry(put: PutFunction, upstream: LabUpstream, state: str) -> None:
    """Write an upstream's entry with `put`."""
    put(
        UPSTREAMS + upstream.name,
        json.dumps(upstream.entry(state)).encode(),
    )


def idle_routes(count: int, service: str, rng: Random) -> list[Row]:
    """Return unused routes with random names, which compress badly."""
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
    put: PutFunction,
    version: int,
    routes: dict[int, str],
    cold_per_second: float = 0,
    objectives: Mapping[int, Objective] = NO_OBJECTIVES,
    idle: Sequence[Row] = (),
) -> None:
    """Write a manifest that routes ports to services with `put`."""
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
