"""Reload the settings file while the node runs."""

import logging
import signal
from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.early import early_lines
from burdocksill.observe.lines import StateLogger
from burdocksill.packets.node import PacketNode
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.supervision import log_error

# Polling interval: the file may change without a signal.
POLL_SECONDS: Final = 2.0
# Settings that need a restart: sockets, the node's identity and its features.
RESTART_FIELDS: Final = (
    'name',
    'domain',
    'listen',
    'ready',
    'peer',
    'cores',
    'features',
    'spillover_start',
)

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class Reloader:
    """Reload the settings at SIGHUP and at a fixed interval."""

    read: Callable[[], PacketSettings]
    node: PacketNode
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def run(self) -> None:
        """Check for changes until the node stops."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(POLL_SECONDS):
                    await anext(signals)
                    logger.info('reload', extra={'cause': 'SIGHUP'})
                # Without this receiver a SIGHUP would end the process.
                with log_error('reload'):
                    await self.check_file()

    async def check_file(self) -> None:
        """Read the file and apply changes; ignore a file that is invalid."""
        try:
            found = self.read()
        except (BurdocksillError, OSError, UnicodeDecodeError) as error:
            self.state_logger.log_change(
                'settings unreadable',
                level=logging.WARNING,
                cause=str(error),
            )
            return
        self.state_logger.log_change('settings readable', level=logging.DEBUG)
        if found != self.node.settings:
            await self.apply(found)

    async def apply(self, found: PacketSettings) -> None:
        """Apply changed settings; log those that need a restart."""
        before = self.node.settings
        changed = [
            name
            for name in PacketSettings.__slots__
            if getattr(found, name) != getattr(before, name)
        ]
        needs_restart = [name for name in changed if name in RESTART_FIELDS]
        logger.log(
            logging.WARNING if needs_restart else logging.INFO,
            'settings changed',
            extra={'changed': changed, 'after_restart': needs_restart},
        )
        self.node.settings = found
        logging.getLogger().setLevel(found.log_level)
        early_lines.set_level(found.log_level)
        if found.platform != before.platform:
            await self.node.store_sync.change_store_address(found.platform)
