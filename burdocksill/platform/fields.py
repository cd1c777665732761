"""Read the fields of stored JSON objects, with their types and ranges."""

from __future__ import annotations

import json
import math

from burdocksill.platform.exceptions import RecordInvalidError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any, Final, TypeVar

    Number = TypeVar('Number', int, float)
    Found = TypeVar('Found')

# Longer ones are no numbers that a field means; int() refuses them.
MAX_DIGITS: Final = 400
# Letters of a stored text in an error.
SHOWN_LETTERS: Final = 80


def read_object(value: bytes) -> dict[str, Any]:
    """Decode a JSON object."""
    try:
        found = load_json(value)
    except (ValueError, RecursionError) as error:
        raise RecordInvalidError(
            message=f'{len(value)} bytes that are not JSON: {error}',
            hint='check which program writes this key',
        ) from error
    if not isinstance(found, dict):
        raise RecordInvalidError(
            message=f'found a {type(found).__name__} instead of an object',
            hint='check which program writes this key',
        )
    return found


def get_field(
    found: dict[str, Any], name: str, kind: type, default: Any
) -> Any:
    """Return a field of a type; a default of None means it is required."""
    field: Any = found.get(name, default)
    is_boolean = isinstance(field, bool)
    if kind is float and isinstance(field, int):
        field = as_float(field)
    wrong = is_boolean or not isinstance(field, kind)
    if wrong or (kind is float and not math.isfinite(field)):
        raise RecordInvalidError(
            message=f'{name} is not a finite {kind.__name__}',
            hint='the entry is ignored until it is written again',
        )
    if kind is str and not is_sound_text(field):
        raise RecordInvalidError(
            message=f'{name} is not a text that UTF-8 can encode',
            hint='the entry is ignored until it is written again',
        )
    return field


def is_sound_text(text: str) -> bool:
    """Return False for a text that UTF-8 can't encode."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def load_json(value: bytes) -> Any:
    """Decode JSON; an integer of too many digits becomes infinity."""
    try:
        return json.loads(value)
    except ValueError:
        # int() also raises it, for an integer with too many digits.
        return json.loads(value, parse_int=read_digits)


def read_digits(digits: str) -> float:
    """Return an integer, infinity if it has too many digits."""
    if len(digits) <= MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith('-') else math.inf


def get_capped(
    found: dict[str, Any], name: str, most: Number, *, default: Number | None
) -> Number:
    """Return a number of 0 or more, `most` for a larger one.

    For fields without a largest value on the platform's pages. The type of
    `most` is that of the field; a default of None means it is required.
    """
    field: Any = found.get(name, default)
    kind = type(most)
    is_number = isinstance(field, (int, float)) and not isinstance(field, bool)
    is_whole = isinstance(field, int) or field == math.inf
    if not is_number or not field >= 0 or (kind is int and not is_whole):
        raise RecordInvalidError(
            message=f'{name} is not a {kind.__name__} of 0 or more',
            hint='the field is ignored until it is written again',
        )
    return kind(min(field, most))


def get_number(
    found: dict[str, Any],
    name: str,
    most: float,
    *,
    default: float | None = 0,
) -> float:
    """Return a number from 0 to `most`; a default of None: required."""
    number: float = get_field(found, name, float, default)
    return require_range(name, number, 0, most)


def get_whole(
    found: dict[str, Any],
    name: str,
    most: int,
    *,
    least: int = 0,
    default: int | None = None,
) -> int:
    """Return a whole number in a range; a default of None: required."""
    number: int = get_field(found, name, int, default)
    return require_range(name, number, least, most)


def require_range(
    name: str, number: Number, least: float, most: float
) -> Number:
    """Return a number; raise RecordInvalidError if it is out of range."""
    if least <= number <= most:
        return number
    raise RecordInvalidError(
        message=f'{name} is not between {least} and {most}',
        hint='the entry is ignored until it is written again',
    )


def as_float(number: int) -> float:
    """Return an integer as a float, infinity if it is too large."""
    try:
        return float(number)
    except OverflowError:
        return math.inf


def get_rows(
    found: dict[str, Any], name: str, faults: Faults
) -> list[dict[str, Any]]:
    """Return the objects of a list, empty if the field is missing.

    Other values in the list are left out as faults.
    """
    rows: list[Any] = get_field(found, name, list, [])
    usable = [row for row in rows if isinstance(row, dict)]
    left_out = len(rows) - len(usable)
    if left_out:
        faults.causes.append(f'{name}: {left_out} rows are not objects')
    return usable


class Faults:
    """Collect why parts of a stored value can't be used."""

    __slots__ = ('causes',)

    def __init__(self) -> None:
        """Start without faults."""
        self.causes: list[str] = []

    def find(self, read: Callable[[], Found]) -> Found | None:
        """Return what was read; None and a fault if it is invalid."""
        try:
            return read()
        except RecordInvalidError as error:
            self.causes.append(str(error))
            return None

    def attempt(self, read: Callable[[], Found], default: Found) -> Found:
        """Return what was read; the default and a fault if it is invalid."""
        found = self.find(read)
        return default if found is None else found
