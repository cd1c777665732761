"""State of the packet path of one node, and its receive loop."""

from __future__ import annotations

import time
from collections import Counter
from random import Random

from burdocksill.network.clock import Clock, boot_seconds
from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.decisions import PacketDecisions
from burdocksill.packets.fair_share import FairShareLimiter
from burdocksill.packets.features import Feature
from burdocksill.packets.flows import MAX_READ_DELAY_SECONDS, FlowTable
from burdocksill.packets.forwarder import Forwarder
from burdocksill.packets.header import LARGEST_PACKET
from burdocksill.packets.load_table import LoadTable
from burdocksill.packets.local_load import LocalLoad
from burdocksill.packets.outliers import OutlierDetector
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.silence import SilenceDetector
from burdocksill.packets.store_cache import StoreCache, SyncProgress
from burdocksill.packets.updater import Decoder, StateUpdater
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.packets.verdicts import Drop, Forward, Reason, Reset

TYPE_CHECKING = False
if TYPE_CHECKING:
    import _socket
    from typing import Final

# Most packets that one wake-up handles, so that readiness probes and answers of
# the store are not delayed by a flood of packets.
BATCH_LIMIT: Final = 64
BACKLOG_SECONDS: Final = MAX_READ_DELAY_SECONDS


class PacketCore:
    """Receive packets, and forward, reset or drop them by their verdicts."""

    __slots__ = (
        'backlogged_since',
        'counts',
        'datagrams',
        'forwarder',
        'last_packet_at',
        'store_cache',
    )

    def __init__(
        self,
        *,
        datagrams: _socket.socket,
        forwarder: Forwarder,
        store_cache: StoreCache,
    ) -> None:
        """Store the arguments and start with empty counters."""
        self.datagrams = datagrams
        self.forwarder = forwarder
        self.store_cache = store_cache
        self.counts: Counter[str] = Counter()
        # When the last packet was received.
        self.last_packet_at: float = float('-inf')
        # Since when the socket has not been empty; 0 while it is.
        self.backlogged_since: float = 0
        if self.silence is not None:
            self.silence.on_confirmed = self.end_silent

    @property
    def silence(self) -> SilenceDetector | None:
        """Return what shares evidence of silent upstreams; None if unused."""
        return self.forwarder.flows.silence

    @property
    def updater(self) -> StateUpdater:
        """Return the object that applies store updates."""
        return self.store_cache.updater

    @property
    def progress(self) -> SyncProgress:
        """Return up to which revision the store cache is in sync."""
        return self.store_cache.progress

    def drain(self, now: float) -> None:
        """Handle at most one batch of waiting packets without blocking."""
        self.forwarder.flows.is_backlogged = self.has_backlog(now)
        for _ in range(BATCH_LIMIT):
            try:
                payload = self.datagrams.recv(LARGEST_PACKET + 1)
            except BlockingIOError:
                self.backlogged_since = 0
                self.handle_due(now)
                return
            except ConnectionError:
                # An ICMP error for an earlier datagram to an upstream; the
                # packets in the socket are not affected.
                continue
            self.last_packet_at = now
            self.handle(payload, now)
        self.backlogged_since = self.backlogged_since or now

    def handle_due(self, now: float) -> None:
        """Reset lost flows, count overdue openings and send due probes."""
        self.forwarder.reset_lost_flows(now)
        self.send_pending_resets()
        missed = self.forwarder.expire_openings(now)
        if missed:
            self.counts[Reason.OPENING_MISSED.value] += missed
        for probe in self.forwarder.probes.pop_due(now):
            if not self.forwarder.flows.is_backlogged:
                self.send(probe.record_sent(now))

    def end_silent(self, upstream: KnownUpstream, since: float) -> bool:
        """Reset the flows of an upstream that other nodes found silent.

        Return False if packets that wait in the socket show an answer, or may
        show one.
        """
        now = self.store_cache.clock()
        self.drain(now)
        answered_at = self.silence.answered_at(upstream) if self.silence else 0
        if self.backlogged_since or answered_at > since:
            return False
        upstream.health.eject(now)
        self.forwarder.reset_all(upstream, Reason.UPSTREAM_SILENT)
        self.send_pending_resets()
        return True

    def seconds_until_due(self, now: float) -> float:
        """Return the seconds until `handle_due` has something to do."""
        if self.updater.upstreams.replaced or self.updater.upstreams.expired:
            return 0
        due_at = min(
            self.forwarder.openings.next_due(), self.forwarder.probes.next_due()
        )
        return max(0, due_at - now)

    def has_backlog(self, now: float) -> bool:
        """Return True when the socket has not been empty for too long.

        A node that was slowed down reads a client's retransmission although
        the upstream answered long ago, so it must not count it as a failure.
        """
        since = self.backlogged_since
        return since > 0 and now - since > BACKLOG_SECONDS

    def handle(self, payload: bytes, now: float) -> None:
        """Apply the verdict on one packet."""
        verdict = self.forwarder.decide(payload, now)
        if isinstance(verdict, Drop):
            self.counts[verdict.reason.value] += 1
            return
        self.send(verdict)
        self.send_pending_resets()

    def send_pending_resets(self) -> None:
        """Send the pending resets of other flows."""
        while self.forwarder.pending_resets:
            self.send(self.forwarder.pending_resets.pop())

    def send(self, verdict: Forward | Reset) -> None:
        """Send a packet or a reset; count it if the socket refuses it."""
        self.counts[verdict.reason.value] += 1
        try:
            self.datagrams.sendto(verdict.payload, verdict.target)
        except OSError:
            # The client retransmits it; waiting would block all other flows.
            self.counts['send-failed'] += 1

    def expire_idle(self, now: float) -> None:
        """Expire waits, idle flows, old upstreams, suspicions and deferrals."""
        self.updater.upstreams.remove_expired(now)
        self.updater.placer.outages.expire_suspicions(now)
        if self.silence is not None:
            self.silence.expire(now)
        self.updater.apply_deferred(now, now - self.progress.age())
        flows = self.forwarder.flows
        flows.end_overdue_waits(now)
        manifest = self.updater.table.manifest
        if manifest is not None:
            for key in list(flows.idle_since(now - manifest.idle_seconds)):
                flows.end(key)


