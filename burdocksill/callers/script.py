"""Calls of a command line or a script, one per line."""

from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from burdocksill.callers.exceptions import ScriptInvalidError

METHODS: Final = frozenset(
    ('GET', 'FETCH', 'PUT', 'DELETE', 'iPATCH', 'POST', 'PATCH'),
)
COMMENT: Final = '#'
PARTS: Final = 3


@attrs.frozen(kw_only=True)
class Call:
    """Hold one request of a command line or script."""

    method: str
    path: tuple[str, ...]
    payload: bytes = b''

    @property
    def text(self) -> str:
        """Return the call as text: method and path."""
        return f'{self.method} /{"/".join(self.path)}'


def make_call(method: str, path: str, payload: str = '') -> Call:
    """Make a call; raise ScriptInvalidError for an unknown CoAP method."""
    by_lower_name = {name.lower(): name for name in METHODS}
    name = by_lower_name.get(method.lower())
    if name is None:
        raise ScriptInvalidError(
            message=f'the method is {method!r}',
            hint=f'choose one of {", ".join(sorted(METHODS))}',
        )
    return Call(
        method=name,
        path=tuple(part for part in path.split('/') if part),
        payload=payload.encode(),
    )


def read_script(lines: Iterable[str]) -> Iterator[Call]:
    """Parse lines of method, path and payload; skip blanks and comments.

    Raise ScriptInvalidError for a line that cannot be parsed.
    """
    for number, line in enumerate(lines, start=1):
        text = line.strip()
        if not text or text.startswith(COMMENT):
            continue
        parts = text.split(maxsplit=PARTS - 1)
        if len(parts) < PARTS - 1:
            raise ScriptInvalidError(
                message=f'line {number} is {text!r}',
                hint='write a method, a path and, if needed, a payload',
            )
        yield make_call(*parts)
