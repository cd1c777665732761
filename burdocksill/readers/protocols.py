"""What the sharing of the store's content needs of the rest."""

from typing import Protocol

from burdocksill.network.addresses import Address
from burdocksill.platform.protocols import SwapResult
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers.messages import Observation, ReaderEntry


class StoreCache(Protocol):
    """Hold what is known of the store, and take in more."""

    @property
    def revision(self) -> int:
        """Return the revision up to which all is known; 0: nothing is."""

    @property
    def healthy_seconds(self) -> float:
        """Return for how long the store was fine, below 0 in trouble."""

    def age(self) -> float:
        """Return the seconds since the knowledge was known to be current."""

    def apply_peer_changes(
        self,
        found: Snapshot,
        *,
        age: float,
        stable: float,
    ) -> None:
        """Put changes that another node has told into force."""


class Directory(Protocol):
    """Tell who reads for which failure domain."""

    @property
    def readers(self) -> dict[str, ReaderEntry]:
        """Return the entries by failure domain."""

    def apply_reader(self, entry: ReaderEntry) -> None:
        """Take note of who reads for a failure domain."""


class ObservationSink(Protocol):
    """Hold what openings on upstreams met."""

    def pop_unsent(self) -> list[Observation]:
        """Return the own observations that nobody was told of yet."""

    def merge(self, observation: Observation, now: float) -> bool:
        """Take in what another node saw; return False for no news."""


class LeaseStore(Protocol):
    """Register a key that goes away when its writer does."""

    async def grant_lease(self, seconds: float) -> int:
        """Begin a lease and return its number."""

    async def keep_lease_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has ended."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, and remove its keys."""

    async def read(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> StoredValue | None:
        """Return a value; a stale one may be seconds old, and costs less."""

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int = 0,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""


class Sender(Protocol):
    """Send a datagram to another node, or drop it."""

    def __call__(self, payload: bytes, peer: Address) -> bool:
        """Send without waiting; return False when it was dropped here."""
