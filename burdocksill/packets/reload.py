"""Take in a settings file that changes while the node runs."""

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

# The file may change without a signal.
LOOK_SECONDS: Final = 2.0
# What a running process can't change: its sockets and what it is.
FIXED: Final = ('name', 'domain', 'listen', 'ready', 'peer', 'cores')

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class Reloader:
    """Read the settings again, at SIGHUP and every few seconds."""

    read: Callable[[], PacketSettings]
    node: PacketNode
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def run(self) -> None:
        """Look for changes until the node stops."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(LOOK_SECONDS):
                    await anext(signals)
                    logger.info('reload', extra={'cause': 'SIGHUP'})
                await self.look()

    async def look(self) -> None:
        """Read the file; one that can't be read leaves all as it is."""
        try:
            found = self.read()
        except (BurdocksillError, OSError) as error:
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
        """Put into force what can change; say what needs a restart."""
        before = self.node.settings
        changed = [
            name
            for name in PacketSettings.__slots__
            if getattr(found, name) != getattr(before, name)
        ]
        fixed = [name for name in changed if name in FIXED]
        logger.log(
            logging.WARNING if fixed else logging.INFO,
            'settings changed',
            extra={'changed': changed, 'after_restart': fixed},
        )
        self.node.settings = found
        logging.getLogger().setLevel(found.log_level)
        early_lines.set_level(found.log_level)
        if found.platform != before.platform:
            await self.node.store_sync.call_at(found.platform)
