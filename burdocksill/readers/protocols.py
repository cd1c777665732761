"""Interfaces that the readers need of other packages."""

from typing import Protocol

from burdocksill.network.addresses import Address
from burdocksill.platform.protocols import SwapResult
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers.load_messages import LoadSummary, UpstreamLoad
from burdocksill.readers.messages import Observation, Reader, ReaderEntry


class StoreCache(Protocol):
    """Hold a local copy of the store, and apply changes to it."""

    @property
    def revision(self) -> int:
        """Return the revision of the copy; 0 before the first read."""

    @property
    def healthy_seconds(self) -> float:
        """Return the seconds since the store's last failure, below 0 in one."""

    def age(self) -> float:
        """Return the seconds since the copy was known to be current."""

    def apply_peer_changes(
        self,
        found: Snapshot,
        *,
        age: float,
        stable: float,
    ) -> None:
        """Apply changes that another node has sent."""


class ReaderRegistry(Protocol):
    """Hold the reader of each failure domain."""

    @property
    def readers(self) -> dict[str, ReaderEntry]:
        """Return the entries by failure domain."""

    def apply_reader(self, entry: ReaderEntry) -> None:
        """Set the entry of a failure domain."""


class ObservationSink(Protocol):
    """Collect observations of openings on upstreams."""

    def pop_unsent(self) -> list[Observation]:
        """Return the local observations that were not sent yet, each once."""

    def merge(self, observation: Observation, now: float) -> bool:
        """Merge a remote observation; return False if it is not new."""


class DomainRole(Protocol):
    """Tell which node reads the store for the own failure domain."""

    @property
    def reader(self) -> Reader | None:
        """Return the reader of the own failure domain."""

    @property
    def is_reader(self) -> bool:
        """Return True when this node is its domain's reader."""


class LoadSink(Protocol):
    """Tell the load that this node sees, and hold the shared load."""

    def collect(self, now: float) -> tuple[list[UpstreamLoad], dict[int, int]]:
        """Return loads of the own domain's upstreams, and sums of services."""

    def group_slots(self) -> dict[int, tuple[str, int]]:
        """Return domain and slots of each service in each domain."""

    def record_reported(self, now: float) -> None:
        """Record that the reader was told what `collect` returned."""

    def apply(self, summary: LoadSummary, delay: float, now: float) -> bool:
        """Apply a summary of the reader; return False if it does not count."""

    def log_change(self, now: float) -> None:
        """Log whether the shared load has become known or unknown."""


class LeaseStore(Protocol):
    """Write keys that are removed when the lease of their writer ends."""

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease and return its id."""

    async def keep_lease_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""

    async def read(
        self,
        key: str,
        *,
        stale: bool = False,
    ) -> StoredValue | None:
        """Return a value; a stale read is cheaper and may be seconds old."""

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
        """Send without waiting; return False if it was dropped locally."""
