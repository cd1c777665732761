"""Log lines of modules that run before logging is imported.

The import of logging takes longer than a node needs to read the store, and no
packet is forwarded before. Until the program sets a writer, lines go through
logging as everywhere else.
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
NOTHING: Final[Mapping[str, object]] = MappingProxyType({})


class EarlyLines:
    """Hold where early lines go, and from which level on."""

    __slots__ = ('threshold', 'writer')

    def __init__(self) -> None:
        """Begin without a writer."""
        self.writer: LineWriter | None = None
        self.threshold = LEVELS['INFO']

    def set_level(self, level: str) -> None:
        """Leave out lines below a level; one that isn't known means INFO."""
        self.threshold = LEVELS.get(level.upper(), LEVELS['INFO'])


early_lines = EarlyLines()


class EarlyLogger:
    """Write lines as a logger of the standard library does."""

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        """Keep the name of the module that writes."""
        self.name = name

    def is_enabled(self, level: str) -> bool:
        """Return True when lines of a level are written."""
        if early_lines.writer is None:
            return self.standard.isEnabledFor(LEVELS[level])
        return LEVELS[level] >= early_lines.threshold

    def info(
        self,
        message: str,
        *,
        extra: Mapping[str, object] = NOTHING,
    ) -> None:
        """Write what was decided or has changed."""
        self.write('INFO', message, extra)

    def warning(
        self,
        message: str,
        *,
        extra: Mapping[str, object] = NOTHING,
    ) -> None:
        """Write what went wrong and is dealt with."""
        self.write('WARNING', message, extra)

    def write(
        self,
        level: str,
        message: str,
        extra: Mapping[str, object],
    ) -> None:
        """Write a line of a level."""
        if not self.is_enabled(level):
            return
        writer = early_lines.writer
        if writer is None:
            self.standard.log(LEVELS[level], message, extra=extra)
            return
        writer.write(level, message, extra, created=time.time())

    @property
    def standard(self) -> logging.Logger:
        """Return the standard library's logger of the same name."""
        return importlib.import_module('logging').getLogger(self.name)  # type: ignore[no-any-return]
