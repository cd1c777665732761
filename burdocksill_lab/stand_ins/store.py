"""The stand-in platform's store, in memory."""

import math
from collections.abc import AsyncGenerator, Callable

import attrs
import msgspec
import trio

from burdocksill.platform import keys
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.protocols import SwapResult, VmRecord
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.platform.vms import decode_vms


@attrs.define(kw_only=True)
class StoreFaults:
    """Hold what goes wrong with the store."""

    down: bool = False
    # Each call takes so long before it is carried out.
    delay_seconds: float = 0
    # An answer to a prefix is read at once and comes so much later.
    late_answer: Callable[[], float] | None = None
    # So many writes take effect and their answers are lost.
    lost_answers: int = 0
    # Reads and the list answer from what was known at this revision.
    stale_at: int | None = None
    list_stale_at: int | None = None


@attrs.define(kw_only=True)
class MemoryPlatform:
    """Implement the Platform Protocol without any process or socket."""

    revision: int = 1
    current: dict[str, StoredValue] = attrs.field(factory=dict)
    history: list[StoredValue] = attrs.field(factory=list)
    changed: trio.Event = attrs.field(factory=trio.Event)
    reads: int = 0
    writes: int = 0
    faults: StoreFaults = attrs.field(factory=StoreFaults)

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

    async def arrive(self) -> None:
        """Take a call's time, and fail it while the store is down."""
        if self.faults.delay_seconds:
            await trio.sleep(self.faults.delay_seconds)
        await trio.lowlevel.checkpoint()
        self.require_up()

    def require_up(self) -> None:
        """Fail while the store is down."""
        if self.faults.down:
            raise PlatformUnavailableError(message='the store is down')

    def set_down(self, *, down: bool) -> None:
        """Begin or end an outage; open watches end with it."""
        self.faults.down = down
        self.changed.set()
        self.changed = trio.Event()

    def drop_vm(self, name: str) -> None:
        """Take one VM off the list, as the platform does some time later."""
        self.current.pop(keys.VMS + name, None)

    async def read(self, key: str) -> StoredValue | None:
        """Return one value, or None when the key is absent."""
        self.reads += 1
        await self.arrive()
        return self.current.get(key)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix at one revision."""
        self.reads += 1
        await self.arrive()
        snapshot = self.snapshot(prefix, self.faults.stale_at)
        if self.faults.late_answer is not None:
            await trio.sleep(self.faults.late_answer())
        return snapshot

    def snapshot(self, prefix: str, at: int | None) -> Snapshot:
        """Return what was below a prefix at a revision, now without one."""
        revision = self.revision if at is None else at
        known = self.current if at is None else self.known_at(at)
        found = {
            key: stored
            for key, stored in known.items()
            if key.startswith(prefix)
        }
        ordered = tuple(found[key] for key in sorted(found))
        return Snapshot(values=ordered, revision=revision)

    def known_at(self, revision: int) -> dict[str, StoredValue]:
        """Return what was stored at an earlier revision."""
        return {
            stored.key: stored
            for stored in self.history
            if stored.revision <= revision
        }

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent)."""
        self.writes += 1
        await self.arrive()
        current = self.current.get(key)
        found = current.revision if current else 0
        if found != expected_revision:
            return SwapResult(
                accepted=False,
                revision=self.revision,
                current=current,
            )
        stored = self.put(key, value)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise PlatformUnavailableError(message='the answer was lost')
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
        await self.arrive()
        position = 0
        while not math.isinf(position):
            self.require_up()
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
        self.reads += 1
        await self.arrive()
        snapshot = self.snapshot(keys.VMS, self.faults.list_stale_at)
        return tuple(decode_vms(snapshot.values))
