"""JSON lines on a descriptor, bounded, that never block."""

from __future__ import annotations

import json
import os
import time

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Final

# Lines of one message in a second; more are counted and told with the next.
LINES_PER_SECOND: Final = 100
STANDARD_OUTPUT: Final = 1


class LineBudget:
    """Count the lines of one message in the current second."""

    __slots__ = ('left_out', 'second', 'written')

    def __init__(self) -> None:
        """Begin with a whole second's lines."""
        self.second = 0
        self.written = 0
        self.left_out = 0

    def take(self, second: int) -> bool:
        """Return True when there is room for one more line."""
        if second != self.second:
            self.second = second
            self.written = 0
        if self.written >= LINES_PER_SECOND:
            self.left_out += 1
            return False
        self.written += 1
        return True


class LineWriter:
    """Write one JSON object a line; drop and count what can't be written."""

    def __init__(self, *, node: str, descriptor: int = STANDARD_OUTPUT) -> None:
        """Write to a descriptor that does not block."""
        self.node = node
        self.descriptor = descriptor
        self.budgets: dict[str, LineBudget] = {}
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
        """Write a line unless its message has used up its second.

        `template` is what all lines of one message have in common.
        """
        budget = self.budgets.setdefault(template or message, LineBudget())
        if not budget.take(int(time.monotonic())):
            return
        line: dict[str, object] = {
            'time': round(created, 3),
            'level': level,
            'node': self.node,
            'message': message,
            **fields,
        }
        if budget.left_out:
            line['left_out'] = budget.left_out
            budget.left_out = 0
        try:
            os.write(
                self.descriptor,
                json.dumps(line, default=str).encode() + b'\n',
            )
        except OSError:
            self.dropped += 1
