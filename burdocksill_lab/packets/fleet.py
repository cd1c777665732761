"""Simulated fleet whose nodes share reads of the store, on virtual time.

The nodes run the real tasks over an in-memory network. There are no clients,
and upstreams exist only as entries in the store.
"""

from collections.abc import AsyncGenerator, Iterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final

import attrs
import trio

from burdocksill.network.addresses import Address
from burdocksill.packets.core import PacketCore, make_core
from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.node import EXPIRY_INTERVAL_SECONDS
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.sync import Runtime, StoreSync, make_store_sync
from burdocksill.platform.records import RecordDecoder
from burdocksill_lab.fakes.network import FakeHost, FakeNetwork
from burdocksill_lab.packets.network import (
    DatagramNetwork,
    MemorySocket,
    VirtualTimeline,
)
from burdocksill_lab.packets.store import LabStore
from burdocksill_lab.packets.world import (
    ROUTE_PORT,
    idle_routes,
    write_manifest,
)

STORE: Final = Address('10.200.0.1', 8169)
PEER_PORT: Final = 7720
PACKET_PORT: Final = 8172
# Interval at which versions and staleness are sampled.
SAMPLE_SECONDS: Final = 0.02


@attrs.define(kw_only=True)
class FleetNode:
    """Node with the cancel scope of its tasks."""

    settings: PacketSettings
    core: PacketCore
    store_sync: StoreSync
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def host(self) -> str:
        """Return the host that it runs on."""
        return self.settings.listen.host

    @property
    def is_reader(self) -> bool:
        """Return True while it reads the store for its domain."""
        return self.store_sync.is_reader

    @property
    def version(self) -> int:
        """Return the version of the manifest in force."""
        return self.core.updater.table.version

    async def run(self) -> None:
        """Run until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.store_sync.run)
                nursery.start_soon(self.expire_idle)

    async def expire_idle(self) -> None:
        """Expire idle state periodically, as the program does."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.core.expire_idle(trio.current_time())


@attrs.define(kw_only=True)
class SharedFleet:
    """Nodes, the store and the network between them."""

    seed: int
    nursery: trio.Nursery
    network: FakeNetwork = attrs.field(init=False)
    store: LabStore = attrs.field(factory=LabStore)
    nodes: list[FleetNode] = attrs.field(factory=list)
    rng: Random = attrs.field(init=False)
    version: int = 0
    hosts: int = 0
    features: frozenset[Feature] = NO_FEATURES
    peer_bytes: int = 0
    # Highest staleness in seconds of any node that has read the store.
    oldest: float = 0

    def __attrs_post_init__(self) -> None:
        """Create the random generators from the seed, and the network."""
        self.rng = Random(self.seed)
        self.network = FakeNetwork(rng=Random(self.rng.random()))
        self.network.taps.append(self.count_bytes)

    def count_bytes(
        self, _source: Address, _target: Address, payload: bytes
    ) -> None:
        """Count the bytes that nodes send each other."""
        self.peer_bytes += len(payload)

    def put_version(self, idle: int = 0) -> int:
        """Write the next manifest, with unused routes; return its version."""
        self.version += 1
        write_manifest(
            self.store.put,
            self.version,
            {ROUTE_PORT: 'ledger'},
            idle=idle_routes(idle, 'ledger', self.rng),
        )
        return self.version

    async def add_node(
        self,
        domain: str,
        *,
        cores: float = 1,
        name: str = '',
    ) -> FleetNode:
        """Start a node; with a name, restart the node of that name."""
        if name:
            host = next(one.host for one in self.nodes if has_name(one, name))
        else:
            self.hosts += 1
            host = f'10.1.{self.hosts // 250}.{self.hosts % 250 + 1}'
        settings = PacketSettings(
            name=name or f'entry-{self.hosts}',
            domain=domain,
            listen=Address(host, PACKET_PORT),
            ready=Address(host, PACKET_PORT),
            platform=STORE,
            peer=Address(host, PEER_PORT),
            cores=cores,
            features=self.features,
        )
        core = make_core(
            settings=settings,
            datagrams=unused_socket(host),
            decode=RecordDecoder().decode,
            rng=Random(self.rng.random()),
            clock=trio.current_time,
            age_clock=trio.current_time,
        )
        runtime = Runtime(
            network=FakeHost(network=self.network, host=host),
            clock=trio.current_time,
            rng=Random(self.rng.random()),
        )
        store_sync = await make_store_sync(settings, core.store_cache, runtime)
        node = FleetNode(settings=settings, core=core, store_sync=store_sync)
        self.nodes = [one for one in self.nodes if not has_name(one, name)]
        self.nodes.append(node)
        self.nursery.start_soon(node.run)
        return node

    def kill(self, node: FleetNode, *, silent: bool = True) -> None:
        """End a node: its VM if `silent`, else only its process."""
        node.scope.cancel()
        self.network.kill(node.host, silent=silent)

    def reader_of(self, domain: str) -> FleetNode:
        """Return the node that reads for a domain."""
        return next(
            node
            for node in self.living()
            if node.settings.domain == domain and node.is_reader
        )

    def living(self) -> Iterator[FleetNode]:
        """Return the nodes that run."""
        for node in self.nodes:
            if not node.scope.cancel_called:
                yield node

    async def in_force(self, version: int, limit: float) -> float:
        """Return the seconds until all running nodes have a version.

        Infinite if that takes longer than `limit` seconds.
        """
        started_at = trio.current_time()
        while trio.current_time() - started_at < limit:
            if all(node.version >= version for node in self.living()):
                return trio.current_time() - started_at
            await trio.sleep(SAMPLE_SECONDS)
        return float('inf')

    async def run(self, seconds: float) -> None:
        """Run for some seconds and record the highest staleness."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in self.living():
                if node.core.progress.is_synced:
                    age = node.core.progress.age()
                    self.oldest = max(self.oldest, age)
            await trio.sleep(SAMPLE_SECONDS)


def has_name(node: FleetNode, name: str) -> bool:
    """Return True if the node has the name."""
    return node.settings.name == name


def unused_socket(host: str) -> Any:
    """Return a socket that receives no packets."""
    network = DatagramNetwork(timeline=VirtualTimeline())
    return MemorySocket(network=network, address=(host, PACKET_PORT))


@asynccontextmanager
async def open_fleet(seed: int) -> AsyncGenerator[SharedFleet, None]:
    """Run a store without nodes until the block ends."""
    async with trio.open_nursery() as nursery:
        fleet = SharedFleet(seed=seed, nursery=nursery)
        fleet.network.listeners[STORE] = fleet.store.serve
        fleet.put_version()
        nursery.start_soon(fleet.network.run)
        nursery.start_soon(fleet.store.run_leases)
        try:
            yield fleet
        finally:
            nursery.cancel_scope.cancel()
