"""Compose how a node learns what the store says: from it, or from a reader."""

from collections import Counter
from functools import partial
from random import Random

import attrs
import trio

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.network.http import HttpConnection
from burdocksill.network.protocols import Network
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.store_cache import StoreCache
from burdocksill.packets.store_probe import StoreProbe
from burdocksill.packets.updater import StateUpdater
from burdocksill.packets.watcher import StoreWatcher
from burdocksill.platform.keys import READERS
from burdocksill.platform.records import ALL_KEYS, read_reader, write_reader
from burdocksill.platform.store import StoreClient
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.election import ReaderElection
from burdocksill.readers.exchange import (
    ElectionTask,
    PeerExchange,
    SharedReadGate,
)
from burdocksill.readers.messages import Reader
from burdocksill.readers.observations import ObservationExchange
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.subscription import Subscription


@attrs.define(kw_only=True, eq=False, repr=False)
class Sharing:
    """Hold what a node does to know the store without calling it."""

    exchange: PeerExchange
    election_task: ElectionTask
    platform: StoreClient
    probe: StoreProbe


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreSync:
    """Hold the tasks that keep a node's knowledge current."""

    follower: StoreWatcher
    platform: StoreClient
    sharing: Sharing | None = None

    @property
    def is_reader(self) -> bool:
        """Return True while this node reads the store for its domain."""
        return (
            self.sharing is not None
            and self.sharing.election_task.election.holds_lease
        )

    @property
    def platforms(self) -> list[StoreClient]:
        """Return the clients of the store, one for each connection."""
        if self.sharing is None:
            return [self.platform]
        probing = self.sharing.probe.platform
        return [self.platform, self.sharing.platform, probing]

    @property
    def calls(self) -> Counter[int]:
        """Count the calls to the store by the status of their answers."""
        calls: Counter[int] = Counter()
        for platform in self.platforms:
            calls.update(platform.calls)
        return calls

    @property
    def received_bytes(self) -> int:
        """Return how much the store has sent to this node."""
        return sum(platform.received_bytes for platform in self.platforms)

    @property
    def truncated(self) -> int:
        """Return how many answers of the store were given up half-way."""
        return sum(platform.truncated for platform in self.platforms)

    @property
    def observations(self) -> dict[str, int]:
        """Count what this node told others of upstreams, and was told."""
        if self.sharing is None:
            return {}
        observations = self.sharing.exchange.observations
        return {'sent': observations.sent, 'received': observations.received}

    async def run(self) -> None:
        """Follow the store and the readers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            if self.sharing is not None:
                nursery.start_soon(self.sharing.exchange.receive)
                nursery.start_soon(self.sharing.exchange.request_updates)
                nursery.start_soon(self.sharing.exchange.publish_observations)
                nursery.start_soon(self.sharing.election_task.run)
                nursery.start_soon(self.sharing.probe.run)

    async def leave(self) -> None:
        """Let another node read for the domain, as this one stops."""
        if self.sharing is not None:
            await self.sharing.election_task.leave()

    async def call_at(self, store: Address) -> None:
        """Call the store at another address from now on."""
        for platform in self.platforms:
            platform.connection.remote = store
            await platform.connection.close()


@attrs.frozen(kw_only=True)
class Runtime:
    """Hold what a node runs in: real, or played by a test."""

    network: Network
    clock: Clock
    rng: Random


def make_platform(
    settings: PacketSettings,
    runtime: Runtime,
) -> StoreClient:
    """Prepare a client of the store with a connection of its own."""
    connection = HttpConnection(
        network=runtime.network,
        remote=settings.platform,
    )
    return StoreClient(connection=connection)


async def make_store_sync(
    settings: PacketSettings,
    store_cache: StoreCache,
    runtime: Runtime,
) -> StoreSync:
    """Compose the tasks; with an address for peers the readings are shared."""
    platform = make_platform(settings, runtime)
    follower = StoreWatcher(
        prefix=ALL_KEYS,
        source=platform,
        store_cache=store_cache,
        rng=runtime.rng,
    )
    store_sync = StoreSync(follower=follower, platform=platform)
    if settings.peer is not None:
        sharing = await share(settings, settings.peer, store_cache, runtime)
        store_sync.sharing = sharing
        follower.read_gate = sharing.exchange.read_gate
    return store_sync


async def share(
    settings: PacketSettings,
    peer: Address,
    store_cache: StoreCache,
    runtime: Runtime,
) -> Sharing:
    """Bind the socket for other nodes and compose what uses it."""
    socket = await runtime.network.open_datagrams(peer)
    directory: StateUpdater = store_cache.updater
    subscription = Subscription(
        name=settings.name,
        domain=settings.domain,
        directory=directory,
        store_cache=store_cache,
        clock=runtime.clock,
        rng=runtime.rng,
    )
    revision = store_cache.revision
    publisher = Publisher(
        store_cache=store_cache,
        log=ChangeLog(start=revision, end=revision),
        clock=runtime.clock,
        send=socket.send,
    )
    store_cache.listeners.append(publisher.publish)
    # A waiting call holds its connection, so leases have one of their own.
    platform = make_platform(settings, runtime)
    local_node = Reader(name=settings.name, address=peer)
    election = ReaderElection(
        local_node=local_node,
        domain=settings.domain,
        cores=settings.cores,
        directory=directory,
        clock=runtime.clock,
        rng=runtime.rng,
    )
    exchange = PeerExchange(
        socket=socket,
        subscription=subscription,
        publisher=publisher,
        read_gate=SharedReadGate(subscription=subscription),
        observations=ObservationExchange(
            local_node=local_node,
            domain=settings.domain,
            directory=directory,
            sink=directory.placer.outages,
            publisher=publisher,
            clock=runtime.clock,
            send=socket.send,
        ),
    )
    directory.placer.outages.on_observation = exchange.schedule_observations
    exchange.read_gate.on_answer = exchange.notify_reader
    probe = StoreProbe(
        isolation=directory.placer.isolation,
        platform=make_platform(settings, runtime),
        key=READERS + settings.domain,
        clock=runtime.clock,
    )
    directory.placer.isolation.on_suspected = probe.suspect
    return Sharing(
        exchange=exchange,
        election_task=ElectionTask(
            election=election,
            key=READERS + settings.domain,
            value=write_reader(local_node),
            read_entry=partial(read_reader, settings.domain),
            store=platform,
            subscription=subscription,
            read_gate=exchange.read_gate,
        ),
        platform=platform,
        probe=probe,
    )
