"""Writer of JSON lines with a rate limit, which never blocks."""

from __future__ import annotations

import json
import os
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Final

# Rate limit of lines with the same message; others are counted.
LINES_PER_SECOND: Final = 100
STANDARD_OUTPUT: Final = 1
# Names in the store may be as long as its values.
MAX_TEXT_LETTERS: Final = 1000


def shorten(field: object) -> object:
    """Cut a text that would make a line too long; others fill bounded room."""
    if isinstance(field, str) and len(field) > MAX_TEXT_LETTERS:
        return field[:MAX_TEXT_LETTERS] + '...'
    return field


class LineRateLimit:
    """Rate limit of one message, in windows of a second."""

    __slots__ = ('left_out', 'second', 'written')

    def __init__(self) -> None:
        """Start with an empty window."""
        self.second = 0
        self.written = 0
        self.left_out = 0

    def try_acquire(self, second: int) -> bool:
        """Return True if one more line may be written; count it if not."""
        if second != self.second:
            self.second = second
            self.written = 0
        if self.written >= LINES_PER_SECOND:
            self.left_out += 1
            return False
        self.written += 1
        return True


class LineWriter:
    """Write one JSON object per line; drop and count failed writes."""

    def __init__(self, *, node: str, descriptor: int = STANDARD_OUTPUT) -> None:
        """Make the descriptor non-blocking and write to it."""
        self.node = node
        self.descriptor = descriptor
        self.rate_limits: dict[str, LineRateLimit] = {}
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(
        self,
        level: str,
        message: str,
        fields: Mapping[str, object],
        *,
        created: float,
        template: str = '',
    ) -> None:
        """Write a line unless its message exceeds the rate limit.

        `template` is the common part of all lines of one message.
        """
        rate_limit = self.rate_limits.setdefault(
            template or message, LineRateLimit()
        )
        if not rate_limit.try_acquire(int(time.monotonic())):
            return
        line: dict[str, object] = {
            'time': round(created, 3),
            'level': level,
            'node': self.node,
            'message': message,
            **{name: shorten(one) for name, one in fields.items()},
        }
        if rate_limit.left_out:
            line['left_out'] = rate_limit.left_out
            rate_limit.left_out = 0
        try:
            os.write(
                self.descriptor,
                json.dumps(line, default=str).encode() + b'\n',
            )
        except OSError:
            self.dropped += 1
