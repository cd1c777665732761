"""Documents as TOML, in the form that `document put` reads."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.schema import RESERVED_FIELDS


def document_text(document: ServiceDocument) -> str:
    """Return a document as TOML, without the fields set on acceptance."""
    fields = attrs.asdict(document)
    table = {
        name: value
        for name, value in fields.items()
        if name not in RESERVED_FIELDS
    }
    return '\n'.join(table_lines('', table)).strip() + '\n'


def table_lines(path: str, table: dict[str, Any]) -> Iterator[str]:
    """Yield the lines of one table: its values, then its nested tables."""
    nested: list[tuple[str, Any]] = []
    for name, value in table.items():
        if value is None:
            continue
        if isinstance(value, dict) or is_array_of_tables(value):
            nested.append((f'{path}{name}', value))
        else:
            # Values of these types look the same in TOML and JSON.
            yield f'{name} = {json.dumps(value)}'
    for name, value in nested:
        yield from nested_lines(name, value)


def nested_lines(name: str, value: Any) -> Iterator[str]:
    """Yield the lines of a table or an array of tables with its header."""
    if isinstance(value, dict):
        yield from ('', f'[{name}]', *table_lines(f'{name}.', value))
        return
    for table in value:
        yield from ('', f'[[{name}]]', *table_lines(f'{name}.', table))


def is_array_of_tables(value: Any) -> bool:
    """Return True when a value has to be written as an array of tables."""
    return isinstance(value, list | tuple) and any(
        isinstance(entry, dict) for entry in value
    )
