"""Subscribe to a reader's changes, with the store as the fallback."""

import logging
from collections import OrderedDict
from random import Random
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.platform.revisions import era_of, show_revision
from burdocksill.platform.values import Snapshot
from burdocksill.readers.datagrams import Offer, Update, UpdateRequest
from burdocksill.readers.messages import Reader
from burdocksill.readers.protocols import ReaderRegistry, StoreCache

# A node requests updates once its data is this old. A reader's own data is
# younger, so its answer makes the node current again.
REQUEST_AGE_SECONDS: Final = 1.6
# Interval of requests that keep the subscription to pushed changes.
RESUBSCRIBE_SECONDS: Final = 2.0
# An unanswered request is repeated after this, alternately to another reader.
# It is many round-trip times. Three requests are lost before the node reads the
# store itself.
RETRY_SECONDS: Final = 0.1
# A node with older data reads the store itself, which leaves time for a slow
# call before a change must be in force.
MAX_AGE_SECONDS: Final = 2.0
# Rate at which a reader's followers read the store in its place while it
# answers them but does not reach the store. One that succeeds offers it the
# result.
FALLBACK_READS_PER_SECOND: Final = 8.0
# A reader that answered a request within this time counts as alive.
READER_TIMEOUT_SECONDS: Final = 1.0
# Retry interval while neither a reader nor the store answers.
SLOW_RETRY_SECONDS: Final = 0.5
MAX_PENDING_REQUESTS: Final = 64
TOKEN_BITS: Final = 64

logger = logging.getLogger(__name__)


@attrs.frozen
class PendingRequest:
    """Hold the target and time of a request that may still be answered."""

    address: Address
    at: float


