"""Serve packets while the rest of the program is still being imported.

After a loss of power every node starts at once, and no flow is served until
the first has. Importing the libraries of the whole program takes a node with
a quarter of a core 0.9 s; deciding about packets needs two thirds of that. So
the store is read first, and the rest is imported between packets.
"""

import importlib
import logging
import select
import socket
import sys
import time
from collections.abc import Generator
from types import ModuleType
from typing import Final

import attrs
import h11

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.exchange import HttpExchange, HttpReply
from burdocksill.packets.core import PacketCore
from burdocksill.platform.protocols import Snapshot

READ_BYTES: Final = 65536
# How often the loop looks whether the time for the reading is up.
LOOK_SECONDS: Final = 0.02
# The store answers in 4 ms, and in 0.24 s when it is slow. This is the longest
# time without a byte of it: a list of 3,000 upstreams comes in seven pages, and
# takes seconds over a link of 10 Mbit/s that all nodes load at once. Given up
# half-way, it is read again from its first page, by everyone, over that link.
SILENCE_SECONDS: Final = 0.4
# Whatever trickles in, the program proper is there to try again.
LONGEST_SECONDS: Final = 10.0
OK: Final = 200

logger = logging.getLogger(__name__)
Pages = Generator[str, HttpReply, Snapshot]


@attrs.define(kw_only=True, eq=False, repr=False)
class FirstReading:
    """Read the store once over a plain socket that is never waited for.

    What fails here is left to the program proper, which tries again.
    """

    remote: Address
    pages: Pages
    core: PacketCore
    asked_at: float
    plain: socket.socket = attrs.field(init=False)
    exchange: HttpExchange = attrs.field(init=False)
    # What is still to be sent.
    out: bytes = b''
    # When the store was last heard, by the monotonic clock.
    heard_at: float = attrs.field(factory=time.monotonic)
    ended: bool = False

    def __attrs_post_init__(self) -> None:
        """Start to connect."""
        self.exchange = HttpExchange(remote=self.remote)
        self.out = self.exchange.request('GET', next(self.pages))
        self.plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.plain.setblocking(False)
        self.plain.connect_ex((self.remote.host, self.remote.port))

    def proceed(self) -> None:
        """Send or receive what is possible now; end after any failure."""
        try:
            self.send_or_receive()
        except BlockingIOError:
            return
        except (OSError, h11.ProtocolError, BurdocksillError) as error:
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
        if reply.status != OK or not self.exchange.next_round():
            raise ConnectionResetError(f'the store answered {reply.status}')
        self.take(reply)

    def take(self, reply: HttpReply) -> None:
        """Ask for the next page, or put what was read into force."""
        try:
            target = self.pages.send(reply)
        except StopIteration as done:
            self.core.knowledge.take_all(done.value, self.asked_at)
            self.end()
        else:
            self.out = self.exchange.request('GET', target)

    def end(self) -> None:
        """Close the connection."""
        self.ended = True
        self.plain.close()


@attrs.define(kw_only=True, eq=False, repr=False)
class DrainBetweenImports:
    """Forward what has arrived each time another module is looked for.

    Modules take a few milliseconds each. A thread for the import would do the
    same, but a process was seen to crash while one imported and one forwarded.
    """

    core: PacketCore

    def find_spec(self, *_: object) -> None:
        """Forward packets, and leave the module to the other finders."""
        self.core.drain(time.monotonic())


def read_first(reading: FirstReading) -> None:
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
    if not core.progress.is_known:
        # Packets wait in their socket until the program has read the store.
        return importlib.import_module(name)
    finder = DrainBetweenImports(core=core)
    sys.meta_path.insert(0, finder)
    try:
        return importlib.import_module(name)
    finally:
        sys.meta_path.remove(finder)
