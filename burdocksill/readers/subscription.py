"""Decide whom to ask for changes, and when to read the store instead."""

import logging
from collections import OrderedDict
from random import Random
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.platform.values import Snapshot
from burdocksill.readers.datagrams import Offer, Update, UpdateRequest
from burdocksill.readers.messages import Reader
from burdocksill.readers.protocols import Directory, StoreCache

# A reader's own knowledge is younger than this, so an ask at this age finds it
# fresh.
ASK_AGE_SECONDS: Final = 1.6
# Changes are told unasked as long as the node has asked lately.
RENEW_SECONDS: Final = 2.0
# An unanswered ask is repeated after this, at another reader in turn: many
# times the way there and back. Three are lost before the store is read.
REPEAT_SECONDS: Final = 0.1
# Older knowledge makes a node read the store by itself, while there is time for
# a slow call before a change must be in force.
OLD_SECONDS: Final = 2.0
# While the own reader answers but is out of touch itself, so many of its nodes
# a second read the store in its place; one that succeeds tells it.
CALLS_PER_SECOND: Final = 8.0
# A reader that answered an ask so lately is alive.
HEARD_SECONDS: Final = 1.0
# While neither a reader nor the store helps, asks are repeated this slowly.
SLOW_REPEAT_SECONDS: Final = 0.5
TOKENS_KEPT: Final = 64
TOKEN_BITS: Final = 64

logger = logging.getLogger(__name__)


@attrs.frozen
class Asked:
    """Hold an ask that may still be answered."""

    address: Address
    at: float


@attrs.define(kw_only=True, eq=False, repr=False)
class Subscription:
    """Follow the readers of the failure domains, the own one first."""

    name: str
    domain: str
    directory: Directory
    store_cache: StoreCache
    clock: Clock
    rng: Random
    # True while this node itself reads the store for its domain.
    is_reader: bool = False
    # The latest revision of which a reader said that its changes are more than
    # a datagram holds.
    left_to_store: int = 0
    # True when an update showed that another one was lost.
    behind: bool = False
    asked_at: float = float('-inf')
    # Asks since the last good answer.
    tries: int = 0
    # When the own domain's reader last answered, and how many nodes ask it.
    heard_at: float = float('-inf')
    followers: int = 0
    # When it is this node's turn to read the store for them; 0: not drawn.
    turn_at: float = 0
    asked: OrderedDict[int, Asked] = attrs.field(factory=OrderedDict)

    @property
    def must_read(self) -> bool:
        """Return True while changes are known that only the store tells."""
        return self.left_to_store > self.store_cache.revision

    @property
    def must_call(self) -> bool:
        """Return True when this node should read the store itself."""
        return self.calls_in() <= 0

    def calls_in(self) -> float:
        """Return the seconds until that may be so, 0 if it is."""
        if self.is_reader or self.must_read:
            return 0
        age = self.store_cache.age()
        if age <= OLD_SECONDS:
            self.turn_at = 0
            return OLD_SECONDS - age
        return self.turn_in()

    @property
    def hears_reader(self) -> bool:
        """Return True while the own domain's reader answers asks."""
        return self.clock() - self.heard_at <= HEARD_SECONDS

    def turn_in(self) -> float:
        """Return the seconds until this node reads in its reader's place.

        A store in trouble would be called by all nodes at once, again and
        again, and each of them would learn no more than the first.
        """
        if not self.hears_reader:
            return 0
        if not self.turn_at:
            longest = self.followers / CALLS_PER_SECOND
            self.turn_at = self.clock() + self.rng.uniform(0, longest)
        return max(0, self.turn_at - self.clock())

    def called(self) -> None:
        """Take note of a call, after which it is the turn of others."""
        self.turn_at = 0

    def offer(self) -> tuple[Reader, Offer] | None:
        """Return what to tell the own reader after a call that succeeded."""
        entry = self.directory.readers.get(self.domain)
        reader = None if entry is None else entry.reader
        if self.is_reader or reader is None or not self.hears_reader:
            return None
        offer = Offer(
            revision=self.store_cache.revision,
            age=self.store_cache.age(),
        )
        return reader, offer

    def wants(self, offer: Offer) -> bool:
        """Return True when a follower knows what this reader can't read."""
        age = self.store_cache.age()
        return self.is_reader and age > OLD_SECONDS and offer.age < age

    def asks_in(self) -> float:
        """Return the seconds until another node should be asked."""
        since = self.clock() - self.asked_at
        if self.behind:
            return 0
        age = self.store_cache.age()
        if self.is_reader and age < OLD_SECONDS:
            # The store tells; others are asked only when it can't be reached.
            return OLD_SECONDS - age
        if age >= ASK_AGE_SECONDS:
            gap = SLOW_REPEAT_SECONDS if age > OLD_SECONDS else REPEAT_SECONDS
            return max(0, gap - since)
        return max(0, min(ASK_AGE_SECONDS - age, RENEW_SECONDS - since))

    def next_ask(self) -> tuple[Reader, UpdateRequest] | None:
        """Return whom to ask what now, None if nobody can be asked."""
        reader = self.choose()
        if reader is None or not self.store_cache.revision:
            return None
        return reader, self.ask_of(reader.address)

    def ask_of(self, address: Address) -> UpdateRequest:
        """Return an ask that a node may answer."""
        now = self.clock()
        ask = UpdateRequest(
            token=self.rng.getrandbits(TOKEN_BITS),
            revision=self.store_cache.revision,
        )
        self.asked[ask.token] = Asked(address, now)
        if len(self.asked) > TOKENS_KEPT:
            self.asked.popitem(last=False)
        self.asked_at = now
        self.behind = False
        self.tries += 1
        return ask

    def choose(self) -> Reader | None:
        """Return the own domain's reader, and others in turn if it is silent.

        A cut between the domains leaves each with its own; a reader that is
        stopped or frozen is not waited for.
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
        if own is not None and (self.tries % 2 == 0 or not others):
            return own
        return self.rng.choice(others) if others else None

    def take(self, update: Update, sender: Address) -> bool:
        """Learn from an update; False for one that was not asked for."""
        asked = self.asked.get(update.token)
        if asked is None or asked.address != sender:
            return False
        self.hear(update, sender)
        if update.changes is None:
            self.leave_to_store(update, sender)
            return True
        if update.after > self.store_cache.revision:
            self.behind = True
            return True
        found = Snapshot(values=update.changes, revision=update.revision)
        self.store_cache.apply_peer_changes(
            found,
            age=update.age,
            stable=update.stable,
        )
        if update.age <= ASK_AGE_SECONDS:
            self.tries = 0
        return True

    def hear(self, update: Update, sender: Address) -> None:
        """Take note that the own domain's reader is there."""
        entry = self.directory.readers.get(self.domain)
        reader = None if entry is None else entry.reader
        if reader is not None and reader.address == sender:
            self.heard_at = self.clock()
            self.followers = update.followers

    def leave_to_store(self, update: Update, sender: Address) -> None:
        """Take note of changes that a reader could not put into a datagram."""
        self.left_to_store = max(self.left_to_store, update.revision)
        if self.must_read:
            logger.info(
                'changes left to the store',
                extra={
                    'revision': self.store_cache.revision,
                    'newest': update.revision,
                    'reader': str(sender),
                },
            )
