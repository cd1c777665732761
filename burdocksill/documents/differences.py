"""Differences between two documents, by path."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

import attrs
import msgspec

from burdocksill.documents.models import ServiceDocument

# Fields that acceptance writes are not compared.
IGNORED_FIELDS: Final = frozenset(('edit_id', 'edits'))
ABSENT: Final = 'absent'


@attrs.frozen(kw_only=True)
class Difference:
    """Hold a path with its old and new value."""

    path: str
    before: object
    after: object

    def __str__(self) -> str:
        """Format the difference on one line."""
        return f'{self.path}: {self.before!r} -> {self.after!r}'


def differences(
    before: ServiceDocument | None,
    after: ServiceDocument | None,
) -> tuple[Difference, ...]:
    """Return the differences of two documents, upstreams by name."""
    old, new = flatten(before), flatten(after)
    return tuple(
        Difference(
            path=path,
            before=old.get(path, ABSENT),
            after=new.get(path, ABSENT),
        )
        for path in sorted(old.keys() | new.keys())
        if old.get(path, ABSENT) != new.get(path, ABSENT)
    )


def describe(found: tuple[Difference, ...]) -> str:
    """Format differences on one line."""
    return ', '.join(str(difference) for difference in found) or 'none'


def flatten(document: ServiceDocument | None) -> dict[str, object]:
    """Return a document's values by path."""
    if document is None:
        return {}
    raw = msgspec.to_builtins(document)
    return dict(walk('', raw))


def walk(path: str, value: Any) -> Iterator[tuple[str, object]]:
    """Yield each plain value below a path."""
    if isinstance(value, Mapping):
        for name, inner in value.items():
            if name not in IGNORED_FIELDS:
                yield from walk(f'{path}.{name}' if path else name, inner)
    elif isinstance(value, list | tuple):
        for inner in value:
            yield from walk(f'{path}[{inner["name"]}]', inner)
    else:
        yield path, value
