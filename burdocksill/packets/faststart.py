"""Forward packets while the rest of the program is still being imported.

After a power failure all nodes start at once, and no flow is served until one
of them is ready. The packet path needs only a small part of the standard
library, so it is imported first and the store is read. The other libraries,
which take several times as long, are imported between packets.
"""

from __future__ import annotations

import importlib
import select
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
from burdocksill.platform.early_read import FirstPageRequest
from burdocksill.platform.values import Snapshot

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

READ_BYTES: Final = 65536
# Interval at which the loop checks the time-outs below.
CHECK_INTERVAL_SECONDS: Final = 0.02
# Time-out without a received byte, above the duration of one slow answer. It
# does not bound the whole read: a long list has many pages and takes seconds
# over a slow link that all nodes use at once. A read that is given up starts
# again from the first page, on every node, over the same link.
IDLE_TIMEOUT_SECONDS: Final = 0.4
# Bound on the whole read; the main program reads the store again.
TOTAL_TIMEOUT_SECONDS: Final = 10.0
OK: Final = 200

logger = EarlyLogger(__name__)
Pages = Generator[str, HttpReply, Snapshot]


class InitialRead:
    """Read the store once over a non-blocking socket.

    After a failure the main program reads the store again.
    """

    __slots__ = (
        'asked_at',
        'core',
        'early_bytes',
        'exchange',
        'finished',
        'pages',
        'received_at',
        'remote',
        'sock',
        'unsent',
    )

    def __init__(
        self,
        *,
        remote: Address,
        pages: Pages,
        core: PacketCore,
        first_page: FirstPageRequest,
    ) -> None:
        """Take over the request for the first page."""
        self.remote = remote
        self.pages = pages
        self.core = core
        self.asked_at = first_page.asked_at
        # Monotonic time of the last received byte.
        self.received_at = time.monotonic()
        self.finished = False
        self.exchange = MinimalHttpExchange(remote=remote)
        next(pages)
        # Bytes that are still to be sent.
        self.unsent = first_page.unsent
        # Bytes of the answer that were received during imports.
        self.early_bytes = first_page.received
        self.sock = first_page.sock

    def proceed(self) -> None:
        """Send or receive without blocking; close after any failure."""
        try:
            self.send_or_receive()
        except BlockingIOError:
            return
        except (OSError, BurdocksillError) as error:
            logger.warning('initial read failed', extra={'cause': repr(error)})
            self.finish()

    def send_or_receive(self) -> None:
        """Send unsent bytes, else receive and handle an answer."""
        if self.unsent:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
            return
        received = self.early_bytes or self.sock.recv(READ_BYTES)
        self.early_bytes = b''
        self.received_at = time.monotonic()
        reply = self.exchange.receive(received)
        if reply is None:
            return
        if reply.status != OK:
            raise ConnectionResetError(f'the store answered {reply.status}')
        self.handle_reply(reply)

    def handle_reply(self, reply: HttpReply) -> None:
        """Request the next page, or apply the complete list."""
        try:
            target = self.pages.send(reply)
        except StopIteration as done:
            self.core.store_cache.apply_snapshot(done.value, self.asked_at)
            self.finish()
        else:
            self.unsent = self.exchange.request(target)

    def finish(self) -> None:
        """Close the connection."""
        self.finished = True
        self.sock.close()


class DrainBetweenImports:
    """Meta path finder that forwards waiting packets before each import.

    A module takes a few milliseconds to import. A thread would also work, but
    a process crashed with one thread importing and another one forwarding.
    """

    __slots__ = ('core',)

    def __init__(
        self,
        *,
        core: PacketCore,
    ) -> None:
        """Store the packet path."""
        self.core = core

    def find_spec(self, *_: object) -> None:
        """Forward packets; return None, so that other finders load it."""
        self.core.drain(time.monotonic())


def run_initial_read(reading: InitialRead) -> None:
    """Read the store until it is complete or a time-out expires."""
    deadline = time.monotonic() + TOTAL_TIMEOUT_SECONDS
    if reading.early_bytes:
        reading.proceed()
    while not reading.finished:
        now = time.monotonic()
        if now >= min(reading.received_at + IDLE_TIMEOUT_SECONDS, deadline):
            logger.warning('initial read timed out')
            break
        wanted = [reading.sock]
        select.select(
            wanted, wanted if reading.unsent else [], [], CHECK_INTERVAL_SECONDS
        )
        reading.proceed()
    reading.finish()


def import_while_serving(name: str, core: PacketCore) -> ModuleType:
    """Import a module, forwarding packets if the store has been read."""
    if not core.progress.is_synced:
        # Packets wait in the socket until the program has read the store.
        return importlib.import_module(name)
    finder = DrainBetweenImports(core=core)
    sys.meta_path.insert(0, finder)
    try:
        return importlib.import_module(name)
    finally:
        sys.meta_path.remove(finder)
