"""The platform as one host reaches it."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

import attrs
import trio

from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.protocols import SwapResult, VmRecord
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill_lab.fakes.network import FakeNetwork
from burdocksill_lab.stand_ins.store import MemoryPlatform

PLATFORM_HOST = 'platform'
ONE_WAY_SECONDS = 0.001


@attrs.define(kw_only=True)
class HostPlatform:
    """Fail calls while the network cuts the host off from the platform."""

    platform: MemoryPlatform
    network: FakeNetwork
    host: str

    async def reach(self) -> None:
        """Wait for the way there, or fail."""
        await trio.sleep(ONE_WAY_SECONDS)
        if not self.network.reaches(self.host, PLATFORM_HOST):
            raise PlatformUnavailableError(message='the platform is cut off')

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        await self.reach()
        return await self.platform.read(key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix at one revision."""
        await self.reach()
        return await self.platform.read_prefix(prefix)

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""
        await self.reach()
        return await self.platform.compare_and_swap(
            key=key,
            value=value,
            expected_revision=expected_revision,
        )

    async def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes below a prefix, oldest first, until the call ends."""
        await self.reach()
        changes = self.platform.watch(
            prefix=prefix,
            from_revision=from_revision,
        )
        async with aclosing(changes):
            async for change in changes:
                await self.reach()
                yield change

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the lagging list of live and leaving VMs."""
        await self.reach()
        return await self.platform.list_vms()
