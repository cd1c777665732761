"""Restore of a simulated store from a copy, as in a drill."""

from random import Random
from typing import Final

import attrs
import trio

from burdocksill_lab.packets.store import (
    READ_ONLY_PREFIXES,
    Item,
    LabStore,
    Lease,
    StoreFault,
)

# Time within which operators and upstreams write again what was lost.
MAX_REWRITE_SECONDS: Final = 1.8


@attrs.frozen(kw_only=True)
class StoreCopy:
    """Copy of a store from which it can be restored."""

    revision: int
    items: dict[str, Item]
    history: list[Item]
    leases: dict[int, Lease]
    leases_granted: int


def copy_store(store: LabStore) -> StoreCopy:
    """Return a copy of a store."""
    return StoreCopy(
        revision=store.revision,
        items=dict(store.items),
        history=list(store.history),
        leases=dict(store.leases),
        leases_granted=store.leases_granted,
    )


def restore_store(store: LabStore, saved: StoreCopy, now: float) -> None:
    """Lose all changes since a copy, and begin the next era.

    Leases of the copy run for their whole time again, and the numbers of later
    ones are given out again.
    """
    store.revision = saved.revision
    store.items = dict(saved.items)
    store.history = list(saved.history)
    store.leases_granted = saved.leases_granted
    store.leases = {
        number: Lease(seconds=lease.seconds, expires_at=now + lease.seconds)
        for number, lease in saved.leases.items()
    }
    store.era += 1
    # Watches from a revision that is lost end.
    waiting = store.changed
    store.changed = trio.Event()
    waiting.set()


@attrs.define(kw_only=True)
class RestoreDrill:
    """Copy a store, and restore it later.

    Operators and upstreams write again what the restore lost, each key at a
    random time. Nodes have to do so for their own keys.
    """

    store: LabStore
    nursery: trio.Nursery
    rng: Random
    saved: StoreCopy = attrs.field(init=False)
    # Lost keys that are to be written again.
    lost: dict[str, Item | None] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Copy the store."""
        self.saved = copy_store(self.store)

    async def restore(
        self, away_seconds: float, fault: StoreFault = StoreFault.RESET
    ) -> None:
        """Let the store fail for some seconds, then restore it."""
        self.store.injected_fault = fault
        await trio.sleep(away_seconds)
        self.store.injected_fault = StoreFault.NONE
        latest = self.store.items
        restore_store(self.store, self.saved, trio.current_time())
        for key in sorted(latest.keys() | self.saved.items.keys()):
            lost = latest.get(key)
            if key.startswith(READ_ONLY_PREFIXES) and lost != self.read(key):
                self.lost[key] = lost
                self.nursery.start_soon(self.write_again, key)

    def read(self, key: str) -> Item | None:
        """Return what the store holds under a key."""
        return self.store.items.get(key)

    def remove(self, key: str) -> None:
        """Remove a key, also one that is lost and not written again yet."""
        self.lost.pop(key, None)
        if key in self.store.items:
            self.store.remove(key)

    async def write_again(self, key: str) -> None:
        """Repeat the last write of a key, unless there is a later one."""
        restored = self.read(key)
        await trio.sleep(self.rng.uniform(0, MAX_REWRITE_SECONDS))
        if key not in self.lost or self.read(key) != restored:
            return
        lost = self.lost.pop(key)
        if lost is None:
            self.store.remove(key)
        else:
            self.store.put(key, lost.value)
