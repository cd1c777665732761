"""A fleet that shares the readings of a store, on virtual time.

The nodes run the product's own tasks over a network in memory; clients and
upstreams are left out, only their entries in the store are there.
"""

from collections.abc import AsyncGenerator, Iterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final

import attrs
import trio

from burdocksill.network.addresses import Address
from burdocksill.packets.core import PacketCore, make_core
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
# How often staleness is looked at.
LOOK_SECONDS: Final = 0.02


@attrs.define(kw_only=True)
class FleetNode:
    """Hold one node, and the scope that its tasks run in."""

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
            await self.store_sync.run()


@attrs.define(kw_only=True)
class SharedFleet:
    """Hold nodes, the store and the network between them."""

    seed: int
    nursery: trio.Nursery
    network: FakeNetwork = attrs.field(init=False)
    store: LabStore = attrs.field(factory=LabStore)
    nodes: list[FleetNode] = attrs.field(factory=list)
    rng: Random = attrs.field(init=False)
    version: int = 0
    hosts: int = 0
    peer_bytes: int = 0
    # The oldest knowledge of any node that has read the store, in seconds.
    oldest: float = 0

    def __attrs_post_init__(self) -> None:
        """Seed everything from one number."""
        self.rng = Random(self.seed)
        self.network = FakeNetwork(rng=Random(self.rng.random()))
        self.network.taps.append(self.count)

    def count(self, _source: Address, _target: Address, payload: bytes) -> None:
        """Count what nodes send each other."""
        self.peer_bytes += len(payload)

    def put_version(self, idle: int = 0) -> int:
        """Write the next manifest, with routes that nobody uses."""
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
        """Start a node, or one anew under the name and host of another."""
        if name:
            host = next(one.host for one in self.nodes if one_is(one, name))
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
        self.nodes = [one for one in self.nodes if not one_is(one, name)]
        self.nodes.append(node)
        self.nursery.start_soon(node.run)
        return node

    def kill(self, node: FleetNode, *, silent: bool = True) -> None:
        """End a node; with its VM, or its process alone."""
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
        """Wait until all living nodes have a version; return how long."""
        began = trio.current_time()
        while trio.current_time() - began < limit:
            if all(node.version >= version for node in self.living()):
                return trio.current_time() - began
            await trio.sleep(LOOK_SECONDS)
        return float('inf')

    async def run(self, seconds: float) -> None:
        """Let time pass, and keep the oldest knowledge seen."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            for node in self.living():
                if node.core.progress.is_synced:
                    age = node.core.progress.age()
                    self.oldest = max(self.oldest, age)
            await trio.sleep(LOOK_SECONDS)


def one_is(node: FleetNode, name: str) -> bool:
    """Return True for the node of a name."""
    return node.settings.name == name


def unused_socket(host: str) -> Any:
    """Return a socket for packets that none will come to."""
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
