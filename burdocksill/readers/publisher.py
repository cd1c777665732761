"""Answer update requests and push changes to subscribers."""

import logging
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.datagrams import Update, UpdateRequest
from burdocksill.readers.protocols import Sender, StoreCache
from burdocksill.readers.wire import encode_changes, encode_update

# A request subscribes its sender to changes for this long: until the next
# request, with a margin in case that is lost.
SUBSCRIPTION_SECONDS: Final = 4.0
# At most three readers serve the nodes of the largest domain.
MAX_SUBSCRIBERS: Final = 1024

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class Subscriber:
    """Hold the token, known revision and expiry of a subscription."""

    token: int
    revision: int
    expires_at: float


@attrs.define(kw_only=True, eq=False, repr=False)
class Publisher:
    """Answer update requests, and push changes to recent requesters."""

    store_cache: StoreCache
    log: ChangeLog
    clock: Clock
    send: Sender
    subscribers: dict[Address, Subscriber] = attrs.field(factory=dict)

    def answer(self, request: UpdateRequest, sender: Address) -> None:
        """Send the changes after a revision, and subscribe the requester."""
        now = self.clock()
        if len(self.subscribers) >= MAX_SUBSCRIBERS:
            self.drop_expired(now)
        subscriber = Subscriber(
            token=request.token,
            revision=request.revision,
            expires_at=now + SUBSCRIPTION_SECONDS,
        )
        self.send_update(sender, subscriber, self.encode(request.revision))
        if len(self.subscribers) < MAX_SUBSCRIBERS:
            self.subscribers[sender] = subscriber

    def publish(self, after: int, found: Snapshot) -> None:
        """Add new changes to the log and push them to subscribers."""
        self.log.add(after, found)
        if not found.values:
            return
        self.drop_expired(self.clock())
        encoded: dict[int, bytes | None] = {}
        for address, subscriber in self.subscribers.items():
            known_revision = subscriber.revision
            if known_revision not in encoded:
                encoded[known_revision] = self.encode(known_revision)
            self.send_update(address, subscriber, encoded[known_revision])

    def drop_expired(self, now: float) -> None:
        """Drop expired subscriptions."""
        expired = [
            address
            for address, subscriber in self.subscribers.items()
            if subscriber.expires_at < now
        ]
        for address in expired:
            del self.subscribers[address]

    def encode(self, revision: int) -> bytes | None:
        """Encode the changes after a revision, None if they can't be sent."""
        changes: tuple[StoredValue, ...] | None = self.log.since(revision)
        return None if changes is None else encode_changes(changes)

    def send_update(
        self,
        address: Address,
        subscriber: Subscriber,
        body: bytes | None,
    ) -> None:
        """Send an update to one subscriber."""
        store_cache = self.store_cache
        update = Update(
            token=subscriber.token,
            after=subscriber.revision,
            revision=max(store_cache.revision, subscriber.revision),
            age=store_cache.age(),
            stable=store_cache.healthy_seconds,
            followers=len(self.subscribers),
        )
        self.send(encode_update(update, body), address)
        subscriber.revision = update.revision
