"""Base of every error that burdocksill raises."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import ClassVar


class BurdocksillError(Exception):
    """Base error with a stable code, a message and a hint."""

    code: ClassVar[str] = 'burdocksill.E000'

    def __init__(self, *, message: str, hint: str = '') -> None:
        """Store the message and the hint."""
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        """Return the code, the message and the hint on one line."""
        suffix = f' ({self.hint})' if self.hint else ''
        return f'{self.code}: {self.message}{suffix}'
