"""Interface of the platform service."""

import enum
from collections.abc import AsyncGenerator
from typing import Protocol

import attrs

from burdocksill.platform.values import Snapshot, StoredValue


@attrs.frozen(kw_only=True)
class SwapResult:
    """Outcome of a compare-and-swap, with the value that is stored now."""

    accepted: bool
    revision: int
    current: StoredValue | None


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which lags behind."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class VmRecord:
    """A VM as shown in the platform's list, which lags behind."""

    name: str
    domain: str
    role: str
    host: str
    state: VmState = VmState.LIVE
    caller_port: int = 0
    peer_port: int = 0
    admin_port: int = 0


class Platform(Protocol):
    """Read, write and watch keys; every call may raise BurdocksillError."""

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values with a prefix, at one revision."""

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
        """Yield changes of keys with a prefix, oldest first."""

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the live and leaving VMs; the list lags behind."""
