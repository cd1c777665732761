"""Write a document in the form that `document put` reads."""

import json
from collections.abc import Iterator
from typing import Any

import attrs

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.schema import RESERVED_FIELDS


def document_text(document: ServiceDocument) -> str:
    """Write a document as TOML, without what acceptance wrote."""
    known = attrs.asdict(document)
    plain = {
        name: held
        for name, held in known.items()
        if name not in RESERVED_FIELDS
    }
    return '\n'.join(table_lines('', plain)).strip() + '\n'


def table_lines(path: str, table: dict[str, Any]) -> Iterator[str]:
    """Write one table: its own values first, then the tables below it."""
    below: list[tuple[str, Any]] = []
    for name, held in table.items():
        if held is None:
            continue
        if isinstance(held, dict) or is_array_of_tables(held):
            below.append((f'{path}{name}', held))
        else:
            # A TOML value of these types is written as JSON writes it.
            yield f'{name} = {json.dumps(held)}'
    for name, held in below:
        yield from nested_lines(name, held)


def nested_lines(name: str, held: Any) -> Iterator[str]:
    """Write a table or an array of tables under its header."""
    if isinstance(held, dict):
        yield from ('', f'[{name}]', *table_lines(f'{name}.', held))
        return
    for table in held:
        yield from ('', f'[[{name}]]', *table_lines(f'{name}.', table))


def is_array_of_tables(held: Any) -> bool:
    """Tell whether a value is written as tables of their own."""
    return isinstance(held, list | tuple) and any(
        isinstance(entry, dict) for entry in held
    )