def make_core(
    *,
    settings: PacketSettings,
    datagrams: _socket.socket,
    decode: Decoder,
    rng: Random,
    clock: Clock = time.monotonic,
    age_clock: Clock = boot_seconds,
) -> PacketCore:
    """Create the packet path of a node on a bound socket."""
    table = RoutingTable()
    is_fair = Feature.FAIR_ADMISSION in settings.features
    upstreams = UpstreamRegistry(
        FairShareLimiter if is_fair else ConcurrencyLimiter
    )
    progress = SyncProgress(clock=age_clock)
    silence = None
    if Feature.SILENCE_REPORTS in settings.features:
        silence = SilenceDetector(upstreams=upstreams)
    flows = FlowTable(table=table, silence=silence)
    load_table = None
    if Feature.LOAD_REPORTS in settings.features:
        flows.local_load = LocalLoad(flows)
        load_table = LoadTable(
            domain=settings.domain,
            upstreams=upstreams,
            local_load=flows.local_load,
        )
    placer = PacketPlacer(
        domain=settings.domain,
        table=table,
        upstreams=upstreams,
        rng=rng,
        load_view=load_table,
        features=settings.features,
        spillover_start=settings.spillover_start,
    )
    if (
        flows.local_load is not None
        and Feature.OUTLIER_EJECTION in settings.features
    ):
        placer.use_outliers(
            OutlierDetector(
                domain=settings.domain,
                load_view=placer.load_view,
                local_load=flows.local_load,
                upstreams=upstreams,
                rng=rng,
            )
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
            flows=flows,
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
