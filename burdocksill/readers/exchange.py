"""The tasks that talk to other nodes about the store."""

import logging
from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.protocols import DatagramSocket
from burdocksill.observe.lines import StateLogger
from burdocksill.platform.values import StoredValue
from burdocksill.readers.datagrams import (
    Message,
    Observations,
    Offer,
    Update,
    UpdateRequest,
)
from burdocksill.readers.election import (
    LEASE_SECONDS,
    RENEW_INTERVAL_SECONDS,
    ReaderElection,
)
from burdocksill.readers.messages import ReaderEntry
from burdocksill.readers.observations import BATCH_SECONDS, ObservationExchange
from burdocksill.readers.protocols import LeaseStore
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.subscription import Subscription
from burdocksill.readers.wire import decode, encode_offer, encode_update_request

# How often a node looks whether its domain lacks a reader.
LOOK_SECONDS: Final = 0.5
# How often a node that knows no reader looks for one to ask.
NOBODY_SECONDS: Final = 0.1
# Between two looks at the time; trio's timers are later than this at times.
SHORTEST_SLEEP_SECONDS: Final = 0.02

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class SharedReadGate:
    """Call the store when no reader keeps this node's knowledge new."""

    subscription: Subscription
    woken: trio.Event = attrs.field(factory=trio.Event)
    # Called after each call that the store answered.
    on_answer: Callable[[], None] | None = None

    async def wait(self) -> None:
        """Return once this node should call."""
        while True:
            seconds = self.subscription.seconds_until_read()
            if seconds <= 0:
                return
            self.woken = trio.Event()
            pause = min(max(seconds, SHORTEST_SLEEP_SECONDS), LOOK_SECONDS)
            with trio.move_on_after(pause):
                await self.woken.wait()

    def called(self, *, answered: bool) -> None:
        """Take note of a call that this node has made."""
        self.subscription.record_store_call()
        if answered and self.on_answer is not None:
            self.on_answer()

    def wake(self) -> None:
        """Look again at once whether this node should call."""
        self.woken.set()


@attrs.define(kw_only=True, eq=False, repr=False)
class PeerExchange:
    """Ask readers and answer other nodes over one datagram socket."""

    socket: DatagramSocket
    subscription: Subscription
    publisher: Publisher
    read_gate: SharedReadGate
    observations: ObservationExchange
    # Set while there is something to tell of upstreams.
    news: trio.Event = attrs.field(factory=trio.Event)
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def receive(self) -> None:
        """Handle what other nodes send."""
        while True:
            for datagram in await self.socket.receive():
                message = decode(datagram.payload, self.observations.clock())
                if message is None:
                    logger.warning(
                        'datagram unreadable',
                        extra={'peer': str(datagram.peer)},
                    )
                else:
                    self.take(message, datagram.peer)

    def take(self, message: Message, sender: Address) -> None:
        """Handle a message of another node."""
        match message:
            case UpdateRequest():
                self.publisher.answer(message, sender)
            case Update():
                self.subscription.handle_update(message, sender)
                if self.subscription.must_read_store:
                    self.read_gate.wake()
            case Offer():
                self.take_offer(message, sender)
            case Observations():
                self.observations.take(message.observations, sender)
                if self.observations.pending:
                    self.news.set()

    def take_offer(self, offer: Offer, sender: Address) -> None:
        """Ask a follower for what this reader can't read itself."""
        if self.subscription.accepts(offer):
            self.state_logger.log_change('follower asked', follower=str(sender))
            ask = self.subscription.make_request(sender)
            self.socket.send(encode_update_request(ask), sender)

    def notify_reader(self) -> None:
        """Tell the own reader what the store has just told this node."""
        found = self.subscription.make_offer()
        if found is not None:
            reader, offer = found
            self.socket.send(encode_offer(offer), reader.address)

    async def publish_observations(self) -> None:
        """Tell what openings on upstreams met, as soon as there is any."""
        while True:
            await self.news.wait()
            self.news = trio.Event()
            self.observations.flush()
            await trio.sleep(BATCH_SECONDS)

    def schedule_observations(self) -> None:
        """Let what openings met be told."""
        self.news.set()

    async def request_updates(self) -> None:
        """Ask readers in time."""
        while True:
            pause = self.subscription.seconds_until_request()
            if pause <= 0 and not self.ask_now():
                pause = NOBODY_SECONDS
            await trio.sleep(max(pause, SHORTEST_SLEEP_SECONDS))

    def ask_now(self) -> bool:
        """Ask whoever is next; False if there is nobody to ask."""
        asked = self.subscription.next_request()
        if asked is None:
            return False
        reader, ask = asked
        self.state_logger.log_change('reader asked', reader=reader.name)
        self.socket.send(encode_update_request(ask), reader.address)
        return True