@attrs.define(kw_only=True, eq=False, repr=False)
class Subscription:
    """Request updates from the own domain's reader, or from others."""

    name: str
    domain: str
    directory: ReaderRegistry
    store_cache: StoreCache
    clock: Clock
    rng: Random
    # True while this node is its domain's reader.
    is_reader: bool = False
    # Newest revision that a reader could not send, as its changes exceed a
    # datagram.
    oversized_revision: int = 0
    # True after an update that starts beyond the known revision.
    has_gap: bool = False
    requested_at: float = float('-inf')
    # Requests since the last answer with current data.
    attempts: int = 0
    # When the own domain's reader last answered, and its number of followers.
    reader_answered_at: float = float('-inf')
    followers: int = 0
    # When this node reads the store in its reader's place; 0: not drawn yet.
    fallback_at: float = 0
    pending_requests: OrderedDict[int, PendingRequest] = attrs.field(
        factory=OrderedDict
    )

    @property
    def must_read_store(self) -> bool:
        """Return True while changes are known that only the store can send."""
        return self.oversized_revision > self.store_cache.revision

    @property
    def should_read_store(self) -> bool:
        """Return True when this node should read the store itself."""
        return self.seconds_until_read() <= 0

    def seconds_until_read(self) -> float:
        """Return the seconds until this node may have to read the store."""
        if self.is_reader or self.must_read_store:
            return 0
        age = self.store_cache.age()
        if age <= MAX_AGE_SECONDS:
            self.fallback_at = 0
            return MAX_AGE_SECONDS - age
        return self.seconds_until_fallback()

    @property
    def is_reader_alive(self) -> bool:
        """Return True while the own domain's reader answers requests."""
        return self.clock() - self.reader_answered_at <= READER_TIMEOUT_SECONDS

    def seconds_until_fallback(self) -> float:
        """Return the seconds until this node reads in its reader's place.

        Without the random delay all nodes would call a failing store at once
        and repeatedly, and each would learn no more than the first.
        """
        if not self.is_reader_alive:
            return 0
        if not self.fallback_at:
            longest = self.followers / FALLBACK_READS_PER_SECOND
            self.fallback_at = self.clock() + self.rng.uniform(0, longest)
        return max(0, self.fallback_at - self.clock())

    def record_store_call(self) -> None:
        """Record a store call; the next one needs a new random delay."""
        self.fallback_at = 0

    def make_offer(self) -> tuple[Reader, Offer] | None:
        """Return an offer to the own reader after a successful store call."""
        entry = self.directory.readers.get(self.domain)
        reader = None if entry is None else entry.reader
        if self.is_reader or reader is None or not self.is_reader_alive:
            return None
        offer = Offer(
            revision=self.store_cache.revision,
            age=self.store_cache.age(),
        )
        return reader, offer

    def accepts(self, offer: Offer) -> bool:
        """Return True if an offer is newer than this reader's outdated data."""
        age = self.store_cache.age()
        return self.is_reader and age > MAX_AGE_SECONDS and offer.age < age

    def seconds_until_request(self) -> float:
        """Return the seconds until the next update request."""
        since = self.clock() - self.requested_at
        if self.has_gap:
            return 0
        age = self.store_cache.age()
        if self.is_reader and age < MAX_AGE_SECONDS:
            # A reader requests updates only while it does not reach the store.
            return MAX_AGE_SECONDS - age
        if age >= REQUEST_AGE_SECONDS:
            gap = SLOW_RETRY_SECONDS if age > MAX_AGE_SECONDS else RETRY_SECONDS
            return max(0, gap - since)
        return max(
            0, min(REQUEST_AGE_SECONDS - age, RESUBSCRIBE_SECONDS - since)
        )

    def next_request(self) -> tuple[Reader, UpdateRequest] | None:
        """Return a reader and a request for it, None without a known reader."""
        reader = self.choose_reader()
        if reader is None or not self.store_cache.revision:
            return None
        return reader, self.make_request(reader.address)

    def make_request(self, address: Address) -> UpdateRequest:
        """Return a new request to an address and remember its token."""
        now = self.clock()
        request = UpdateRequest(
            token=self.rng.getrandbits(TOKEN_BITS),
            revision=self.store_cache.revision,
        )
        self.pending_requests[request.token] = PendingRequest(address, now)
        if len(self.pending_requests) > MAX_PENDING_REQUESTS:
            self.pending_requests.popitem(last=False)
        self.requested_at = now
        self.has_gap = False
        self.attempts += 1
        return request

    def choose_reader(self) -> Reader | None:
        """Return the own domain's reader, every second time another on retries.

        In a partition between domains each keeps its own reader. A reader that
        is stopped or frozen delays no update.
        """
        own = None
        others: list[Reader] = []
        for domain, entry in self.directory.readers.items():
            reader = entry.reader
            if reader is None or reader.name == self.name:
                continue
            if domain == self.domain:
                own = reader
            else:
                others.append(reader)
        if own is not None and (self.attempts % 2 == 0 or not others):
            return own
        return self.rng.choice(others) if others else None

    def handle_update(self, update: Update, sender: Address) -> bool:
        """Apply an update; return False if it was not requested."""
        pending = self.pending_requests.get(update.token)
        if pending is None or pending.address != sender:
            return False
        self.record_reader_answer(update, sender)
        if update.changes is None:
            self.record_oversized(update, sender)
            return True
        if not self.continues(update):
            self.has_gap = True
            return True
        found = Snapshot(values=update.changes, revision=update.revision)
        self.store_cache.apply_peer_changes(
            found,
            age=update.age,
            stable=update.stable,
        )
        if update.age <= REQUEST_AGE_SECONDS:
            self.attempts = 0
        return True

    def continues(self, update: Update) -> bool:
        """Return True if an update has all changes since the known revision.

        One across a restore shows it as differences to the state from which it
        begins, which are incomplete for a node that knows any other state.
        """
        known = self.store_cache.revision
        if update.revision <= known:
            return True
        if era_of(update.after) < era_of(update.revision):
            return update.after == known
        return update.after <= known

    def record_reader_answer(self, update: Update, sender: Address) -> None:
        """Record an answer of the own domain's reader."""
        entry = self.directory.readers.get(self.domain)
        reader = None if entry is None else entry.reader
        if reader is not None and reader.address == sender:
            self.reader_answered_at = self.clock()
            self.followers = update.followers

    def record_oversized(self, update: Update, sender: Address) -> None:
        """Record changes that exceed a datagram: the store has to be read."""
        self.oversized_revision = max(self.oversized_revision, update.revision)
        if self.must_read_store:
            logger.info(
                'changes left to the store',
                extra={
                    'revision': show_revision(self.store_cache.revision),
                    'newest': show_revision(update.revision),
                    'reader': str(sender),
                },
            )
