"""Compose one entry VM from its slices."""

from functools import partial
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
from burdocksill.flows.cookie import EPOCH_BYTES, SignedCookieSealer
from burdocksill.flows.keys import KeyHolder
from burdocksill.flows.placement import RandomPlacer
from burdocksill.membership.listed import ListedMembership
from burdocksill.network.protocols import Network, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.ownership.cookies import CookieIssuer
from burdocksill.ownership.epochs import EpochHolder
from burdocksill.ownership.exchange import HandoverExchange
from burdocksill.ownership.messages import (
    HandoverAck,
    HandoverNone,
    HandoverPart,
    HandoverRequest,
    HandoverSettled,
    HandoverSettledAck,
)
from burdocksill.ownership.owned import OwnedUpstream
from burdocksill.ownership.protocols import Fence
from burdocksill.ownership.table import OwnerTable
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import EnvelopeSealer
from burdocksill.peers.messages import RelayRequest
from burdocksill.platform.protocols import Platform
from burdocksill.requests.dispatch import DeadlineDispatcher
from burdocksill.upstreams.client import VerifiedClient

# A planned stop takes at most this long, whatever becomes of the heirs.
STOP_SECONDS: Final = 30.0
LINGER_SECONDS: Final = 2.0


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
    store: DocumentStore = attrs.field(init=False)
    membership: ListedMembership = attrs.field(init=False)
    owners: OwnerTable = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    fence: Fence = attrs.field(init=False)
    serving: trio.Event = attrs.field(factory=trio.Event)
    stopped: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Prepare what needs no task."""
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
            await self.stopped.wait()
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Stop without cutting a request: leave, hand over, drain, linger.

        The fabric and other VMs send packets here until they have heard of
        the leave; lingering passes these on to the heirs.
        """
        with trio.move_on_after(STOP_SECONDS):
            await self.membership.leave()
            await self.owners.stop()
            await trio.sleep(LINGER_SECONDS)
        self.stopped.set()

    async def start_serving(self, nursery: trio.Nursery) -> None:
        """Open the sockets and start one task for each."""
        channel = PeerChannel(
            socket=await self.network.open_datagrams(self.settings.peer),
            sealer=EnvelopeSealer(
                sender=self.settings.name,
                keys=self.keys,
                clock=self.clock,
            ),
            counters=self.counters,
        )
        self.owners = OwnerTable(
            members=self.membership,
            store=self.store,
            rng=self.rng,
            nursery=nursery,
            build=self.build_owned,
            peers=channel,
            make_window=self.guards.window,
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
            clock=self.clock,
            foreign=self.guards.foreign(),
            counters=self.counters,
            nursery=nursery,
            trace_ratio=self.settings.trace_ratio,
        )
        self.fence = self.guards.fence(self.membership)
        self.route_messages(channel)
        nursery.start_soon(self.fence.run)
        nursery.start_soon(self.owners.run)
        nursery.start_soon(channel.run)
        nursery.start_soon(self.router.run)
        self.serving.set()

    def route_messages(self, channel: PeerChannel) -> None:
        """Name the handler of each kind of message from other VMs."""
        exchange = HandoverExchange(table=self.owners)
        channel.handlers.update(
            {
                RelayRequest: self.router.take_relayed,
                HandoverRequest: exchange.take_request,
                HandoverNone: exchange.take_none,
                HandoverPart: exchange.take_part,
                HandoverAck: exchange.take_ack,
                HandoverSettled: exchange.take_settled,
                HandoverSettledAck: exchange.take_settled_ack,
            },
        )

    def build_owned(
        self,
        document: ServiceDocument,
        upstream: Upstream,
    ) -> OwnedUpstream:
        """Make what this VM holds for an upstream it owns."""
        epochs = EpochHolder(
            make_window=self.guards.window,
            make_epoch=partial(self.rng.randbytes, EPOCH_BYTES),
        )
        client = VerifiedClient(
            service=document.service,
            upstream=upstream,
            network=self.network,
            verifier=self.guards.verifier(),
        )
        return OwnedUpstream(
            document=document,
            upstream=upstream,
            epochs=epochs,
            cookies=CookieIssuer(
                service=document.service,
                upstream=upstream.name,
                owner=self.settings.member,
                epochs=epochs,
                sealer=self.router.sealer,
                clock=self.clock,
            ),
            clock=self.clock,
            rng=self.rng,
            client=client,
            dispatcher=DeadlineDispatcher(
                limiter=self.guards.limiter(upstream.slots),
                client=client,
            ),
            counters=self.counters,
            fence=self.fence,
            foreign=self.guards.foreign(),
            link=self.router,
        )
