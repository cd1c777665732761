"""Tasks that keep the store cache in sync, from the store or from a peer."""

from collections import Counter
from functools import partial
from random import Random

import attrs
import trio

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.network.http import HttpConnection
from burdocksill.network.protocols import Network
from burdocksill.packets.load_table import LoadTable
from burdocksill.packets.protocols import LoadView
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.silence import SilenceDetector, SilenceJudge
from burdocksill.packets.store_cache import StoreCache
from burdocksill.packets.store_probe import StoreProbe
from burdocksill.packets.supervision import Task, run_supervised
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
from burdocksill.readers.load_reports import LoadExchange
from burdocksill.readers.messages import Reader
from burdocksill.readers.observations import ObservationExchange
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.silence_reports import SilenceExchange
from burdocksill.readers.subscription import Subscription


@attrs.define(kw_only=True, eq=False, repr=False)
class Sharing:
    """The tasks with which nodes share reads of the store."""

    exchange: PeerExchange
    election_task: ElectionTask
    platform: StoreClient
    probe: StoreProbe


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreSync:
    """The tasks that keep the store cache of a node in sync."""

    watcher: StoreWatcher
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
        """Return the clients of the store; each has its own connection."""
        if self.sharing is None:
            return [self.platform]
        probe_platform = self.sharing.probe.platform
        return [self.platform, self.sharing.platform, probe_platform]

    @property
    def calls(self) -> Counter[int]:
        """Return the number of calls to the store, by HTTP status."""
        calls: Counter[int] = Counter()
        for platform in self.platforms:
            calls.update(platform.calls)
        return calls

    @property
    def received_bytes(self) -> int:
        """Return the bytes received from the store."""
        return sum(platform.received_bytes for platform in self.platforms)

    @property
    def truncated(self) -> int:
        """Return the number of truncated answers of the store."""
        return sum(platform.truncated for platform in self.platforms)

    @property
    def observations(self) -> dict[str, int]:
        """Return the number of observations sent to peers and received."""
        if self.sharing is None:
            return {}
        observations = self.sharing.exchange.observations
        return {'sent': observations.sent, 'received': observations.received}

    @property
    def load_rows(self) -> dict[str, int]:
        """Return the number of load rows sent to peers and received."""
        if self.sharing is None or self.sharing.exchange.loads is None:
            return {}
        loads = self.sharing.exchange.loads
        return {'sent': loads.sent, 'received': loads.received}

    @property
    def silence_reports(self) -> dict[str, int]:
        """Return the number of reports of silence sent and received."""
        silence = self.sharing and self.sharing.exchange.silence
        if not silence:
            return {}
        return {'sent': silence.sent, 'received': silence.received}

    async def run(self) -> None:
        """Watch the store and exchange updates with peers until cancelled.

        An error in one task ends no other one, nor the forwarding of packets.
        """
        async with trio.open_nursery() as nursery:
            for name, task in self.tasks().items():
                nursery.start_soon(run_supervised, name, task)

    def tasks(self) -> dict[str, Task]:
        """Return the tasks by the names under which their errors are logged."""
        tasks: dict[str, Task] = {'store watch': self.watcher.run}
        if self.sharing is not None:
            exchange = self.sharing.exchange
            tasks |= {
                'peer datagrams': exchange.receive,
                'update requests': exchange.request_updates,
                'observations': exchange.publish_observations,
                'reader election': self.sharing.election_task.run,
                'store probe': self.sharing.probe.run,
            }
            if exchange.loads is not None:
                tasks['load reports'] = exchange.loads.run
        return tasks

    async def leave(self) -> None:
        """Give up the reader's lease, as this node stops."""
        if self.sharing is not None:
            await self.sharing.election_task.leave()

    async def change_store_address(self, store: Address) -> None:
        """Close all connections and use another address of the store."""
        for platform in self.platforms:
            platform.connection.remote = store
            await platform.connection.close()


@attrs.frozen(kw_only=True)
class Runtime:
    """Network, clock and random generator of a node; fakes in tests."""

    network: Network
    clock: Clock
    rng: Random


def make_platform(
    settings: PacketSettings,
    runtime: Runtime,
) -> StoreClient:
    """Return a store client with its own connection."""
    connection = HttpConnection(
        network=runtime.network,
        remote=settings.platform,
    )
    return StoreClient(connection=connection)


async def make_store_sync(
    settings: PacketSettings,
    store_cache: StoreCache,
    runtime: Runtime,
    silence: SilenceDetector | None = None,
) -> StoreSync:
    """Create the tasks; share reads with peers if an address is set."""
    platform = make_platform(settings, runtime)
    watcher = StoreWatcher(
        prefix=ALL_KEYS,
        source=platform,
        store_cache=store_cache,
        rng=runtime.rng,
    )
    store_sync = StoreSync(watcher=watcher, platform=platform)
    if settings.peer is not None:
        sharing = await make_sharing(
            settings, settings.peer, store_cache, runtime
        )
        if silence is not None:
            share_silence(sharing.exchange, silence)
        store_sync.sharing = sharing
        watcher.read_gate = sharing.exchange.read_gate
    return store_sync


def share_silence(exchange: PeerExchange, detector: SilenceDetector) -> None:
    """Exchange evidence of silent upstreams over the socket for peers."""
    observations = exchange.observations
    exchange.silence = SilenceExchange(
        role=observations,
        detector=detector,
        judge=SilenceJudge(upstreams=detector.upstreams),
        publisher=observations.publisher,
        clock=observations.clock,
        send=observations.send,
        on_waiting=exchange.schedule_observations,
    )
    detector.on_report = exchange.silence.report


async def make_sharing(
    settings: PacketSettings,
    peer: Address,
    store_cache: StoreCache,
    runtime: Runtime,
) -> Sharing:
    """Bind the socket for peers and create the tasks that use it."""
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
    # A watch call occupies its connection, so leases use another one.
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
    exchange.loads = make_load_exchange(
        exchange, directory.placer.load_view, settings, runtime
    )
    directory.placer.outages.on_observation = exchange.schedule_observations
    exchange.read_gate.on_answer = exchange.notify_reader
    probe = StoreProbe(
        isolation=directory.placer.isolation,
        platform=make_platform(settings, runtime),
        key=READERS + settings.domain,
        clock=runtime.clock,
    )
    directory.placer.isolation.on_suspected = probe.request_probe
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


def make_load_exchange(
    exchange: PeerExchange,
    load_view: LoadView,
    settings: PacketSettings,
    runtime: Runtime,
) -> LoadExchange | None:
    """Return the exchange of loads; None where nodes do not report them."""
    observations = exchange.observations
    if not isinstance(load_view, LoadTable):
        return None
    return LoadExchange(
        local_address=observations.local_node.address,
        domain=settings.domain,
        role=observations,
        directory=observations.directory,
        sink=load_view,
        publisher=exchange.publisher,
        clock=runtime.clock,
        rng=Random(runtime.rng.random()),
        send=exchange.socket.send,
    )
