"""The process of one node: packets, readiness, metrics and shutdown."""

import logging
import signal
import socket
from typing import Any, Final

import attrs
import trio

from burdocksill.network.clock import Clock
from burdocksill.network.http import serve_connection
from burdocksill.network.reply import HttpReply
from burdocksill.packets.core import PacketCore
from burdocksill.packets.faststart import import_while_serving
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.supervision import Task, log_error, run_supervised
from burdocksill.packets.sync import StoreSync

EXPIRY_INTERVAL_SECONDS: Final = 1.0
# Routers remove a node after two failed readiness probes.
MIN_STOP_SECONDS: Final = 1.1
# A node in rotation receives several packets in this time.
IDLE_SECONDS: Final = 0.4
OK: Final = 200
INTERNAL_ERROR: Final = 500
UNAVAILABLE: Final = 503
NOT_FOUND: Final = 404
METRICS: Final = 'burdocksill.packets.metrics'

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class PacketNode:
    """Run the packet path of one VM and answer readiness probes."""

    settings: PacketSettings
    core: PacketCore
    store_sync: StoreSync
    clock: Clock
    # Listening socket for readiness probes and metrics.
    probes: socket.socket
    stopping: bool = False
    metrics_page: Any = None

    @property
    def is_ready(self) -> bool:
        """Return True after a full read of the store, until a stop.

        Without a manifest this node would drop all openings, while others may
        have one in force.
        """
        return (
            self.core.progress.is_synced
            and self.core.updater.table.version > 0
            and not self.stopping
        )

    async def run(self, *tasks: Task) -> None:
        """Serve until SIGTERM, then until flows have moved to other nodes."""
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)
            nursery.start_soon(self.forward_packets)
            nursery.start_soon(run_supervised, 'pages', self.serve_pages)
            nursery.start_soon(self.store_sync.run)
            nursery.start_soon(run_supervised, 'expiry', self.expire_idle)
            await self.wait_for_stop()
            nursery.cancel_scope.cancel()
        logger.info('stopped')

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM, then until routers use other nodes.

        A stop should not take longer than needed: in a rolling restart it
        leaves fewer nodes in rotation.
        """
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            await anext(signals)
            self.stopping = True
            began = self.clock()
            logger.info('stopping', extra={'for_s': self.settings.stop_seconds})
            await self.store_sync.leave()
            await self.wait_for_routers(began)

    async def wait_for_routers(self, began: float) -> None:
        """Wait until no router sends packets, or the stop time is over."""
        deadline = began + self.settings.stop_seconds
        await trio.sleep(MIN_STOP_SECONDS)
        while True:
            now = self.clock()
            idle_at = self.core.last_packet_at + IDLE_SECONDS
            if now >= min(idle_at, deadline):
                return
            await trio.sleep(min(idle_at, deadline) - now)

    async def forward_packets(self) -> None:
        """Handle packets of the routers in batches."""
        while True:
            with trio.move_on_after(self.core.seconds_until_due(self.clock())):
                await trio.lowlevel.wait_readable(self.core.datagrams)
            self.core.drain(self.clock())

    async def expire_idle(self) -> None:
        """Expire idle state periodically."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.core.expire_idle(self.clock())

    async def serve_pages(self) -> None:
        """Serve readiness probes and metrics over HTTP."""
        bound = trio.socket.from_stdlib_socket(self.probes)
        listener = trio.SocketListener(bound)
        await trio.serve_listeners(self.serve_stream, [listener])

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        with log_error('page'):
            await serve_connection(stream, self.page)

    async def page(self, target: str) -> HttpReply:
        """Return the response for a path."""
        if target == '/-/ready':
            return HttpReply(status=OK if self.is_ready else UNAVAILABLE)
        if target == '/-/metrics':
            with log_error('metrics'):
                return HttpReply(status=OK, body=self.metrics().encode())
            return HttpReply(status=INTERNAL_ERROR)
        return HttpReply(status=NOT_FOUND)

    def metrics(self) -> str:
        """Return the metrics page; import its libraries at the first call.

        Packets are forwarded during the import.
        """
        if self.metrics_page is None:
            loaded = import_while_serving(METRICS, self.core)
            self.metrics_page = loaded.MetricsPage(
                core=self.core,
                store_sync=self.store_sync,
            )
        text: str = self.metrics_page.render(self.clock())
        return text
