"""The stand-in platform's store, in memory."""

import math
from collections.abc import AsyncGenerator

import attrs
import msgspec
import trio

from burdocksill.platform import keys
from burdocksill.platform.protocols import (
    Snapshot,
    StoredValue,
    SwapResult,
    VmRecord,
)


@attrs.define(kw_only=True)
class MemoryPlatform:
    """Implement the Platform Protocol without any process or socket."""

    revision: int = 1
    current: dict[str, StoredValue] = attrs.field(factory=dict)
    history: list[StoredValue] = attrs.field(factory=list)
    changed: trio.Event = attrs.field(factory=trio.Event)
    reads: int = 0
    writes: int = 0

    def put(self, key: str, value: bytes) -> StoredValue:
        """Write without a condition, as the platform itself does."""
        self.revision += 1
        stored = StoredValue(key=key, value=value, revision=self.revision)
        self.current[key] = stored
        self.history.append(stored)
        self.changed.set()
        self.changed = trio.Event()
        return stored

    def put_vm(self, record: VmRecord) -> None:
        """Write one VM of the platform's list."""
        self.put(keys.VMS + record.name, msgspec.json.encode(record))

    def drop_vm(self, name: str) -> None:
        """Take one VM off the list, as the platform does some time later."""
        self.current.pop(keys.VMS + name, None)

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        self.reads += 1
        await trio.lowlevel.checkpoint()
        return self.current.get(key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix at one revision."""
        self.reads += 1
        await trio.lowlevel.checkpoint()
        found = tuple(
            stored
            for key, stored in sorted(self.current.items())
            if key.startswith(prefix)
        )
        return Snapshot(values=found, revision=self.revision)

    async def swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""
        self.writes += 1
        await trio.lowlevel.checkpoint()
        current = self.current.get(key)
        found = current.revision if current else 0
        if found != expected_revision:
            return SwapResult(
                accepted=False,
                revision=self.revision,
                current=current,
            )
        stored = self.put(key, value)
        return SwapResult(
            accepted=True,
            revision=stored.revision,
            current=stored,
        )

    async def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes below a prefix, oldest first, until the call ends."""
        self.reads += 1
        position = 0
        while not math.isinf(position):
            changed = self.changed
            while position < len(self.history):
                stored = self.history[position]
                position += 1
                wanted = stored.key.startswith(prefix)
                if wanted and stored.revision >= from_revision:
                    yield stored
            await changed.wait()

    async def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the list of live and leaving VMs."""
        snapshot = await self.read_prefix(keys.VMS)
        return tuple(
            msgspec.json.decode(stored.value, type=VmRecord)
            for stored in snapshot.values
        )
