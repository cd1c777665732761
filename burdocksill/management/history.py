"""Earlier revisions of a record that the platform still stores.

The platform keeps old revisions until it is compacted, so the history is
read by a watch from a past revision. A separate history would need a second
write with every edit, could contradict its document and would grow towards
the maximum size of a value.
"""

from contextlib import aclosing

import attrs
import trio

from burdocksill.platform.exceptions import PlatformCompactedError
from burdocksill.platform.protocols import Platform
from burdocksill.platform.values import StoredValue

FIRST_REVISION = 1
READ_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class History:
    """Hold a record's revisions, the oldest first.

    `complete` is False when earlier ones were compacted.
    """

    revisions: tuple[StoredValue, ...]
    complete: bool


async def read_history(platform: Platform, key: str) -> History:
    """Return the revisions of a record that the platform still stores."""
    current = await platform.read(key)
    if current is None:
        return History(revisions=(), complete=True)
    try:
        found = await revisions_from(platform, current, FIRST_REVISION)
    except PlatformCompactedError as compacted:
        later = await revisions_from(platform, current, compacted.revision)
        # The current value is shown even when its revision was compacted.
        return History(revisions=later or (current,), complete=False)
    return History(revisions=found, complete=True)


async def revisions_from(
    platform: Platform,
    current: StoredValue,
    first: int,
) -> tuple[StoredValue, ...]:
    """Return a record's revisions from `first` up to the current one."""
    found: list[StoredValue] = []
    if first > current.revision:
        return ()
    with trio.move_on_after(READ_SECONDS):
        changes = platform.watch(prefix=current.key, from_revision=first)
        async with aclosing(changes):
            async for change in changes:
                # A watch covers a prefix, so other keys may match it too.
                if change.key == current.key:
                    found.append(change)
                if change.revision >= current.revision:
                    break
    return tuple(found)
