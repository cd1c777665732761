"""Values of the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from burdocksill.values import Value


class StoredValue(Value):
    """A key with its value and revision; revision 0 means absent."""

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


def newest_of_each(changes: Iterable[StoredValue]) -> tuple[StoredValue, ...]:
    """Return the last change of each key, in the order of the changes."""
    newest: dict[str, StoredValue] = {}
    for change in changes:
        newest.pop(change.key, None)
        newest[change.key] = change
    return tuple(newest.values())
