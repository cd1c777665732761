"""The tasks that talk to other nodes about the store."""

import logging
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.protocols import DatagramSocket
from burdocksill.observe.lines import StateLine
from burdocksill.readers.claims import KEEP_SECONDS, LEASE_SECONDS, Claim
from burdocksill.readers.datagrams import Ask, Signs, Update
from burdocksill.readers.protocols import LeaseStore
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.signs import GATHER_SECONDS, SignExchange
from burdocksill.readers.subscription import Subscription
from burdocksill.readers.wire import decode, encode_ask

# How often a node looks whether its domain lacks a reader.
LOOK_SECONDS: Final = 0.5
# Between two looks at the time; trio's timers are later than this at times.
SHORTEST_SLEEP_SECONDS: Final = 0.02

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class SharedTurn:
    """Call the store when no reader keeps this node's knowledge new."""

    subscription: Subscription
    woken: trio.Event = attrs.field(factory=trio.Event)

    async def wait(self) -> None:
        """Return once this node should call."""
        while True:
            seconds = self.subscription.calls_in()
            if seconds <= 0:
                return
            self.woken = trio.Event()
            with trio.move_on_after(max(seconds, SHORTEST_SLEEP_SECONDS)):
                await self.woken.wait()

    def wake(self) -> None:
        """Look again at once whether this node should call."""
        self.woken.set()


@attrs.define(kw_only=True, eq=False, repr=False)
class PeerExchange:
    """Ask readers and answer other nodes over one datagram socket."""

    socket: DatagramSocket
    subscription: Subscription
    publisher: Publisher
    turn: SharedTurn
    signs: SignExchange
    # Set while there is something to tell of upstreams.
    news: trio.Event = attrs.field(factory=trio.Event)
    line: StateLine = attrs.field(factory=lambda: StateLine(logger=logger))

    async def receive(self) -> None:
        """Handle what other nodes send."""
        while True:
            for datagram in await self.socket.receive():
                message = decode(datagram.payload, self.signs.clock())
                if message is None:
                    logger.warning(
                        'datagram unreadable',
                        extra={'peer': str(datagram.peer)},
                    )
                else:
                    self.take(message, datagram.peer)

    def take(self, message: Ask | Update | Signs, sender: Address) -> None:
        """Handle a message of another node."""
        if isinstance(message, Ask):
            self.publisher.answer(message, sender)
        elif isinstance(message, Signs):
            self.signs.take(message.signs, sender)
            if self.signs.waiting:
                self.news.set()
        else:
            self.subscription.take(message, sender)
            if self.subscription.must_read:
                self.turn.wake()

    async def tell_signs(self) -> None:
        """Tell what openings on upstreams met, as soon as there is any."""
        while True:
            await self.news.wait()
            self.news = trio.Event()
            self.signs.tell()
            await trio.sleep(GATHER_SECONDS)

    def has_news(self) -> None:
        """Let what openings met be told."""
        self.news.set()

    async def ask(self) -> None:
        """Ask readers in time."""
        while True:
            pause = self.subscription.asks_in()
            if pause <= 0 and not self.ask_now():
                pause = LOOK_SECONDS
            await trio.sleep(max(pause, SHORTEST_SLEEP_SECONDS))

    def ask_now(self) -> bool:
        """Ask whoever is next; False if there is nobody to ask."""
        asked = self.subscription.next_ask()
        if asked is None:
            return False
        reader, ask = asked
        self.line.enter('reader asked', reader=reader.name)
        self.socket.send(encode_ask(ask), reader.address)
        return True


@attrs.define(kw_only=True, eq=False, repr=False)
class Candidate:
    """Offer this node as its domain's reader, and keep the lease if it is."""

    claim: Claim
    # The domain's entry in the store, and what this node writes there.
    key: str
    value: bytes
    store: LeaseStore
    subscription: Subscription
    # The store's client makes one call at a time; a stop may come in between.
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    stopped: bool = False
    line: StateLine = attrs.field(factory=lambda: StateLine(logger=logger))

    async def run(self) -> None:
        """Offer and renew until the node stops."""
        while True:
            await trio.sleep(KEEP_SECONDS if self.claim.holds else LOOK_SECONDS)
            try:
                async with self.lock:
                    await self.step()
            except BurdocksillError as error:
                # Nothing is lost: the lease runs on, or nobody holds one and
                # each node reads the store by itself until the next try.
                self.claim.failed()
                self.line.enter(
                    'lease call failed',
                    level=logging.WARNING,
                    cause=str(error),
                )
            else:
                self.line.enter('lease calls answered', level=logging.DEBUG)
            self.claim.check()
            self.subscription.reads = self.claim.holds

    async def step(self) -> None:
        """Renew the lease, or offer this node if that is due."""
        if self.stopped:
            return
        began = self.claim.clock()
        if self.claim.holds:
            runs = await self.store.keep(self.claim.lease)
            self.claim.renewed(began, runs=runs)
        elif self.claim.is_due():
            await self.offer(began)

    async def offer(self, began: float) -> None:
        """Try to become the reader.

        The condition is what was seen before the first call: by the second,
        another node's entry may have been learned, which must not be replaced.
        """
        expected = self.claim.entry.revision
        lease = await self.store.grant(LEASE_SECONDS)
        result = await self.store.swap(
            key=self.key,
            value=self.value,
            expected_revision=expected,
            lease=lease,
        )
        self.claim.settle(result, lease, began)

    async def leave(self) -> None:
        """Let another node take over at once, as this one stops."""
        self.stopped = True
        async with self.lock:
            if not self.claim.holds:
                return
            lease = self.claim.lease
            self.claim.lose('this node stops')
            self.subscription.reads = False
            try:
                await self.store.end(lease)
            except BurdocksillError as error:
                # The lease ends by itself within its time.
                logger.warning('lease not ended', extra={'cause': str(error)})
