"""Values of the platform's store."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from burdocksill.platform.revisions import era_of
from burdocksill.values import Value


class StoredValue(Value):
    """A key with its value and revision; revision 0 means absent.

    Revisions grow over restores of the store, see `revisions`.
    """

    __slots__ = ('key', 'removed', 'revision', 'value')

    def __init__(
        self,
        *,
        key: str,
        value: bytes,
        revision: int,
        removed: bool = False,
    ) -> None:
        """Store the arguments."""
        self.key = key
        self.value = value
        self.revision = revision
        # True in a change that removed the key.
        self.removed = removed


class Snapshot(Value):
    """The values with a prefix, or changes to them, at one revision."""

    __slots__ = ('revision', 'unchanged_seconds', 'values')

    def __init__(
        self,
        *,
        values: tuple[StoredValue, ...],
        revision: int,
        unchanged_seconds: float = 0,
    ) -> None:
        """Store the arguments."""
        self.values = values
        self.revision = revision
        # For how long after the call the store had no change, in seconds.
        self.unchanged_seconds = unchanged_seconds


def split_by_era(found: Snapshot) -> Iterator[Snapshot]:
    """Yield changes as one snapshot for each era of the store, oldest first."""
    changes_of: dict[int, list[StoredValue]] = {}
    for change in found.values:
        changes_of.setdefault(era_of(change.revision), []).append(change)
    last = changes_of.pop(era_of(found.revision), [])
    for era in sorted(changes_of):
        changes = tuple(changes_of[era])
        revision = max(earlier.revision for earlier in changes)
        yield Snapshot(values=changes, revision=revision)
    yield found.evolve(values=tuple(last))


def newest_of_each(changes: Iterable[StoredValue]) -> tuple[StoredValue, ...]:
    """Return the last change of each key, in the order of the changes."""
    newest: dict[str, StoredValue] = {}
    for change in changes:
        newest.pop(change.key, None)
        newest[change.key] = change
    return tuple(newest.values())
