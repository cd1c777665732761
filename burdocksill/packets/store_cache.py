"""What a node knows of the store, how far and since when."""

from __future__ import annotations

from collections.abc import Callable

from burdocksill.network.clock import Clock, boot_seconds
from burdocksill.packets.updater import StateUpdater
from burdocksill.platform.calls import item_bytes
from burdocksill.platform.values import (
    Snapshot,
    StoredValue,
    newest_of_each,
)

NOTHING_READ = float('-inf')
# Takes the revision before, and the changes since.
Listener = Callable[[int, Snapshot], None]


class SyncProgress:
    """Tell how far this node knows the store; it never goes back."""

    __slots__ = ('clock', 'synced_at', 'needs_full_read', 'revision')

    def __init__(
        self,
        *,
        clock: Clock = boot_seconds,
    ) -> None:
        """Take all fields."""
        self.clock = clock
        # Revision of the store up to which all is known; 0: nothing is.
        self.revision: int = 0
        # When all changes up to this time were known.
        self.synced_at: float = NOTHING_READ
        # True when changes were lost, so that the store must be read whole.
        self.needs_full_read = False

    @property
    def is_synced(self) -> bool:
        """Return True once the store has been read whole."""
        return self.synced_at > NOTHING_READ

    def now(self) -> float:
        """Return the time by which ages are counted."""
        return self.clock()

    def age(self) -> float:
        """Return the seconds since the knowledge was known to be current."""
        return self.clock() - self.synced_at

    def reach(self, revision: int, synced_at: float) -> None:
        """Take note that all changes up to a time are known."""
        self.revision = max(self.revision, revision)
        self.synced_at = max(self.synced_at, synced_at)


class StoreCache:
    """Put what the store or another node tells into force, in order.

    Both may tell the same, or one of them late: only what is newer than all
    before counts.
    """

    __slots__ = ('clock', 'updater', 'listeners', 'progress', 'sizes')

    def __init__(
        self,
        *,
        updater: StateUpdater,
        progress: SyncProgress,
        clock: Clock,
    ) -> None:
        """Take all fields."""
        self.updater = updater
        self.progress = progress
        # Steady seconds by which upstreams' absences are counted.
        self.clock = clock
        # Told of each change, once.
        self.listeners: list[Listener] = []
        # The keys that the store holds, with what each takes in an answer.
        self.sizes: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Return the revision up to which all is known; 0: nothing is."""
        return self.progress.revision

    @property
    def healthy_seconds(self) -> float:
        """Return for how long the store was fine, below 0 in trouble."""
        since = self.updater.upstreams.store_healthy_since
        return self.clock() - since if since else -1

    def age(self) -> float:
        """Return the seconds since the knowledge was known to be current."""
        return self.progress.age()

    def whole_bytes(self) -> int:
        """Return about how many bytes a whole reading takes."""
        return sum(self.sizes.values())

    def apply_snapshot(self, found: Snapshot, synced_at: float) -> None:
        """Take in a whole reading, unless a peer has told more meanwhile."""
        self.updater.mark_store_available(self.clock())
        if found.revision < self.progress.revision:
            return
        self.progress.needs_full_read = False
        self.take(self.difference(found), synced_at)

    def apply_changes(self, found: Snapshot, synced_at: float) -> None:
        """Take in changes that the store has told."""
        self.updater.mark_store_available(self.clock())
        self.take_newer(found, synced_at)

    def apply_peer_changes(
        self,
        found: Snapshot,
        *,
        age: float,
        stable: float,
    ) -> None:
        """Take in changes that another node has told."""
        if stable >= 0:
            self.updater.adopt_healthy_since(self.clock() - stable)
        self.take_newer(found, self.progress.now() - age)

    def take_newer(self, found: Snapshot, synced_at: float) -> None:
        """Learn what is newer than all that is known."""
        before = self.progress.revision
        # Versions of a manifest that were replaced meanwhile aren't decoded.
        newest = newest_of_each(found.values)
        newer = tuple(one for one in newest if one.revision > before)
        self.take(found.evolve(values=newer), synced_at)

    def take(self, newer: Snapshot, synced_at: float) -> None:
        """Put changes into force and take note of them."""
        self.updater.apply_values(newer, self.clock())
        self.advance(newer, synced_at)

    def advance(self, newer: Snapshot, synced_at: float) -> None:
        """Take note of how far all is known, and tell others."""
        before = self.progress.revision
        for one in newer.values:
            if one.removed:
                self.sizes.pop(one.key, None)
            else:
                self.sizes[one.key] = item_bytes(one)
        self.progress.reach(newer.revision, synced_at)
        for listener in self.listeners:
            listener(before, newer)

    def difference(self, found: Snapshot) -> Snapshot:
        """Return a whole reading as changes of what was known before.

        What the reading doesn't show was removed, by its revision at the
        latest. What was known is not learned again: a large manifest would
        keep packets waiting while it is decoded.
        """
        before = self.progress.revision
        gone = self.sizes.keys() - {one.key for one in found.values}
        removed = (
            StoredValue(
                key=key,
                value=b'',
                revision=found.revision,
                removed=True,
            )
            for key in sorted(gone)
        )
        written = (one for one in found.values if one.revision > before)
        return found.evolve(values=(*written, *removed))
