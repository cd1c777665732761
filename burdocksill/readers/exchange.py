"""Tasks that exchange store changes with other nodes and elect a reader."""

import logging
from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.network.addresses import Address
from burdocksill.network.protocols import Datagram, DatagramSocket
from burdocksill.observe.lines import StateLogger
from burdocksill.packets.supervision import log_error
from burdocksill.platform.values import StoredValue
from burdocksill.readers.datagrams import (
    Message,
    Observations,
    Offer,
    SilenceNotices,
    SilenceReports,
    Update,
    UpdateRequest,
)
from burdocksill.readers.election import (
    LEASE_SECONDS,
    RENEW_INTERVAL_SECONDS,
    ReaderElection,
)
from burdocksill.readers.load_messages import LoadReport, LoadSummary
from burdocksill.readers.load_reports import LoadExchange
from burdocksill.readers.messages import ReaderEntry
from burdocksill.readers.observations import BATCH_SECONDS, ObservationExchange
from burdocksill.readers.protocols import LeaseStore
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.silence_reports import SilenceExchange
from burdocksill.readers.subscription import Subscription
from burdocksill.readers.wire import decode, encode_offer, encode_update_request

# Longest sleep between two checks of what is due.
POLL_SECONDS: Final = 0.5
# Interval at which a node without a known reader looks for one.
NO_READER_POLL_SECONDS: Final = 0.1
# Shortest sleep between two checks; trio's timers may be later than this.
MIN_SLEEP_SECONDS: Final = 0.02

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class SharedReadGate:
    """Let this node read the store while no reader keeps its data current."""

    subscription: Subscription
    wake_event: trio.Event = attrs.field(factory=trio.Event)
    # Called after each call that the store answered.
    on_answer: Callable[[], None] | None = None

    async def wait(self) -> None:
        """Return once this node should read the store."""
        while True:
            seconds = self.subscription.seconds_until_read()
            if seconds <= 0:
                return
            self.wake_event = trio.Event()
            seconds_to_sleep = min(
                max(seconds, MIN_SLEEP_SECONDS), POLL_SECONDS
            )
            with trio.move_on_after(seconds_to_sleep):
                await self.wake_event.wait()

    def called(self, *, answered: bool) -> None:
        """Record a store call of this node."""
        self.subscription.record_store_call()
        if answered and self.on_answer is not None:
            self.on_answer()

    def wake(self) -> None:
        """Check at once whether this node should read the store."""
        self.wake_event.set()


