"""Log of the latest store changes, from which requests are answered."""

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
    # The last revision of each earlier era that is covered.
    last_revisions: dict[int, int] = attrs.field(factory=dict)

    def add(self, after: int, found: Snapshot) -> None:
        """Append changes after a revision; a gap drops all older ones."""
        if after > self.end:
            self.changes.clear()
            self.last_revisions.clear()
            self.start = after
        if era_of(found.revision) > era_of(self.end):
            self.last_revisions[era_of(self.end)] = self.end
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
        """Return the changes after a revision, None if some are missing.

        Changes of an earlier era that only the requester knows are missing
        here: which of them the restore has lost is not known.
        """
        era = era_of(revision)
        last = self.last_revisions.get(era, 0)
        if revision < self.start or (
            era < era_of(self.end) and revision > last
        ):
            return None
        return tuple(
            change
            for change in self.changes.values()
            if change.revision > revision
        )
