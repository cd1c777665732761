"""Logger for modules that run before logging is imported.

Importing logging takes longer than the initial read of the store, and no packet
is forwarded before that. Until a writer is set, lines go through the logging
module.
"""

from __future__ import annotations

import importlib
import time
from types import MappingProxyType

TYPE_CHECKING = False
if TYPE_CHECKING:
    import logging
    from collections.abc import Mapping
    from typing import Final

    from burdocksill.observe.writer import LineWriter

LEVELS: Final = MappingProxyType(
    {'DEBUG': 10, 'INFO': 20, 'WARNING': 30, 'ERROR': 40},
)
NO_FIELDS: Final[Mapping[str, object]] = MappingProxyType({})


class EarlyLines:
    """Writer and lowest level of early log lines."""

    __slots__ = ('threshold', 'writer')

    def __init__(self) -> None:
        """Start without a writer, at level INFO."""
        self.writer: LineWriter | None = None
        self.threshold = LEVELS['INFO']

    def set_level(self, level: str) -> None:
        """Set the lowest level to write; an unknown name means INFO."""
        self.threshold = LEVELS.get(level.upper(), LEVELS['INFO'])


early_lines = EarlyLines()


class EarlyLogger:
    """Logger with a part of the interface of the standard library's."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        """Store the name of the module."""
        self.name = name

    def is_enabled(self, level: str) -> bool:
        """Return True if lines of a level are written."""
        if early_lines.writer is None:
            return self.standard_logger.isEnabledFor(LEVELS[level])
        return LEVELS[level] >= early_lines.threshold

    def info(
        self,
        message: str,
        *,
        extra: Mapping[str, object] = NO_FIELDS,
    ) -> None:
        """Log a decision or a change at level INFO."""
        self.write('INFO', message, extra)

    def warning(
        self,
        message: str,
        *,
        extra: Mapping[str, object] = NO_FIELDS,
    ) -> None:
        """Log a handled failure at level WARNING."""
        self.write('WARNING', message, extra)

    def write(
        self,
        level: str,
        message: str,
        extra: Mapping[str, object],
    ) -> None:
        """Write a line if its level is enabled."""
        if not self.is_enabled(level):
            return
        writer = early_lines.writer
        if writer is None:
            self.standard_logger.log(LEVELS[level], message, extra=extra)
            return
        writer.write(level, message, extra, created=time.time())

    @property
    def standard_logger(self) -> logging.Logger:
        """Return the logger of the logging module with the same name."""
        return importlib.import_module('logging').getLogger(self.name)  # type: ignore[no-any-return]
