"""What decides for packets on one node, and the loop that drains a socket."""

from __future__ import annotations

import socket
import time
from collections import Counter
from random import Random

from burdocksill.network.clock import Clock, boot_seconds
from burdocksill.packets.decisions import PacketDecisions
from burdocksill.packets.flows import FlowTable
from burdocksill.packets.forwarder import Forwarder
from burdocksill.packets.header import LARGEST_PACKET
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.store_cache import StoreCache, SyncProgress
from burdocksill.packets.updater import Decoder, StateUpdater
from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.packets.verdicts import Drop, Forward, Reason, Reset

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# One wake-up handles at most this many packets, so that readiness and the
# store's answers are not kept waiting by a flood.
BATCH_LIMIT: Final = 64
# Half of the time after which a client repeats what was not answered.
BEHIND_SECONDS: Final = 0.1


class PacketCore:
    """Hold the state of the packet path and carry out its verdicts."""

    __slots__ = (
        'behind_since',
        'counts',
        'datagrams',
        'forwarder',
        'store_cache',
        'packet_at',
    )

    def __init__(
        self,
        *,
        datagrams: socket.socket,
        forwarder: Forwarder,
        store_cache: StoreCache,
    ) -> None:
        """Take all fields."""
        self.datagrams = datagrams
        self.forwarder = forwarder
        self.store_cache = store_cache
        self.counts: Counter[str] = Counter()
        # When the last packet came in.
        self.packet_at: float = float('-inf')
        # Since when packets have waited without a break; 0 while none do.
        self.behind_since: float = 0

    @property
    def updater(self) -> StateUpdater:
        """Return what puts news into force."""
        return self.store_cache.updater

    @property
    def progress(self) -> SyncProgress:
        """Return how far the store is known."""
        return self.store_cache.progress

    def drain(self, now: float) -> None:
        """Handle at most one batch of waiting packets."""
        self.forwarder.flows.is_backlogged = self.is_backlogged(now)
        for _ in range(BATCH_LIMIT):
            try:
                payload = self.datagrams.recv(LARGEST_PACKET + 1)
            except BlockingIOError:
                self.behind_since = 0
                self.expire_openings(now)
                return
            except ConnectionError:
                # An upstream's host refused an earlier datagram; that says
                # nothing about those that wait here.
                continue
            self.packet_at = now
            self.handle(payload, now)
        self.behind_since = self.behind_since or now

    def expire_openings(self, now: float) -> None:
        """Conclude from openings that nothing has followed, and count them."""
        self.forwarder.end_lost(now)
        self.send_due()
        missed = self.forwarder.expire_openings(now)
        if missed:
            self.counts[Reason.OPENING_MISSED.value] += missed

    def seconds_until_due(self, now: float) -> float:
        """Return the seconds until there is something to conclude."""
        if self.updater.upstreams.replaced or self.updater.upstreams.expired:
            return 0
        return max(0, self.forwarder.openings.next_due() - now)

    def is_backlogged(self, now: float) -> bool:
        """Return True when packets wait here for long.

        A node that was slowed down reads a client's repeat although the
        upstream has answered long ago: it must not conclude anything from it.
        """
        since = self.behind_since
        return since > 0 and now - since > BEHIND_SECONDS

    def handle(self, payload: bytes, now: float) -> None:
        """Carry out the verdict on one packet."""
        verdict = self.forwarder.decide(payload, now)
        if isinstance(verdict, Drop):
            self.counts[verdict.reason.value] += 1
            return
        self.send(verdict)
        self.send_due()

    def send_due(self) -> None:
        """Send the resets that a decision on others brought about."""
        while self.forwarder.due:
            self.send(self.forwarder.due.pop())

    def send(self, verdict: Forward | Reset) -> None:
        """Send a packet or a reset, or count it as lost."""
        self.counts[verdict.reason.value] += 1
        try:
            self.datagrams.sendto(verdict.payload, verdict.target)
        except OSError:
            # The sender repeats it; waiting here would stop everyone else.
            self.counts['send-failed'] += 1

    def expire_idle(self, now: float) -> None:
        """Forget what has been idle for too long, and suspicions that ended."""
        self.updater.upstreams.forget_old(now)
        self.updater.placer.outages.expire_suspicions(now)
        manifest = self.updater.table.manifest
        if manifest is not None:
            flows = self.forwarder.flows
            for key in list(flows.idle_since(now - manifest.idle_seconds)):
                flows.end(key)


def make_core(
    *,
    settings: PacketSettings,
    datagrams: socket.socket,
    decode: Decoder,
    rng: Random,
    clock: Clock = time.monotonic,
    age_clock: Clock = boot_seconds,
) -> PacketCore:
    """Compose what decides for packets."""
    table = RoutingTable()
    upstreams = UpstreamRegistry()
    progress = SyncProgress(clock=age_clock)
    placer = PacketPlacer(
        domain=settings.domain,
        table=table,
        upstreams=upstreams,
        rng=rng,
    )
    return PacketCore(
        datagrams=datagrams,
        forwarder=Forwarder(
            client_port=settings.listen.port,
            table=table,
            upstreams=upstreams,
            placer=placer,
            freshness=progress,
            log=PacketDecisions(),
            flows=FlowTable(table=table),
        ),
        store_cache=StoreCache(
            updater=StateUpdater(
                table=table,
                placer=placer,
                upstreams=upstreams,
                decode=decode,
            ),
            progress=progress,
            clock=clock,
        ),
    )
