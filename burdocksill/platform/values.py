"""What the platform's store holds, as data."""

from __future__ import annotations

from collections.abc import Iterable

from burdocksill.values import Value


class StoredValue(Value):
    """Hold one key as the platform stores it; revision 0 means absent."""

    __slots__ = ('key', 'removed', 'revision', 'value')

    def __init__(
        self,
        *,
        key: str,
        value: bytes,
        revision: int,
        removed: bool = False,
    ) -> None:
        """Take all fields."""
        self.key = key
        self.value = value
        self.revision = revision
        # True for the news that the key is there no more.
        self.removed = removed


class Snapshot(Value):
    """Hold all values below a prefix, read at one revision."""

    __slots__ = ('revision', 'unchanged_seconds', 'values')

    def __init__(
        self,
        *,
        values: tuple[StoredValue, ...],
        revision: int,
        unchanged_seconds: float = 0,
    ) -> None:
        """Take all fields."""
        self.values = values
        self.revision = revision
        # For how long after it was asked the store saw no change.
        self.unchanged_seconds = unchanged_seconds


def newest_of_each(changes: Iterable[StoredValue]) -> tuple[StoredValue, ...]:
    """Return the last change of each key, in the order of the changes."""
    newest: dict[str, StoredValue] = {}
    for change in changes:
        newest.pop(change.key, None)
        newest[change.key] = change
    return tuple(newest.values())
