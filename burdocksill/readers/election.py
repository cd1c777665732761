"""Decide when a node offers to read the store for its failure domain."""

import logging
import math
from random import Random
from typing import Final

import attrs

from burdocksill.network.clock import Clock
from burdocksill.platform.protocols import SwapResult
from burdocksill.readers.messages import Reader, ReaderEntry
from burdocksill.readers.protocols import Directory

# A reader that died is replaced after this at the latest. It is as long as a
# node needs to be held to its bounds again after a disturbance.
LEASE_SECONDS: Final = 4.0
# Three renewals may fail before the lease ends.
KEEP_SECONDS: Final = 1.2
# After an offer that the store did not answer the next one waits this long, so
# that a store in trouble is not called more often than a reader calls it.
RETRY_SECONDS: Final = 1.5
# Nodes that miss a reader offer themselves at random times up to this one, so
# that most see another's offer before their own.
SPREAD_SECONDS: Final = 1.0
# Most offers come late in that time, so that the first is known by then however
# many nodes there are.
LATE_EXPONENT: Final = 1 / 3
# A machine with few cores waits longer, one with as few as this or less the
# longest: a domain's reader answers all of its nodes, and a quicker one does so
# sooner.
LEAST_CORES: Final = 0.25
NO_LEASE: Final = 0
# A node that misses a reader looks for another's offer after this, shortly
# before it would read the store by itself.
LOOK_UP_SECONDS: Final = (1.0, 1.4)

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class ReaderElection:
    """Keep whether this node reads for its domain, and when to try to."""

    local_node: Reader
    domain: str
    # Processor of this machine, in cores.
    cores: float
    directory: Directory
    clock: Clock
    rng: Random
    lease: int = NO_LEASE
    # When the lease was last known to run.
    kept_at: float = 0
    # When to offer; 0 while there is a reader.
    offer_at: float = 0
    # When to look whether another node has offered meanwhile; 0: not any more.
    look_at: float = 0
    # No offer before this time.
    retry_at: float = 0

    @property
    def holds_lease(self) -> bool:
        """Return True while this node is the reader."""
        return self.lease != NO_LEASE

    @property
    def entry(self) -> ReaderEntry:
        """Return what is known of the domain's reader."""
        vacant = ReaderEntry(domain=self.domain)
        return self.directory.readers.get(self.domain, vacant)

    def is_due(self) -> bool:
        """Return True when this node should offer itself now.

        An entry with its own name is left from its life before, or from a
        claim whose answer was lost: nobody reads by it.
        """
        if self.holds_lease or self.clock() < self.retry_at:
            return False
        reader = self.entry.reader
        if reader is not None and reader.name == self.local_node.name:
            return True
        if reader is not None:
            self.offer_at = 0
            return False
        now = self.clock()
        if not self.offer_at:
            late = self.rng.random() ** LATE_EXPONENT
            self.offer_at = now + late * self.spread()
            self.look_at = now + self.rng.uniform(*LOOK_UP_SECONDS)
        return now >= self.offer_at

    def due_in(self) -> float:
        """Return the seconds until the offer that is planned, if one is."""
        if not self.offer_at:
            return math.inf
        planned = max(self.offer_at, self.retry_at)
        if self.look_at:
            planned = min(planned, self.look_at)
        return planned - self.clock()

    def looks(self) -> bool:
        """Return True, once, when it is time to look for another's offer."""
        if not self.offer_at or not self.look_at or self.clock() < self.look_at:
            return False
        self.look_at = 0
        return True

    def spread(self) -> float:
        """Return the longest time to wait before an offer."""
        return SPREAD_SECONDS / min(max(self.cores, LEAST_CORES), 1)

    def yields_to(self, entry: ReaderEntry, known_revision: int) -> bool:
        """Return True when an entry shows a reader that this node has missed.

        One of a revision that is known already is there no more.
        """
        other = entry.reader
        if other is None or other.name == self.local_node.name:
            return False
        if entry.revision <= known_revision:
            return False
        self.offer_at = 0
        self.directory.apply_reader(entry)
        return True

    def settle(self, result: SwapResult, lease: int, began: float) -> None:
        """Take note of how an offer ended."""
        self.offer_at = 0
        if result.accepted:
            self.lease = lease
            self.kept_at = began
            logger.info('reads for its domain', extra={'domain': self.domain})
        else:
            logger.info(
                'another node reads for the domain',
                extra={'domain': self.domain, 'revision': result.revision},
            )

    def renewed(self, began: float, *, runs: bool) -> None:
        """Take note of a renewal that the store has answered."""
        if runs:
            self.kept_at = began
        else:
            self.lose('the lease has ended')

    def failed(self) -> None:
        """Take note of a call that the store did not answer."""
        self.retry_at = self.clock() + RETRY_SECONDS

    def check(self) -> None:
        """Stop to be the reader once the lease must have ended."""
        if self.holds_lease and self.clock() - self.kept_at > LEASE_SECONDS:
            self.lose('the lease was not renewed in time')

    def lose(self, cause: str) -> None:
        """Take note that this node reads for nobody else any more."""
        self.lease = NO_LEASE
        self.offer_at = 0
        logger.info(
            'no longer reads for its domain',
            extra={'domain': self.domain, 'cause': cause},
        )
