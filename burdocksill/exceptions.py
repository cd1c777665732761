"""Base of every error that burdocksill raises."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import ClassVar


class BurdocksillError(Exception):
    """Carry a stable code, what was wrong and how to cure it."""

    code: ClassVar[str] = 'burdocksill.E000'

    def __init__(self, *, message: str, hint: str = '') -> None:
        """Store the message and the cure."""
        super().__init__(message)
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        """Name the code, the fault and the cure on one line."""
        cure = f' ({self.hint})' if self.hint else ''
        return f'{self.code}: {self.message}{cure}'
