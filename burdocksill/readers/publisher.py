"""Tell other nodes what this one knows of the store."""

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

# Who has asked is told of changes for this long: until the next ask, and a
# while longer in case that is lost.
SUBSCRIBED_SECONDS: Final = 4.0
# Three readers at the most serve the nodes of the largest domain.
MOST_SUBSCRIBERS: Final = 1024

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class Subscriber:
    """Hold what a node that asked knows, and until when to tell it more."""

    token: int
    revision: int
    expires_at: float


@attrs.define(kw_only=True, eq=False, repr=False)
class Publisher:
    """Answer asks, and send changes to whoever has asked lately."""

    store_cache: StoreCache
    log: ChangeLog
    clock: Clock
    send: Sender
    subscribers: dict[Address, Subscriber] = attrs.field(factory=dict)

    def answer(self, ask: UpdateRequest, sender: Address) -> None:
        """Tell a node what it lacks, and go on telling it for a while."""
        now = self.clock()
        if len(self.subscribers) >= MOST_SUBSCRIBERS:
            self.forget(now)
        subscriber = Subscriber(
            token=ask.token,
            revision=ask.revision,
            expires_at=now + SUBSCRIBED_SECONDS,
        )
        self.tell(sender, subscriber, self.pack(ask.revision))
        if len(self.subscribers) < MOST_SUBSCRIBERS:
            self.subscribers[sender] = subscriber

    def publish(self, after: int, found: Snapshot) -> None:
        """Keep changes that were just learned, and pass them on."""
        self.log.add(after, found)
        if not found.values:
            return
        self.forget(self.clock())
        packed: dict[int, bytes | None] = {}
        for address, subscriber in self.subscribers.items():
            known = subscriber.revision
            if known not in packed:
                packed[known] = self.pack(known)
            self.tell(address, subscriber, packed[known])

    def forget(self, now: float) -> None:
        """Drop nodes that have not asked for a while."""
        ended = [
            address
            for address, subscriber in self.subscribers.items()
            if subscriber.expires_at < now
        ]
        for address in ended:
            del self.subscribers[address]

    def pack(self, revision: int) -> bytes | None:
        """Pack the changes after a revision, None if they can't be told."""
        changes: tuple[StoredValue, ...] | None = self.log.since(revision)
        return None if changes is None else encode_changes(changes)

    def tell(
        self,
        address: Address,
        subscriber: Subscriber,
        body: bytes | None,
    ) -> None:
        """Send an update."""
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
