"""Decide when a node offers to read the store for its failure domain."""

import logging
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
# A machine with few cores waits longer, one with as few as this or less the
# longest: a domain's reader answers all of its nodes, and a quicker one does so
# sooner.
LEAST_CORES: Final = 0.25
NO_LEASE: Final = 0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class Claim:
    """Keep whether this node reads for its domain, and when to try to."""

    itself: Reader
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
    # No offer before this time.
    retry_at: float = 0

    @property
    def holds(self) -> bool:
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
        if self.holds or self.clock() < self.retry_at:
            return False
        reader = self.entry.reader
        if reader is not None and reader.name == self.itself.name:
            return True
        if reader is not None:
            self.offer_at = 0
            return False
        now = self.clock()
        if not self.offer_at:
            self.offer_at = now + self.rng.uniform(0, self.spread())
        return now >= self.offer_at

    def spread(self) -> float:
        """Return the longest time to wait before an offer."""
        return SPREAD_SECONDS / min(max(self.cores, LEAST_CORES), 1)

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
        if self.holds and self.clock() - self.kept_at > LEASE_SECONDS:
            self.lose('the lease was not renewed in time')

    def lose(self, cause: str) -> None:
        """Take note that this node reads for nobody else any more."""
        self.lease = NO_LEASE
        self.offer_at = 0
        logger.info(
            'no longer reads for its domain',
            extra={'domain': self.domain, 'cause': cause},
        )
