"""Read a document as a team writes it, and say what is wrong where."""

import difflib
import re
import tomllib
from typing import Any, Final

import attrs
import msgspec

from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.documents.models import ServiceDocument, Upstream, validate

# What acceptance writes is not a team's to set.
RESERVED_FIELDS: Final = frozenset(('edit_id', 'edits', 'deleted'))
UPSTREAMS: Final = 'upstreams'
# msgspec ends its messages with the path of the wrong value.
WRONG_AT: Final = re.compile(r'^(?P<fault>.*) - at `\$\.?(?P<path>.*)`$')
STEP: Final = re.compile(r'\[(\d+)\]|([^.\[\]]+)')


def parse_document(text: str) -> ServiceDocument:
    """Read a document in TOML; a fault names its path, value and cure."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise DocumentInvalidError(
            message=f'the document is not TOML: {error}',
            hint='mend the line that is named',
        ) from error
    refuse_unknown(raw)
    try:
        document = msgspec.convert(raw, ServiceDocument)
    except msgspec.ValidationError as error:
        raise explain(raw, str(error)) from error
    validate(document)
    return document


def refuse_unknown(raw: dict[str, Any]) -> None:
    """Refuse fields that the schema does not know.

    A mistyped name would otherwise be passed over without a word, and its
    default would be in force.
    """
    allowed = names_of(ServiceDocument) - RESERVED_FIELDS
    check_names('', raw, allowed)
    upstreams = raw.get(UPSTREAMS)
    if not isinstance(upstreams, list):
        return
    for index, upstream in enumerate(upstreams):
        if isinstance(upstream, dict):
            path = f'{UPSTREAMS}[{index}].'
            check_names(path, upstream, names_of(Upstream))


def names_of(model: type) -> frozenset[str]:
    """Return the field names of a model."""
    return frozenset(field.name for field in attrs.fields(model))


def check_names(
    path: str,
    raw: dict[str, Any],
    allowed: frozenset[str],
) -> None:
    """Refuse names that are not allowed at a path."""
    for name, value in raw.items():
        if name in allowed:
            continue
        near = difflib.get_close_matches(name, sorted(allowed), n=1)
        cure = f'write {near[0]}' if near else 'take it out'
        raise DocumentInvalidError(
            message=f'{path}{name} is unknown (its value is {value!r})',
            hint=f'{cure}; known are {", ".join(sorted(allowed))}',
        )


def explain(raw: dict[str, Any], fault: str) -> DocumentInvalidError:
    """Name the path and the wrong value that a validation error means."""
    found = WRONG_AT.match(fault)
    if found is None:
        return DocumentInvalidError(
            message=f'the document does not fit the schema: {fault}',
            hint='see docs/reference/document.md for names and types',
        )
    path = found['path']
    return DocumentInvalidError(
        message=f'{path} is {value_at(raw, path)!r}: {found["fault"]}',
        hint='see docs/reference/document.md for its type',
    )


def value_at(raw: Any, path: str) -> object:
    """Return the value at a path of the raw document."""
    for index, name in STEP.findall(path):
        raw = raw[int(index)] if index else raw.get(name)
    return raw
