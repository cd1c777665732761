"""Serve packets while the rest of the program is still being imported.

After a loss of power every node starts at once, and no flow is served until
the first has. What decides about packets needs little of the standard library
and nothing else, so that is imported first and the store is read; the libraries
of the rest, which take several times as long, are imported between packets.
"""

from __future__ import annotations

import importlib
import select
import socket
import sys
import time
from collections.abc import Generator
from types import ModuleType

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.minimal_http import MinimalHttpExchange
from burdocksill.network.reply import HttpReply
from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.core import PacketCore
from burdocksill.platform.values import Snapshot

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

READ_BYTES: Final = 65536
# How often the loop looks whether the time for the reading is up.
LOOK_SECONDS: Final = 0.02
# The longest time without a byte of the store, above what one answer takes when
# it is slow. A long list comes in many pages and takes seconds over a slow link
# that all nodes load at once. Given up half-way, it is read again from its
# first page, by everyone, over that link.
SILENCE_SECONDS: Final = 0.4
# Whatever trickles in, the program proper is there to try again.
LONGEST_SECONDS: Final = 10.0
OK: Final = 200

logger = EarlyLogger(__name__)
Pages = Generator[str, HttpReply, Snapshot]


class InitialRead:
    """Read the store once over a plain socket that is never waited for.

    What fails here is left to the program proper, which tries again.
    """

    __slots__ = (
        'asked_at',
        'core',
        'ended',
        'exchange',
        'heard_at',
        'out',
        'pages',
        'plain',
        'remote',
    )

    def __init__(
        self,
        *,
        remote: Address,
        pages: Pages,
        core: PacketCore,
        asked_at: float,
    ) -> None:
        """Start to connect."""
        self.remote = remote
        self.pages = pages
        self.core = core
        self.asked_at = asked_at
        # When the store was last heard, by the monotonic clock.
        self.heard_at = time.monotonic()
        self.ended = False
        self.exchange = MinimalHttpExchange(remote=remote)
        # What is still to be sent.
        self.out = self.exchange.request(next(pages))
        self.plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.plain.setblocking(False)
        self.plain.connect_ex((remote.host, remote.port))

    def proceed(self) -> None:
        """Send or receive what is possible now; end after any failure."""
        try:
            self.send_or_receive()
        except BlockingIOError:
            return
        except (OSError, BurdocksillError) as error:
            logger.warning('first reading failed', extra={'cause': repr(error)})
            self.end()

    def send_or_receive(self) -> None:
        """Send what waits to be sent, else take in what has arrived."""
        if self.out:
            self.out = self.out[self.plain.send(self.out) :]
            return
        received = self.plain.recv(READ_BYTES)
        self.heard_at = time.monotonic()
        reply = self.exchange.receive(received)
        if reply is None:
            return
        if reply.status != OK:
            raise ConnectionResetError(f'the store answered {reply.status}')
        self.take(reply)

    def take(self, reply: HttpReply) -> None:
        """Ask for the next page, or put what was read into force."""
        try:
            target = self.pages.send(reply)
        except StopIteration as done:
            self.core.store_cache.apply_snapshot(done.value, self.asked_at)
            self.end()
        else:
            self.out = self.exchange.request(target)

    def end(self) -> None:
        """Close the connection."""
        self.ended = True
        self.plain.close()


class DrainBetweenImports:
    """Forward what has arrived each time another module is looked for.

    Modules take a few milliseconds each. A thread for the import would do the
    same, but a process was seen to crash while one imported and one forwarded.
    """

    __slots__ = ('core',)

    def __init__(
        self,
        *,
        core: PacketCore,
    ) -> None:
        """Take all fields."""
        self.core = core

    def find_spec(self, *_: object) -> None:
        """Forward packets, and leave the module to the other finders."""
        self.core.drain(time.monotonic())


def run_initial_read(reading: InitialRead) -> None:
    """Read the store, for as long as it goes on answering."""
    latest = time.monotonic() + LONGEST_SECONDS
    while not reading.ended:
        now = time.monotonic()
        if now >= min(reading.heard_at + SILENCE_SECONDS, latest):
            logger.warning('first reading given up')
            break
        wanted = [reading.plain]
        select.select(wanted, wanted if reading.out else [], [], LOOK_SECONDS)
        reading.proceed()
    reading.end()


def import_while_serving(name: str, core: PacketCore) -> ModuleType:
    """Import a module; packets are forwarded if it is known where to."""
    if not core.progress.is_synced:
        # Packets wait in their socket until the program has read the store.
        return importlib.import_module(name)
    finder = DrainBetweenImports(core=core)
    sys.meta_path.insert(0, finder)
    try:
        return importlib.import_module(name)
    finally:
        sys.meta_path.remove(finder)
