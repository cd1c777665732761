"""A feed whose lines any stand-in of a service can write from any position."""

from collections.abc import AsyncGenerator
from typing import Final

import trio

FEEDS: Final = 'feeds'
# A feed that no upstream has.
UNKNOWN: Final = 'unknown'
LINE_SECONDS: Final = 0.5
AFTER_HEADER: Final = 'burdocksill-feed-after'


def feed_name(path: str) -> str:
    """Return the name in a path like /feeds/round-7, else nothing."""
    parts = path.strip('/').split('/')
    return parts[1] if len(parts) == 2 and parts[0] == FEEDS else ''


def feed_text(name: str, position: int) -> str:
    """Write the notification of one position."""
    return f'{name} stop {position}'


async def feed_lines(name: str, after: str) -> AsyncGenerator[str, None]:
    """Yield a first line with the position before, then one line a tick."""
    now = int(trio.current_time() / LINE_SECONDS)
    position = int(after) if after.isdigit() else now
    yield f'{position} \n'
    while True:
        position += 1
        await trio.sleep_until(position * LINE_SECONDS)
        yield f'{position} {feed_text(name, position)}\n'
