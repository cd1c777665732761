"""Messages of system checks."""

import enum

import attrs

from burdocksill.exceptions import BurdocksillError


class Level(enum.IntEnum):
    """Severity of a message, as in the logging module."""

    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen(kw_only=True)
class CheckMessage:
    """A finding of a check, with a stable id for scripts."""

    level: Level
    id: str
    message: str
    hint: str = ''

    def __str__(self) -> str:
        """Format the message for operators."""
        suffix = f'\n    {self.hint}' if self.hint else ''
        return f'{self.level.name} ({self.id}) {self.message}{suffix}'


def error_message(error: BurdocksillError) -> CheckMessage:
    """Return a message for an error, with the error's code as id."""
    return CheckMessage(
        level=Level.ERROR,
        id=error.code,
        message=error.message,
        hint=error.hint,
    )


def warning(number: int, message: str, hint: str) -> CheckMessage:
    """Return a warning with an id such as burdocksill.W001."""
    return CheckMessage(
        level=Level.WARNING,
        id=f'burdocksill.W{number:03}',
        message=message,
        hint=hint,
    )


def note(number: int, message: str) -> CheckMessage:
    """Return an informational message with an id such as burdocksill.I101."""
    return CheckMessage(
        level=Level.INFO,
        id=f'burdocksill.I{number:03}',
        message=message,
    )
