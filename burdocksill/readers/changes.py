"""Log of the latest store changes, from which requests are answered."""

import math
from collections import OrderedDict
from typing import Final

import attrs

from burdocksill.platform.revisions import era_of
from burdocksill.platform.values import Snapshot, StoredValue

# More than the release of a large service makes in half a minute. A node that
# has missed more reads the store.
MAX_CHANGES: Final = 1024


@attrs.define(kw_only=True, eq=False, repr=False)
class ChangeLog:
    """Keep the newest change of each key between two revisions, in order.

    Across a restore of the store, changes of each era are kept: those of the
    later one may be older values.
    """

    start: int = 0
    end: int = 0
    changes: OrderedDict[tuple[int, str], StoredValue] = attrs.field(
        factory=OrderedDict
    )
    # First revision of the current era. What led to it from the copy is known
    # only as differences to the era before.
    era_start: int = 0
    # First and last revision of each earlier era.
    earlier_eras: dict[int, tuple[int, int]] = attrs.field(factory=dict)

    def add(self, after: int, found: Snapshot) -> None:
        """Append changes after a revision; a gap drops all older ones."""
        if after > self.end:
            self.changes.clear()
            self.earlier_eras.clear()
            self.start = after
        if era_of(found.revision) > era_of(self.end):
            self.earlier_eras[era_of(self.end)] = (self.era_start, self.end)
            self.era_start = found.revision
        for change in found.values:
            if change.revision > self.end:
                entry = (era_of(change.revision), change.key)
                self.changes[entry] = change
                self.changes.move_to_end(entry)
        self.end = max(self.end, found.revision)
        while len(self.changes) > MAX_CHANGES:
            _, dropped = self.changes.popitem(last=False)
            # A full read is not sorted by revision.
            self.start = max(self.start, dropped.revision)

    def since(self, revision: int) -> tuple[StoredValue, ...] | None:
        """Return the changes after a revision, None if some are missing."""
        if revision < self.start or not self.covers(revision):
            return None
        return tuple(
            change
            for change in self.changes.values()
            if change.revision > revision
        )

    def covers(self, revision: int) -> bool:
        """Return True if the log knows what its era has changed since.

        It does not for a requester that read the store sooner after a restore,
        or knew more of an earlier era.
        """
        era = era_of(revision)
        if era >= era_of(self.end):
            return revision >= self.era_start
        first, last = self.earlier_eras.get(era, (math.inf, 0))
        return first <= revision <= last