@attrs.define(kw_only=True, eq=False, repr=False)
class ElectionTask:
    """Offer this node as its domain's reader, and keep the lease if it is."""

    election: ReaderElection
    # The domain's entry in the store, and what this node writes there.
    key: str
    value: bytes
    # Reads the entry that another node has written there.
    read_entry: Callable[[StoredValue], ReaderEntry]
    store: LeaseStore
    subscription: Subscription
    read_gate: SharedReadGate
    # The store's client makes one call at a time; a stop may come in between.
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    stopped: bool = False
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def run(self) -> None:
        """Offer and renew until the node stops."""
        while True:
            await trio.sleep(self.pause())
            began = self.election.holds_lease
            try:
                async with self.lock:
                    await self.step()
            except BurdocksillError as error:
                # Nothing is lost: the lease runs on, or nobody holds one and
                # each node reads the store by itself until the next try.
                self.election.record_failure()
                self.state_logger.log_change(
                    'lease call failed',
                    level=logging.WARNING,
                    cause=str(error),
                )
            else:
                self.state_logger.log_change(
                    'lease calls answered', level=logging.DEBUG
                )
            self.election.check_expiry()
            self.subscription.is_reader = self.election.holds_lease
            if began != self.election.holds_lease:
                # Others ask the new reader at once, and it must be current.
                self.read_gate.wake()

    def pause(self) -> float:
        """Return the seconds until a lease is renewed or an offer is due."""
        if self.election.holds_lease:
            return RENEW_INTERVAL_SECONDS
        due_in = self.election.seconds_until_due()
        return min(max(due_in, SHORTEST_SLEEP_SECONDS), LOOK_SECONDS)

    async def step(self) -> None:
        """Renew the lease, or offer this node if that is due."""
        if self.stopped:
            return
        began = self.election.clock()
        if self.election.holds_lease:
            is_alive = await self.store.keep_lease_alive(self.election.lease)
            self.election.record_renewal(began, is_alive=is_alive)
        elif self.election.is_campaign_due():
            await self.offer(began)
        elif self.election.is_check_due():
            await self.is_taken()

    async def offer(self, began: float) -> None:
        """Try to become the reader.

        The condition is what was seen before the first call: by the second,
        another node's entry may have been learned, which must not be replaced.
        """
        expected = self.election.entry.revision
        if await self.is_taken():
            return
        lease = await self.store.grant_lease(LEASE_SECONDS)
        result = await self.store.compare_and_swap(
            key=self.key,
            value=self.value,
            expected_revision=expected,
            lease=lease,
        )
        self.election.record_campaign(result, lease, began)

    async def is_taken(self) -> bool:
        """Return True when another node has become the reader meanwhile.

        All nodes of a domain miss a reader at once; without this look each of
        them would begin a lease to no end.
        """
        stored = await self.store.read(self.key, stale=True)
        if stored is None:
            return False
        known_revision = self.subscription.store_cache.revision
        return self.election.adopt_reader(
            self.read_entry(stored), known_revision
        )

    async def leave(self) -> None:
        """Let another node take over at once, as this one stops."""
        self.stopped = True
        async with self.lock:
            if not self.election.holds_lease:
                return
            lease = self.election.lease
            self.election.drop_lease('this node stops')
            self.subscription.is_reader = False
            try:
                await self.store.revoke_lease(lease)
            except BurdocksillError as error:
                # The lease ends by itself within its time.
                logger.warning('lease not ended', extra={'cause': str(error)})
