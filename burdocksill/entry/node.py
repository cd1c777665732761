"""Composition of an entry VM from its parts."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import attrs
import trio

from burdocksill.conf.settings import Settings
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.components import Components
from burdocksill.entry.fleet import Fleet
from burdocksill.entry.router import Router
from burdocksill.entry.upstreams import UpstreamBuilder
from burdocksill.flows.cookie import EPOCH_BYTES, SignedCookieSealer
from burdocksill.flows.keys import KeyHolder
from burdocksill.membership.swim import SwimMembership
from burdocksill.network.protocols import Address, Network, WallClock
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
from burdocksill.peers.messages import RelayRequest
from burdocksill.platform.protocols import Platform
from burdocksill.upstreams.departures import LeavingRule
from burdocksill.upstreams.hints import HintTable


@attrs.define(kw_only=True)
class EntryNode:
    """Run one entry VM on a given network, platform and clock."""

    settings: Settings
    network: Network
    platform: Platform
    clock: WallClock
    rng: Random = attrs.field(factory=Random)
    counters: Counters = attrs.field(factory=Counters)
    keys: KeyHolder = attrs.field(factory=KeyHolder)
    components: Components = attrs.field(factory=Components)
    store: DocumentStore = attrs.field(init=False)
    fleet: Fleet = attrs.field(init=False)
    membership: SwimMembership = attrs.field(init=False)
    owners: OwnerTable = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    leaving_rule: LeavingRule = attrs.field(init=False)
    hints: HintTable = attrs.field(init=False)
    builder: UpstreamBuilder = attrs.field(init=False)
    fence: Fence = attrs.field(init=False)
    serving: trio.Event = attrs.field(factory=trio.Event)
    stopped: trio.Event = attrs.field(factory=trio.Event)
    # Peers to contact if the platform is unavailable at the start.
    seeds: tuple[Address, ...] = ()
    sleep: Callable[[float], Awaitable[None]] = trio.sleep

    def __attrs_post_init__(self) -> None:
        """Create the parts that need no running task."""
        self.store = DocumentStore(
            rule=self.components.revision_rule(),
            domain_rule=self.components.domain_rule(),
        )
        self.fleet = Fleet(
            settings=self.settings,
            platform=self.platform,
            clock=self.clock,
            rng=self.rng,
            counters=self.counters,
            keys=self.keys,
            store=self.store,
            sleep=self.sleep,
            seeds=self.seeds,
        )
        self.leaving_rule = self.components.leaving_rule(self.store)
        self.membership = self.fleet.membership

    async def run(self) -> None:
        """Join the fleet, then serve until stopped or cancelled."""
        async with trio.open_nursery() as nursery:
            channel = await self.fleet.join(self.network, nursery)
            await self.start_serving(nursery, channel)
            await self.stopped.wait()
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Shut down as planned; `run` returns afterwards."""
        await self.components.shutdown_policy().stop(
            leave=self.membership.leave,
            hand_over=self.hand_over,
        )
        self.stopped.set()

    async def hand_over(self) -> None:
        """Hand upstreams over and wait until stored answers are fetched."""
        await self.owners.stop()
        await self.router.transfers.wait_until_fetched()

    async def start_serving(
        self,
        nursery: trio.Nursery,
        channel: PeerChannel,
    ) -> None:
        """Open the callers' socket and start the serving tasks."""
        self.owners = OwnerTable(
            members=self.membership,
            store=self.store,
            rng=self.rng,
            nursery=nursery,
            build=self.build_owned,
            peers=channel,
            make_window=self.components.window,
            successor_policy=self.components.successor_policy(),
        )
        self.hints = HintTable(local_hints=self.owners.hints)
        self.fleet.hints.source = self.hints
        self.fleet.hints.sink = self.hints
        self.router = Router(
            members=self.membership,
            store=self.store,
            sealer=SignedCookieSealer(keys=self.keys, clock=self.clock),
            placer=self.components.placer(
                self.membership,
                self.store,
                self.rng,
                self.hints,
            ),
            owners=self.owners,
            channel=channel,
            socket=await self.network.open_datagrams(self.settings.listen),
            clock=self.clock,
            unknown_epoch_policy=self.components.unknown_epoch_policy(),
            transfers=self.components.transfers(self.rng),
            counters=self.counters,
            nursery=nursery,
            trace_ratio=self.settings.trace_ratio,
        )
        self.builder = UpstreamBuilder(
            network=self.network,
            components=self.components,
            members=self.membership,
            counters=self.counters,
            rng=self.rng,
            leaving_rule=self.leaving_rule,
            reroute=self.router.reroute,
        )
        self.fence = self.components.fence(self.membership)
        self.register_handlers(channel)
        nursery.start_soon(self.fence.run)
        nursery.start_soon(self.owners.run)
        nursery.start_soon(self.router.run)
        self.serving.set()

    def register_handlers(self, channel: PeerChannel) -> None:
        """Register the handlers of messages from other VMs."""
        exchange = HandoverExchange(table=self.owners)
        channel.handlers.update(
            {
                RelayRequest: self.router.handle_relayed,
                HandoverRequest: exchange.handle_request,
                HandoverNone: exchange.handle_none,
                HandoverPart: exchange.handle_part,
                HandoverAck: exchange.handle_ack,
                HandoverSettled: exchange.handle_settled,
                HandoverSettledAck: exchange.handle_settled_ack,
            },
        )

    def build_owned(
        self,
        document: ServiceDocument,
        upstream: Upstream,
    ) -> OwnedUpstream:
        """Create the state of an upstream that this VM owns."""
        epochs = EpochHolder(
            make_window=self.components.window,
            make_epoch=partial(self.rng.randbytes, EPOCH_BYTES),
        )
        parts = self.builder.build(document, upstream)
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
            client=parts.client,
            dispatcher=parts.dispatcher,
            transfers=self.router.transfers,
            admission=parts.admission,
            counters=self.counters,
            fence=self.fence,
            unknown_epoch_policy=self.components.unknown_epoch_policy(),
            link=self.router,
        )
