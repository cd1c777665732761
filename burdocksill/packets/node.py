"""One node of the packet path: its tasks and what they share."""

import logging
import signal
import socket
from collections import Counter
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.network.http import HttpReply, serve_connection
from burdocksill.packets.decisions import PacketDecisions
from burdocksill.packets.forwarder import Forwarder
from burdocksill.packets.header import LARGEST_PACKET
from burdocksill.packets.knowledge import (
    Decoder,
    Follower,
    Learner,
    Source,
)
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.upstreams import Upstreams
from burdocksill.packets.verdicts import Drop

# One wake-up handles at most this many packets, so that readiness and the
# store's answers are not kept waiting by a flood.
BATCH_LIMIT: Final = 64
UPKEEP_SECONDS: Final = 1.0
# Routers turn away after two probes without success, 0.5 s apart.
FEWEST_STOP_SECONDS: Final = 1.1
# Clients of an idle node send about ten packets in this time.
QUIET_SECONDS: Final = 0.4
STOP_CHECK_SECONDS: Final = 0.1
OK: Final = 200
UNAVAILABLE: Final = 503
NOT_FOUND: Final = 404

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class PacketNode:
    """Compose the packet path of one VM and run its tasks."""

    settings: PacketSettings
    datagrams: socket.socket
    table: RoutingTable
    upstreams: Upstreams
    forwarder: Forwarder
    follower: Follower
    counts: Counter[str] = attrs.field(factory=Counter)
    stopping: bool = False
    # When the last packet came in.
    packet_at: float = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Return True once routes and upstreams are known, until a stop."""
        return self.follower.known.is_set() and not self.stopping

    async def run(self) -> None:
        """Serve until SIGTERM, then for the time that flows need to move."""
        logger.info('started', extra={'listen': str(self.settings.listen)})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.serve_pages)
            nursery.start_soon(self.forward_packets)
            nursery.start_soon(self.upkeep)
            nursery.start_soon(self.announce)
            await self.wait_for_stop()
            nursery.cancel_scope.cancel()
        logger.info('stopped')

    async def announce(self) -> None:
        """Write a line once new flows can be served."""
        await self.follower.known.wait()
        logger.info(
            'ready',
            extra={
                'version': self.table.version,
                'upstreams': len(self.upstreams.by_name),
            },
        )

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM, then until routers have turned elsewhere.

        A stop that takes longer than it must leaves fewer nodes in rotation
        when one is stopped after the other.
        """
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            await anext(signals)
            self.stopping = True
            began = trio.current_time()
            logger.info('stopping', extra={'for_s': self.settings.stop_seconds})
            while not self.may_stop(trio.current_time() - began):
                await trio.sleep(STOP_CHECK_SECONDS)

    def may_stop(self, stopping_for: float) -> bool:
        """Return True when no router sends packets, or time is up."""
        quiet = trio.current_time() - self.packet_at >= QUIET_SECONDS
        if stopping_for < FEWEST_STOP_SECONDS:
            return False
        return quiet or stopping_for >= self.settings.stop_seconds

    async def forward_packets(self) -> None:
        """Handle what the routers send, in batches."""
        while True:
            await trio.lowlevel.wait_readable(self.datagrams)
            self.drain(trio.current_time())

    def drain(self, now: float) -> None:
        """Handle at most one batch of waiting packets."""
        for _ in range(BATCH_LIMIT):
            try:
                payload = self.datagrams.recv(LARGEST_PACKET + 1)
            except BlockingIOError:
                return
            except ConnectionError:
                # An upstream's host refused an earlier datagram; that says
                # nothing about those that wait here.
                continue
            self.packet_at = now
            self.handle(payload, now)

    def handle(self, payload: bytes, now: float) -> None:
        """Carry out the verdict on one packet."""
        verdict = self.forwarder.decide(payload, now)
        self.counts[verdict.reason.value] += 1
        if isinstance(verdict, Drop):
            return
        try:
            self.datagrams.sendto(verdict.payload, verdict.target)
        except OSError:
            # The sender repeats it; waiting here would stop everyone else.
            self.counts['send-failed'] += 1

    async def upkeep(self) -> None:
        """Forget what has been idle for too long."""
        while True:
            await trio.sleep(UPKEEP_SECONDS)
            now = trio.current_time()
            self.upstreams.forget_old(now)
            manifest = self.table.manifest
            if manifest is not None:
                flows = self.forwarder.flows
                for key in list(flows.idle(now - manifest.idle_seconds)):
                    flows.end(key)

    async def serve_pages(self) -> None:
        """Answer probes of readiness and readers of metrics."""
        ready = self.settings.ready
        listeners = await trio.open_tcp_listeners(ready.port, host=ready.host)
        await trio.serve_listeners(self.serve_stream, listeners)

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Answer one connection."""
        await serve_connection(stream, self.page)

    async def page(self, target: str) -> HttpReply:
        """Return the page of a path."""
        if target == '/-/ready':
            return HttpReply(status=OK if self.is_ready else UNAVAILABLE)
        if target == '/-/metrics':
            return HttpReply(status=OK, body=self.metrics().encode())
        return HttpReply(status=NOT_FOUND)

    def metrics(self) -> str:
        """Write the counters as text."""
        lines = [
            f'burdocksill_packets_total{{reason="{reason}"}} {count}'
            for reason, count in sorted(self.counts.items())
        ]
        return '\n'.join(lines) + '\n'


def make_node(
    *,
    settings: PacketSettings,
    datagrams: socket.socket,
    prefix: str,
    source: Source,
    decode: Decoder,
    rng: Random,
) -> PacketNode:
    """Compose a node that follows a prefix of the platform's store."""
    table = RoutingTable()
    upstreams = Upstreams()
    placer = PacketPlacer(
        domain=settings.domain,
        table=table,
        upstreams=upstreams,
        rng=rng,
    )
    follower = Follower(
        prefix=prefix,
        source=source,
        decode=decode,
        learner=Learner(table=table, placer=placer, upstreams=upstreams),
        rng=rng,
    )
    forwarder = Forwarder(
        client_port=settings.listen.port,
        table=table,
        upstreams=upstreams,
        placer=placer,
        freshness=follower,
        log=PacketDecisions(),
    )
    return PacketNode(
        settings=settings,
        datagrams=datagrams,
        table=table,
        upstreams=upstreams,
        forwarder=forwarder,
        follower=follower,
    )
