"""What a system check says."""

import enum

import attrs

from burdocksill.exceptions import BurdocksillError


class Level(enum.IntEnum):
    """Order messages by how much they matter."""

    INFO = 20
    WARNING = 30
    ERROR = 40


@attrs.frozen(kw_only=True)
class CheckMessage:
    """Say what a check found, under an id that scripts can rely on."""

    level: Level
    id: str
    message: str
    hint: str = ''

    def __str__(self) -> str:
        """Write the message as an operator reads it."""
        cure = f'\n    {self.hint}' if self.hint else ''
        return f'{self.level.name} ({self.id}) {self.message}{cure}'


def error_message(error: BurdocksillError) -> CheckMessage:
    """Turn an error into a message under the error's own code."""
    return CheckMessage(
        level=Level.ERROR,
        id=error.code,
        message=error.message,
        hint=error.hint,
    )


def warning(number: int, message: str, hint: str) -> CheckMessage:
    """Make a warning with an id of the shape burdocksill.W001."""
    return CheckMessage(
        level=Level.WARNING,
        id=f'burdocksill.W{number:03}',
        message=message,
        hint=hint,
    )


def note(number: int, message: str) -> CheckMessage:
    """Make a message about something that is in order."""
    return CheckMessage(
        level=Level.INFO,
        id=f'burdocksill.I{number:03}',
        message=message,
    )
