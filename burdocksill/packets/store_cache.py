"""Local cache of the store: its revision, age and keys."""

from __future__ import annotations

from collections.abc import Callable

from burdocksill.network.clock import Clock, boot_seconds
from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.updater import StateUpdater
from burdocksill.platform.calls import item_bytes
from burdocksill.platform.revisions import era_of, show_revision
from burdocksill.platform.values import (
    Snapshot,
    StoredValue,
    newest_of_each,
    split_by_era,
)

NEVER_SYNCED = float('-inf')

logger = EarlyLogger(__name__)
# Called with the previous revision and the changes since.
Listener = Callable[[int, Snapshot], None]


class SyncProgress:
    """Revision and time of the last synchronisation; both only grow.

    A restore of the store from a copy begins a new era, whose revisions are
    higher than all before.
    """

    __slots__ = ('clock', 'needs_full_read', 'revision', 'synced_at')

    def __init__(
        self,
        *,
        clock: Clock = boot_seconds,
    ) -> None:
        """Store the clock and start without a synchronisation."""
        self.clock = clock
        # Revision up to which all changes are known; 0: none are.
        self.revision: int = 0
        # Time up to which all changes are known.
        self.synced_at: float = NEVER_SYNCED
        # True when changes were missed, so that a full read is needed.
        self.needs_full_read = False

    @property
    def is_synced(self) -> bool:
        """Return True after the first full read of the store."""
        return self.synced_at > NEVER_SYNCED

    def now(self) -> float:
        """Return the current time of the clock for ages, in seconds."""
        return self.clock()

    def age(self) -> float:
        """Return the seconds since the last synchronisation."""
        return self.clock() - self.synced_at

    def advance_to(self, revision: int, synced_at: float) -> None:
        """Record that all changes up to a revision and a time are known."""
        self.revision = max(self.revision, revision)
        self.synced_at = max(self.synced_at, synced_at)


class StoreCache:
    """Apply changes from the store and from peers in order of revision.

    Both sources may deliver the same change, or deliver it late. Only changes
    newer than the current revision are applied.
    """

    __slots__ = (
        'clock',
        'digests',
        'key_bytes',
        'listeners',
        'progress',
        'updater',
    )

    def __init__(
        self,
        *,
        updater: StateUpdater,
        progress: SyncProgress,
        clock: Clock,
    ) -> None:
        """Store the collaborators and start without keys and listeners."""
        self.updater = updater
        self.progress = progress
        # Monotonic clock by which absences of upstreams are measured.
        self.clock = clock
        # Called once for each change.
        self.listeners: list[Listener] = []
        # The keys in the store, with the bytes of each in an answer.
        self.key_bytes: dict[str, int] = {}
        # Hashes of the values in the store, by key.
        self.digests: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Return the revision up to which all changes are known; 0: none."""
        return self.progress.revision

    @property
    def healthy_seconds(self) -> float:
        """Return for how long the store has worked; negative in an outage."""
        since = self.updater.upstreams.store_healthy_since
        return self.clock() - since if since else -1

    def age(self) -> float:
        """Return the seconds since the last synchronisation."""
        return self.progress.age()

    def full_read_bytes(self) -> int:
        """Return the approximate size of a full read, in bytes."""
        return sum(self.key_bytes.values())

    def apply_snapshot(self, found: Snapshot, synced_at: float) -> None:
        """Apply a full read, unless a peer has sent a newer revision."""
        self.updater.mark_store_available(self.clock())
        if found.revision < self.progress.revision:
            logger.info(
                'outdated reading dropped',
                extra={
                    'revision': show_revision(found.revision),
                    'known': show_revision(self.progress.revision),
                },
            )
            return
        self.progress.needs_full_read = False
        self.apply(self.as_changes(found), synced_at)

    def apply_changes(self, found: Snapshot, synced_at: float) -> None:
        """Apply changes that the store sent."""
        self.updater.mark_store_available(self.clock())
        self.apply_newer(found, synced_at)

    def apply_peer_changes(
        self,
        found: Snapshot,
        *,
        age: float,
        stable: float,
    ) -> None:
        """Apply changes of a peer; `age` and `stable` are in seconds."""
        if stable >= 0:
            self.updater.adopt_healthy_since(self.clock() - stable)
        self.apply_newer(found, self.progress.now() - age)

    def apply_newer(self, found: Snapshot, synced_at: float) -> None:
        """Apply the changes that are newer than the current revision."""
        for part in split_by_era(found):
            before = self.progress.revision
            # Skips decoding versions of a manifest that were replaced since.
            newest = newest_of_each(part.values)
            newer = tuple(one for one in newest if one.revision > before)
            self.apply(part.evolve(values=newer), synced_at)

    def apply(self, newer: Snapshot, synced_at: float) -> None:
        """Apply changes of one era and record the revision."""
        now = self.clock()
        if self.begins_era(newer.revision):
            self.begin_era(newer)
            superseded = self.updater.apply_restored(newer, now)
        else:
            self.updater.apply_values(newer, now)
            superseded = set()
        self.record_changes(newer, synced_at, superseded)

    def begins_era(self, revision: int) -> bool:
        """Return True if a revision is of a later era than the cached one."""
        before = self.progress.revision
        return before > 0 and era_of(revision) > era_of(before)

    def begin_era(self, newer: Snapshot) -> None:
        """Record that the store was restored from a copy."""
        logger.warning(
            'store restored',
            extra={
                'era': era_of(newer.revision),
                'revision': show_revision(newer.revision),
                'before': show_revision(self.progress.revision),
                'changed': len(newer.values),
            },
        )
        self.updater.begin_era(era_of(newer.revision), self.clock())

    def record_changes(
        self, newer: Snapshot, synced_at: float, superseded: set[str]
    ) -> None:
        """Record the revision and the keys, and call the listeners.

        Peers are not told of superseded values, so that a large old manifest
        does not make each of them read the store.
        """
        before = self.progress.revision
        for one in newer.values:
            if one.removed:
                self.key_bytes.pop(one.key, None)
                self.digests.pop(one.key, None)
            else:
                self.key_bytes[one.key] = item_bytes(one)
                self.digests[one.key] = hash(one.value)
        self.progress.advance_to(newer.revision, synced_at)
        told = newer.evolve(
            values=tuple(
                stored
                for stored in newer.values
                if stored.key not in superseded
            )
        )
        for listener in self.listeners:
            listener(before, told)

    def as_changes(self, found: Snapshot) -> Snapshot:
        """Return a full read as changes to the cached revision.

        Keys missing from the full read were removed at its revision or before.
        Values that are already cached are left out, as decoding a large
        manifest again would delay packets.
        """
        removed_keys = self.digests.keys() - {one.key for one in found.values}
        removed = (
            StoredValue(
                key=key,
                value=b'',
                revision=found.revision,
                removed=True,
            )
            for key in sorted(removed_keys)
        )
        written = filter(
            self.differs if self.begins_era(found.revision) else self.is_newer,
            found.values,
        )
        return found.evolve(values=(*written, *removed))

    def is_newer(self, stored: StoredValue) -> bool:
        """Return True if a value was written after the cached revision."""
        return stored.revision > self.progress.revision

    def differs(self, stored: StoredValue) -> bool:
        """Return True if a value differs from the cached one.

        After a restore, revisions do not tell which values have changed.
        """
        return self.digests.get(stored.key) != hash(stored.value)
