"""Leader election of the node that reads the store for a failure domain."""

import logging
import math
from random import Random
from typing import Final

import attrs

from burdocksill.network.clock import Clock
from burdocksill.platform.protocols import SwapResult
from burdocksill.platform.revisions import show_revision
from burdocksill.readers.messages import Reader, ReaderEntry
from burdocksill.readers.protocols import ReaderRegistry

# Bounds the time until a dead reader is replaced. Bounds on the age of a node's
# data apply again this long after a disturbance.
LEASE_SECONDS: Final = 4.0
# Three renewals may fail before the lease expires.
RENEW_INTERVAL_SECONDS: Final = 1.2
# Delay after a campaign that the store did not answer. A failing store is then
# called no more often than by a reader.
RETRY_SECONDS: Final = 1.5
# Without a reader, nodes campaign after a random delay of up to this, so that
# most see another candidate's entry before they campaign themselves.
CAMPAIGN_DELAY_SECONDS: Final = 1.0
# Skews the delay towards its maximum, so that the first campaign is known
# before most others start, whatever the number of nodes.
DELAY_EXPONENT: Final = 1 / 3
# Between this number of cores and 1, the delay is inversely proportional to
# them: a reader answers all nodes of its domain, and fast machines do so
# sooner.
MIN_CORES: Final = 0.25
NO_LEASE: Final = 0
# Delay after which a node without a reader checks the store for the entry of
# another candidate, shortly before it would read the store itself.
CHECK_DELAY_SECONDS: Final = (1.0, 1.4)

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class ReaderElection:
    """Hold the lease of a domain's reader and the time of the next campaign."""

    local_node: Reader
    domain: str
    # CPU capacity of this machine, in cores.
    cores: float
    directory: ReaderRegistry
    clock: Clock
    rng: Random
    lease: int = NO_LEASE
    # Revision of this node's entry while it holds the lease.
    elected_revision: int = 0
    # Start of the last call that granted or renewed the lease.
    renewed_at: float = 0
    # Time of the next campaign; 0 if none is due_at.
    campaign_at: float = 0
    # When to check for the entry of another candidate; 0 if already done.
    check_at: float = 0
    # No campaign before this time.
    retry_at: float = 0

    @property
    def holds_lease(self) -> bool:
        """Return True while this node is the domain's reader."""
        return self.lease != NO_LEASE

    @property
    def entry(self) -> ReaderEntry:
        """Return the known registry entry of the domain's reader."""
        vacant = ReaderEntry(domain=self.domain)
        return self.directory.readers.get(self.domain, vacant)

    def is_campaign_due(self) -> bool:
        """Return True when this node should campaign now.

        An entry under its own name is left from an earlier process, or from a
        campaign whose answer was lost: no node reads the store for it.
        """
        if self.holds_lease or self.clock() < self.retry_at:
            return False
        reader = self.entry.reader
        if reader is not None and reader.name == self.local_node.name:
            return True
        if reader is not None:
            self.campaign_at = 0
            return False
        now = self.clock()
        if not self.campaign_at:
            fraction = self.rng.random() ** DELAY_EXPONENT
            self.campaign_at = now + fraction * self.max_delay()
            self.check_at = now + self.rng.uniform(*CHECK_DELAY_SECONDS)
        return now >= self.campaign_at

    def seconds_until_due(self) -> float:
        """Return the seconds until the next campaign or check, or infinity."""
        if not self.campaign_at:
            return math.inf
        due_at = max(self.campaign_at, self.retry_at)
        if self.check_at:
            due_at = min(due_at, self.check_at)
        return due_at - self.clock()

    def is_check_due(self) -> bool:
        """Return True once when the check for another candidate is due."""
        if (
            not self.campaign_at
            or not self.check_at
            or self.clock() < self.check_at
        ):
            return False
        self.check_at = 0
        return True

    def max_delay(self) -> float:
        """Return the maximum delay before a campaign, in seconds."""
        return CAMPAIGN_DELAY_SECONDS / min(max(self.cores, MIN_CORES), 1)

    def adopt_reader(self, entry: ReaderEntry, known_revision: int) -> bool:
        """Adopt a reader from a newer entry; return True if there is one.

        An entry of a revision that is already known has since been removed.
        """
        elected = entry.reader
        if elected is None or elected.name == self.local_node.name:
            return False
        if entry.revision <= known_revision:
            return False
        self.campaign_at = 0
        self.directory.apply_reader(entry)
        return True

    def record_campaign(
        self, result: SwapResult, lease: int, started_at: float
    ) -> None:
        """Record the result of a campaign."""
        self.campaign_at = 0
        if result.accepted:
            self.lease = lease
            self.elected_revision = result.revision
            self.renewed_at = started_at
            logger.info('reads for its domain', extra={'domain': self.domain})
        else:
            logger.info(
                'another node reads for the domain',
                extra={
                    'domain': self.domain,
                    'revision': show_revision(result.revision),
                },
            )

    def record_renewal(self, started_at: float, *, is_alive: bool) -> None:
        """Record a renewal that the store has answered."""
        if is_alive:
            self.renewed_at = started_at
        else:
            self.drop_lease('the lease has expired')

    def record_failure(self) -> None:
        """Record a call that the store did not answer."""
        self.retry_at = self.clock() + RETRY_SECONDS

    def check_expiry(self) -> None:
        """Drop the lease once it must have expired."""
        if self.holds_lease and self.clock() - self.renewed_at > LEASE_SECONDS:
            self.drop_lease('the lease was not renewed in time')

    def check_entry(self, known_revision: int) -> None:
        """Drop the lease if the registry has no entry of this node any more.

        A restore of the store may lose an election and give the lease's number
        to another node. Renewals would then succeed, and the domain would have
        two readers. A lost election is repeated at once.
        """
        if not self.holds_lease or known_revision < self.elected_revision:
            return
        reader = self.entry.reader
        if reader is None or reader.name != self.local_node.name:
            self.drop_lease('its entry was lost')
            self.campaign_at = self.clock()

    def drop_lease(self, cause: str) -> None:
        """Stop reading the store for the domain."""
        self.lease = NO_LEASE
        self.campaign_at = 0
        logger.info(
            'no longer reads for its domain',
            extra={'domain': self.domain, 'cause': cause},
        )
