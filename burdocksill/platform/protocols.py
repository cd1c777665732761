"""What the fleet needs of the platform, in few methods."""

import enum
from collections.abc import AsyncGenerator
from typing import Protocol

import attrs

from burdocksill.platform.values import Snapshot, StoredValue


@attrs.frozen(kw_only=True)
class SwapResult:
    """Tell whether a compare-and-swap took effect, and what stands now."""

    accepted: bool
    revision: int
    current: StoredValue | None


class VmState(enum.StrEnum):
    """Name the states of the platform's lagging VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class VmRecord:
    """Describe one VM as the platform's lagging list shows it."""

    name: str
    domain: str
    role: str
    host: str
    state: VmState = VmState.LIVE
    caller_port: int = 0
    peer_port: int = 0
    admin_port: int = 0


class Platform(Protocol):
    """Read, swap and watch keys; every call may raise BurdocksillError."""

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix at one revision."""

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""

    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes below a prefix, oldest first, until the call ends."""

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the lagging list of live and leaving VMs."""
