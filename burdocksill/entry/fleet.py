"""Connection of an entry VM to the fleet: members, records and keys."""

import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.conf.settings import Settings
from burdocksill.documents.dissemination import PlatformWatcher
from burdocksill.documents.gossip import RecordGossip
from burdocksill.documents.store import DocumentStore
from burdocksill.documents.watchers import WatcherSelector
from burdocksill.flows.keys import KeyHolder
from burdocksill.membership.hints import HintGossip
from burdocksill.membership.swim import SwimMembership
from burdocksill.network.protocols import Address, Network, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import EnvelopeSealer
from burdocksill.platform.protocols import Platform

IN_SYNC_SECONDS: Final = 0.5

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class Fleet:
    """Compose membership, dissemination and the channel to peers."""

    settings: Settings
    platform: Platform
    clock: WallClock
    rng: Random
    counters: Counters
    keys: KeyHolder
    store: DocumentStore
    sleep: Callable[[float], Awaitable[None]] = trio.sleep
    # Peers to contact if the platform is unavailable at the start.
    seeds: tuple[Address, ...] = ()
    membership: SwimMembership = attrs.field(init=False)
    gossip: RecordGossip = attrs.field(init=False)
    hints: HintGossip = attrs.field(init=False)
    platform_watcher: PlatformWatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that need no running task."""
        self.membership = SwimMembership(
            initial_member=self.settings.member,
            platform=self.platform,
            clock=self.clock,
            rng=self.rng,
            counters=self.counters,
            sleep=self.sleep,
        )
        self.gossip = RecordGossip(store=self.store, counters=self.counters)
        self.hints = HintGossip(
            members=self.membership,
            store=self.store,
            clock=trio.current_time,
        )
        self.membership.heartbeats.documents = self.gossip
        self.membership.heartbeats.hints = self.hints
        selector = WatcherSelector(members=self.membership)
        self.membership.should_read_list = selector
        self.platform_watcher = PlatformWatcher(
            platform=self.platform,
            store=self.store,
            keys=self.keys,
            counters=self.counters,
            rng=self.rng,
            is_watcher=selector,
        )

    async def join(
        self,
        network: Network,
        nursery: trio.Nursery,
    ) -> PeerChannel:
        """Load keys, members and documents; return the channel to peers."""
        nursery.start_soon(self.platform_watcher.run)
        await self.platform_watcher.keys_loaded.wait()
        channel = PeerChannel(
            socket=await network.open_datagrams(self.settings.peer),
            sealer=EnvelopeSealer(
                sender=self.settings.name,
                keys=self.keys,
                clock=self.clock,
            ),
            counters=self.counters,
            on_unknown_key=self.platform_watcher.request_keys,
        )
        self.membership.heartbeats.attach(channel)
        self.gossip.attach(channel)
        nursery.start_soon(channel.run)
        await self.membership.bootstrap(self.seeds)
        nursery.start_soon(self.membership.run)
        await self.wait_for_records()
        return channel

    async def wait_for_records(self) -> None:
        """Wait for the records of the platform or of the peers.

        The store may answer with a state from before an edit. Peers that
        answered the first heartbeats may be ahead of it, so they are given
        IN_SYNC_SECONDS first.
        """
        if not self.gossip.in_sync.is_set():
            with trio.move_on_after(IN_SYNC_SECONDS):
                await self.gossip.in_sync.wait()
        if (
            self.platform_watcher.synced.is_set()
            or self.gossip.in_sync.is_set()
        ):
            return
        logger.warning('neither platform nor peers tell the documents')
        async with trio.open_nursery() as nursery:
            for source in (self.platform_watcher.synced, self.gossip.in_sync):
                nursery.start_soon(
                    cancel_when_set, source, nursery.cancel_scope
                )


async def cancel_when_set(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancel a scope when an event is set."""
    await event.wait()
    scope.cancel()