@attrs.define(kw_only=True, eq=False, repr=False)
class PeerExchange:
    """Send and answer update requests over one datagram socket."""

    socket: DatagramSocket
    subscription: Subscription
    publisher: Publisher
    read_gate: SharedReadGate
    observations: ObservationExchange
    # None where nodes do not report their load.
    loads: LoadExchange | None = None
    # None if settings don't ask for it.
    silence: SilenceExchange | None = None
    # Set while there are observations of upstreams to send.
    observations_ready: trio.Event = attrs.field(factory=trio.Event)
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def receive(self) -> None:
        """Handle datagrams of other nodes until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                with log_error('peer datagram'):
                    self.handle_datagram(datagram)

    def handle_datagram(self, datagram: Datagram) -> None:
        """Decode and handle a datagram of another node."""
        message = decode(datagram.payload, self.observations.clock())
        if message is None:
            logger.warning(
                'datagram unreadable',
                extra={'peer': str(datagram.peer)},
            )
        else:
            self.handle(message, datagram.peer)

    def handle(self, message: Message, sender: Address) -> None:
        """Handle a message of another node."""
        match message:
            case UpdateRequest():
                self.publisher.answer(message, sender)
            case Update():
                self.subscription.handle_update(message, sender)
                if self.subscription.must_read_store:
                    self.read_gate.wake()
            case Offer():
                self.handle_offer(message, sender)
            case Observations():
                self.observations.handle_observations(
                    message.observations, sender
                )
                if self.observations.pending:
                    self.observations_ready.set()
            case LoadReport() | LoadSummary():
                if self.loads is not None:
                    self.loads.handle(message, sender)
            case SilenceReports() | SilenceNotices():
                if self.silence is not None:
                    self.silence.handle(message, sender)

    def handle_offer(self, offer: Offer, sender: Address) -> None:
        """Request updates from a follower if its data is newer."""
        if self.subscription.accepts(offer):
            self.state_logger.log_change('follower asked', follower=str(sender))
            request = self.subscription.make_request(sender)
            self.socket.send(encode_update_request(request), sender)

    def notify_reader(self) -> None:
        """Offer the own reader the data that this node has just read."""
        found = self.subscription.make_offer()
        if found is not None:
            reader, offer = found
            self.socket.send(encode_offer(offer), reader.address)

    async def publish_observations(self) -> None:
        """Send observations of upstreams in batches until cancelled."""
        while True:
            await self.observations_ready.wait()
            self.observations_ready = trio.Event()
            self.observations.flush()
            if self.silence is not None:
                self.silence.flush()
            await trio.sleep(BATCH_SECONDS)

    def schedule_observations(self) -> None:
        """Have observations sent with the next batch."""
        self.observations_ready.set()

    async def request_updates(self) -> None:
        """Send update requests when they are due, until cancelled."""
        while True:
            seconds_to_sleep = self.subscription.seconds_until_request()
            if seconds_to_sleep <= 0 and not self.send_request():
                seconds_to_sleep = NO_READER_POLL_SECONDS
            await trio.sleep(max(seconds_to_sleep, MIN_SLEEP_SECONDS))

    def send_request(self) -> bool:
        """Send an update request; return False if no reader is known."""
        target = self.subscription.next_request()
        if target is None:
            return False
        reader, request = target
        self.state_logger.log_change('reader asked', reader=reader.name)
        self.socket.send(encode_update_request(request), reader.address)
        return True


@attrs.define(kw_only=True, eq=False, repr=False)
class ElectionTask:
    """Campaign for the lease of the domain's reader, and renew it."""

    election: ReaderElection
    # Key of the domain's entry in the store, and the value of this node.
    key: str
    value: bytes
    # Decodes an entry that another node has written there.
    read_entry: Callable[[StoredValue], ReaderEntry]
    store: LeaseStore
    subscription: Subscription
    read_gate: SharedReadGate
    # The store's client makes one call at a time; leave() may run meanwhile.
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    stopped: bool = False
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    async def run(self) -> None:
        """Campaign and renew the lease until cancelled."""
        while True:
            await trio.sleep(self.seconds_until_step())
            held_lease = self.election.holds_lease
            self.check_entry()
            try:
                async with self.lock:
                    await self.step()
            except BurdocksillError as error:
                # The lease stays valid, or there is none and each node reads
                # the store itself until the next attempt.
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
            if held_lease != self.election.holds_lease:
                # Others request updates of a new reader at once: be current.
                self.read_gate.wake()

    def seconds_until_step(self) -> float:
        """Return the seconds until the next renewal, campaign or check."""
        if self.election.holds_lease:
            return RENEW_INTERVAL_SECONDS
        due_in = self.election.seconds_until_due()
        return min(max(due_in, MIN_SLEEP_SECONDS), POLL_SECONDS)

    async def step(self) -> None:
        """Renew the lease, or campaign for it if that is due."""
        if self.stopped:
            return
        started_at = self.election.clock()
        if self.election.holds_lease:
            is_alive = await self.store.keep_lease_alive(self.election.lease)
            self.election.record_renewal(started_at, is_alive=is_alive)
        elif self.election.is_campaign_due():
            await self.campaign(started_at)
        elif self.election.is_check_due():
            await self.has_other_reader()

    def check_entry(self) -> None:
        """Drop the lease if the store has lost this node's entry."""
        self.election.check_entry(self.subscription.store_cache.revision)

    async def campaign(self, started_at: float) -> None:
        """Try to become the domain's reader.

        The expected revision is taken before the first call. During the calls
        another node's entry may arrive, which must not be replaced.
        """
        expected = self.election.entry.revision
        if await self.has_other_reader():
            return
        lease = await self.store.grant_lease(LEASE_SECONDS)
        result = await self.store.compare_and_swap(
            key=self.key,
            value=self.value,
            expected_revision=expected,
            lease=lease,
        )
        self.election.record_campaign(result, lease, started_at)

    async def has_other_reader(self) -> bool:
        """Return True when another node has become the reader meanwhile.

        All nodes of a domain notice a missing reader at once. Without this
        check each of them would request a lease, but only one can be elected.
        """
        stored = await self.store.read(self.key, stale=True)
        if stored is None:
            return False
        known_revision = self.subscription.store_cache.revision
        return self.election.adopt_reader(
            self.read_entry(stored), known_revision
        )

    async def leave(self) -> None:
        """Revoke the lease, so that another node is elected at once."""
        self.stopped = True
        async with self.lock:
            self.check_entry()
            if not self.election.holds_lease:
                return
            lease = self.election.lease
            self.election.drop_lease('this node stops')
            self.subscription.is_reader = False
            try:
                await self.store.revoke_lease(lease)
            except BurdocksillError as error:
                # The lease expires by itself.
                logger.warning('lease not ended', extra={'cause': str(error)})
