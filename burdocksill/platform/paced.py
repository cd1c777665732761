"""The platform with its VM list read no faster than the store can bear."""

import math
from collections.abc import AsyncGenerator, Callable
from typing import Final

import attrs
import trio

from burdocksill.platform.protocols import (
    Platform,
    Snapshot,
    StoredValue,
    SwapResult,
    VmRecord,
)

# All VMs of a failure domain together read the list so often.
READS_PER_SECOND: Final = 2.0


@attrs.define(kw_only=True)
class PacedPlatform:
    """Answer with the last list while a new read is not due.

    The store counts each call, and every VM would like to know of leaving
    upstreams soon. With this the calls grow with the failure domains and not
    with the VMs; in a large domain the list is only older.
    """

    platform: Platform
    readers: Callable[[], int]
    listed: tuple[VmRecord, ...] = ()
    listed_at: float = -math.inf

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the lagging list of live and leaving VMs."""
        now = trio.current_time()
        if now - self.listed_at < self.readers() / READS_PER_SECOND:
            await trio.lowlevel.checkpoint()
            return self.listed
        self.listed_at = now
        self.listed = await self.platform.list_vms()
        return self.listed

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        return await self.platform.read(key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix at one revision."""
        return await self.platform.read_prefix(prefix)

    async def swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""
        return await self.platform.swap(
            key=key,
            value=value,
            expected_revision=expected_revision,
        )

    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes below a prefix, oldest first, until the call ends."""
        return self.platform.watch(prefix=prefix, from_revision=from_revision)
