"""JSON log lines on standard output, bounded, that never block."""

import json
import logging
import os
import sys
import time
from typing import Final

import attrs

# Lines of one message in a second; more are counted and told with the next.
# 100 lines of 200 bytes take 20 KB and about 3 ms of a core.
LINES_PER_SECOND: Final = 100
PLAIN_FIELDS: Final = frozenset(
    logging.LogRecord('', 0, '', 0, '', (), None).__dict__,
) | {'message', 'asctime', 'taskName'}


@attrs.define(kw_only=True)
class LineBudget:
    """Count the lines of one message in the current second."""

    second: int = 0
    written: int = 0
    left_out: int = 0

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


class StdoutHandler(logging.Handler):
    """Write one JSON object a line; drop and count what can't be written."""

    def __init__(self, *, node: str, descriptor: int | None = None) -> None:
        """Write to a descriptor that does not block."""
        super().__init__()
        self.node = node
        self.budgets: dict[str, LineBudget] = {}
        self.dropped = 0
        self.descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless its message has used up its second."""
        budget = self.budgets.setdefault(record.msg, LineBudget())
        if not budget.take(int(time.monotonic())):
            return
        fields = {
            name: field
            for name, field in record.__dict__.items()
            if name not in PLAIN_FIELDS
        }
        if budget.left_out:
            fields['left_out'] = budget.left_out
            budget.left_out = 0
        if record.exc_info:
            fields['trace'] = logging.Formatter().formatException(
                record.exc_info,
            )
        line = {
            'time': round(record.created, 3),
            'level': record.levelname,
            'node': self.node,
            'message': record.getMessage(),
            **fields,
        }
        self.write(json.dumps(line, default=str).encode() + b'\n')

    def write(self, line: bytes) -> None:
        """Write a whole line, or count it as dropped if nobody reads."""
        try:
            os.write(self.descriptor, line)
        except OSError:
            self.dropped += 1


def log_to_stdout(*, node: str, level: str) -> StdoutHandler:
    """Send all log lines of the process to standard output."""
    handler = StdoutHandler(node=node)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler
