"""Logging handler that writes JSON lines to standard output."""

import logging
from typing import Final

from burdocksill.observe.writer import LineWriter

STANDARD_FIELDS: Final = frozenset(
    logging.LogRecord('', 0, '', 0, '', (), None).__dict__,
) | {'message', 'asctime', 'taskName'}


class StdoutHandler(logging.Handler):
    """Handler that writes log records with a LineWriter."""

    def __init__(self, *, writer: LineWriter) -> None:
        """Store the writer."""
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record with its extra fields."""
        fields = {
            name: field
            for name, field in record.__dict__.items()
            if name not in STANDARD_FIELDS
        }
        if record.exc_info:
            fields['trace'] = logging.Formatter().formatException(
                record.exc_info,
            )
        self.writer.write(
            record.levelname,
            record.getMessage(),
            fields,
            created=record.created,
            template=record.msg,
        )


def log_to_stdout(*, writer: LineWriter, level: str) -> StdoutHandler:
    """Make this handler the only one of the root logger."""
    handler = StdoutHandler(writer=writer)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    return handler
