"""Log of the latest store changes, from which requests are answered."""

from collections import OrderedDict
from typing import Final

import attrs

from burdocksill.platform.values import Snapshot, StoredValue

# More than the release of a large service makes in half a minute. A node that
# has missed more reads the store.
MAX_CHANGES: Final = 1024


@attrs.define(kw_only=True, eq=False, repr=False)
class ChangeLog:
    """Keep the newest change of each key between two revisions, in order."""

    start: int = 0
    end: int = 0
    changes: OrderedDict[str, StoredValue] = attrs.field(factory=OrderedDict)

    def add(self, after: int, found: Snapshot) -> None:
        """Append changes after a revision; a gap drops all older ones."""
        if after > self.end:
            self.changes.clear()
            self.start = after
        for change in found.values:
            if change.revision > self.end:
                self.changes[change.key] = change
                self.changes.move_to_end(change.key)
        self.end = max(self.end, found.revision)
        while len(self.changes) > MAX_CHANGES:
            _, dropped = self.changes.popitem(last=False)
            # A full read is not sorted by revision.
            self.start = max(self.start, dropped.revision)

    def since(self, revision: int) -> tuple[StoredValue, ...] | None:
        """Return the changes after a revision, None if some are missing."""
        if revision < self.start:
            return None
        return tuple(
            change
            for change in self.changes.values()
            if change.revision > revision
        )
