"""A few real nodes, fake upstreams and callers in one process."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.session import Session, open_session
from burdocksill.conf.settings import Settings
from burdocksill.documents.acceptance import put_document
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.entry.components import Components
from burdocksill.entry.node import EntryNode
from burdocksill.flows.keys import KeyRing, encode_ring, rotate
from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.protocols import VmRecord, VmState
from burdocksill_lab.fakes.clock import VirtualClock
from burdocksill_lab.fakes.network import FakeHost, FakeNetwork
from burdocksill_lab.fakes.platform import HostPlatform
from burdocksill_lab.stand_ins.store import MemoryPlatform
from burdocksill_lab.stand_ins.upstream import StandInUpstream

CALLER_PORT: Final = 5683
PEER_PORT: Final = 5690
ADMIN_PORT: Final = 5691
UPSTREAM_PORT: Final = 8080
LIST_LAG_SECONDS: Final = 2.0
SERVICE_ADDRESS: Final = Address('192.0.2.1', CALLER_PORT)


@attrs.define(kw_only=True)
class RunningNode:
    """Hold a node and the scope that its tasks run in."""

    node: EntryNode
    host: str
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ended: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Run the node until its scope is cancelled."""
        with self.scope:
            await self.node.run()
        self.ended.set()


@attrs.define(kw_only=True)
class World:
    """Hold the fakes, the nodes and the upstreams of one story."""

    seed: int
    components: Components = attrs.field(factory=Components)
    rng: Random = attrs.field(init=False)
    network: FakeNetwork = attrs.field(init=False)
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    nodes: dict[str, RunningNode] = attrs.field(factory=dict)
    upstreams: dict[str, StandInUpstream] = attrs.field(factory=dict)
    nursery: trio.Nursery | None = None
    hosts: int = 0

    def __attrs_post_init__(self) -> None:
        """Seed everything from one number."""
        self.rng = Random(self.seed)
        self.network = FakeNetwork(rng=Random(self.rng.random()))

    def require_nursery(self) -> trio.Nursery:
        """Return the nursery of the open world."""
        if self.nursery is None:
            raise RuntimeError('open the world with open_world()')
        return self.nursery

    def new_host(self) -> str:
        """Return an address that no host has yet."""
        self.hosts += 1
        return f'10.0.{self.hosts // 250}.{self.hosts % 250 + 1}'

    async def start_node(
        self,
        name: str,
        domain: str,
        *,
        seeds: tuple[Address, ...] = (),
        ring: KeyRing | None = None,
    ) -> RunningNode:
        """Start an entry VM and wait until it serves."""
        running = self.begin_node(name, domain, seeds=seeds, ring=ring)
        await running.node.serving.wait()
        return running

    def begin_node(
        self,
        name: str,
        domain: str,
        *,
        seeds: tuple[Address, ...] = (),
        ring: KeyRing | None = None,
        clock_offset: float = 0,
    ) -> RunningNode:
        """Start an entry VM; the fabric knows it once it serves."""
        host = self.new_host()
        record = VmRecord(
            name=name,
            domain=domain,
            role='entry',
            host=host,
            caller_port=CALLER_PORT,
            peer_port=PEER_PORT,
            admin_port=ADMIN_PORT,
        )
        self.platform.put_vm(record)
        running = RunningNode(
            node=self.make_node(record, clock_offset=clock_offset),
            host=host,
        )
        running.node.fleet.seeds = seeds
        if ring is not None:
            running.node.fleet.platform_watcher.use_keys(ring)
        self.nodes[name] = running
        nursery = self.require_nursery()
        nursery.start_soon(running.run)
        nursery.start_soon(self.spray_when_serving, running)
        return running

    async def spray_when_serving(self, running: RunningNode) -> None:
        """Let the fabric spray over a VM that serves."""
        await running.node.serving.wait()
        if running in self.nodes.values():
            self.spray().append(Address(running.host, CALLER_PORT))

    def make_node(
        self,
        record: VmRecord,
        *,
        clock_offset: float = 0,
    ) -> EntryNode:
        """Make the real node of an entry VM on the fakes."""
        settings = Settings(
            name=record.name,
            domain=record.domain,
            listen=Address(record.host, CALLER_PORT),
            peer=Address(record.host, PEER_PORT),
            admin=Address(record.host, ADMIN_PORT),
            platform='',
        )
        host = FakeHost(network=self.network, host=record.host)
        return EntryNode(
            settings=settings,
            network=host,
            platform=HostPlatform(
                platform=self.platform,
                network=self.network,
                host=record.host,
            ),
            clock=VirtualClock(offset=clock_offset),
            rng=Random(self.rng.random()),
            components=self.components,
            sleep=host.sleep,
        )

    def spray(self) -> list[Address]:
        """Return the entry VMs that the fabric sprays packets over."""
        return self.network.sprayed.setdefault(SERVICE_ADDRESS, [])

    async def stop_node(self, name: str) -> None:
        """Stop an entry VM as SIGTERM does, the platform's list told first."""
        running = self.nodes.pop(name)
        settings = running.node.settings
        self.platform.put_vm(
            VmRecord(
                name=name,
                domain=settings.domain,
                role='entry',
                host=running.host,
                state=VmState.LEAVING,
                caller_port=CALLER_PORT,
                peer_port=PEER_PORT,
                admin_port=ADMIN_PORT,
            ),
        )
        self.spray().remove(Address(running.host, CALLER_PORT))
        await running.node.stop()
        await running.ended.wait()

    def kill_node(self, name: str, *, silent: bool = True) -> None:
        """End an entry VM without a word (kill -9, or its VM's loss)."""
        running = self.nodes.pop(name)
        self.network.kill(running.host, silent=silent)
        running.scope.cancel()
        address = Address(running.host, CALLER_PORT)
        if address in self.spray():
            self.spray().remove(address)
        self.require_nursery().start_soon(self.drop_later, name)

    async def drop_later(self, name: str) -> None:
        """Take a dead VM off the platform's list, which lags."""
        await trio.sleep(LIST_LAG_SECONDS)
        if name not in self.nodes:
            self.platform.drop_vm(name)

    def start_upstream(
        self,
        service: str,
        name: str,
        domain: str,
        *,
        slots: int = 2,
    ) -> Upstream:
        """Start a stand-in upstream; return its line of the document."""
        address = Address(self.new_host(), UPSTREAM_PORT)
        stand_in = StandInUpstream(
            service=service,
            name=name,
            slots=slots,
            instance=self.rng.randbytes(8).hex(),
        )
        self.upstreams[name] = stand_in
        self.network.listeners[address] = stand_in.serve_stream
        return Upstream(
            name=name,
            domain=domain,
            host=address.host,
            port=address.port,
            slots=slots,
            connections=2000,
        )

    async def put_document(self, document: ServiceDocument) -> int:
        """Accept a document as an operator would."""
        accepted = await put_document(self.platform, document)
        return accepted.revision

    @asynccontextmanager
    async def session(self, service: str) -> AsyncGenerator[Session, None]:
        """Open a caller's session through the fabric."""
        host = FakeHost(network=self.network, host=self.new_host())
        async with open_session(
            service=service,
            server=SERVICE_ADDRESS,
            network=host,
            rng=Random(self.rng.random()),
            local=Address(host.host, 0),
            wants_hops=True,
        ) as session:
            yield session


@asynccontextmanager
async def open_world(
    seed: int,
    *,
    components: Components | None = None,
) -> AsyncGenerator[World, None]:
    """Open a world with fleet keys in the platform; end it with the block."""
    world = World(seed=seed, components=components or Components())
    world.platform.put(keys.FLEET_KEYS, encode_ring(rotate(None)))
    async with trio.open_nursery() as nursery:
        world.nursery = nursery
        nursery.start_soon(world.network.run)
        yield world
        nursery.cancel_scope.cancel()
