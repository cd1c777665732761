"""Compose one entry VM from its slices."""

from random import Random
from typing import Final

import attrs
import trio

from burdocksill.conf.settings import Settings
from burdocksill.documents.dissemination import PlatformLearner
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.guards import Guards
from burdocksill.entry.router import Router
from burdocksill.flows.cookie import SignedCookieSealer
from burdocksill.flows.keys import KeyHolder
from burdocksill.flows.placement import RandomPlacer
from burdocksill.membership.listed import ListedMembership
from burdocksill.network.protocols import Network, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.observe.decisions import DecisionLog
from burdocksill.ownership.owned import OwnedUpstream
from burdocksill.ownership.table import OwnerTable
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import EnvelopeSealer
from burdocksill.peers.messages import RelayRequest
from burdocksill.platform.protocols import Platform
from burdocksill.requests.dispatch import DeadlineDispatcher
from burdocksill.upstreams.client import VerifiedClient

RECONCILE_SECONDS: Final = 0.5


@attrs.define(kw_only=True)
class EntryNode:
    """Run one entry VM on the network, platform and clock it is given."""

    settings: Settings
    network: Network
    platform: Platform
    clock: WallClock
    rng: Random = attrs.field(factory=Random)
    counters: Counters = attrs.field(factory=Counters)
    keys: KeyHolder = attrs.field(factory=KeyHolder)
    guards: Guards = attrs.field(factory=Guards)
    decisions: DecisionLog = attrs.field(init=False)
    store: DocumentStore = attrs.field(init=False)
    membership: ListedMembership = attrs.field(init=False)
    owners: OwnerTable = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    serving: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Prepare what needs no task."""
        self.decisions = DecisionLog(clock=self.clock)
        self.store = DocumentStore(rule=self.guards.revision_rule())
        self.membership = ListedMembership(
            itself=self.settings.member,
            platform=self.platform,
        )

    async def run(self) -> None:
        """Learn first, then serve until cancelled."""
        learner = PlatformLearner(
            platform=self.platform,
            store=self.store,
            keys=self.keys,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(learner.run)
            await learner.learned.wait()
            await self.membership.refresh()
            nursery.start_soon(self.membership.run)
            await self.start_serving(nursery)
            while True:
                self.owners.reconcile()
                await trio.sleep(RECONCILE_SECONDS)

    async def start_serving(self, nursery: trio.Nursery) -> None:
        """Open the sockets and start one task for each."""
        self.owners = OwnerTable(
            members=self.membership,
            store=self.store,
            rng=self.rng,
            nursery=nursery,
            build=self.build_owned,
        )
        channel = PeerChannel(
            socket=await self.network.open_datagrams(self.settings.peer),
            sealer=EnvelopeSealer(
                sender=self.settings.name,
                keys=self.keys,
                clock=self.clock,
            ),
            counters=self.counters,
        )
        self.router = Router(
            members=self.membership,
            store=self.store,
            sealer=SignedCookieSealer(keys=self.keys, clock=self.clock),
            placer=RandomPlacer(
                members=self.membership,
                store=self.store,
                rng=self.rng,
            ),
            owners=self.owners,
            channel=channel,
            socket=await self.network.open_datagrams(self.settings.listen),
            counters=self.counters,
            decisions=self.decisions,
            nursery=nursery,
        )
        channel.handlers[RelayRequest] = self.router.take_relayed
        self.owners.reconcile()
        nursery.start_soon(channel.run)
        nursery.start_soon(self.router.run)
        self.serving.set()

    def build_owned(
        self,
        document: ServiceDocument,
        upstream: Upstream,
        epoch: bytes,
    ) -> OwnedUpstream:
        """Make what this VM holds for an upstream it owns."""
        client = VerifiedClient(
            service=document.service,
            upstream=upstream,
            network=self.network,
            verifier=self.guards.verifier(),
        )
        return OwnedUpstream(
            document=document,
            upstream=upstream,
            owner=self.settings.member,
            epoch=epoch,
            sealer=self.router.sealer,
            clock=self.clock,
            rng=self.rng,
            window=self.guards.window(),
            client=client,
            dispatcher=DeadlineDispatcher(
                limiter=self.guards.limiter(upstream.slots),
                client=client,
            ),
            counters=self.counters,
            reply=self.router.reply,
        )
