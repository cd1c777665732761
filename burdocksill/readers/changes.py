"""The latest changes of the store, kept for nodes that ask for them."""

from collections import OrderedDict
from typing import Final

import attrs

from burdocksill.platform.values import Snapshot, StoredValue

# More than the release of a large service makes in half a minute; who has
# missed more than these reads the store.
CHANGES_KEPT: Final = 1024


@attrs.define(kw_only=True, eq=False, repr=False)
class ChangeLog:
    """Keep the newest change of each key between two revisions, in order."""

    start: int = 0
    end: int = 0
    changes: OrderedDict[str, StoredValue] = attrs.field(factory=OrderedDict)

    def add(self, after: int, found: Snapshot) -> None:
        """Append what changed after a revision; a gap drops what is older."""
        if after > self.end:
            self.changes.clear()
            self.start = after
        for change in found.values:
            if change.revision > self.end:
                self.changes[change.key] = change
                self.changes.move_to_end(change.key)
        self.end = max(self.end, found.revision)
        while len(self.changes) > CHANGES_KEPT:
            _, dropped = self.changes.popitem(last=False)
            # A whole reading is not in the order of revisions.
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
