"""Parse a team's document, with errors that name path and value."""

import difflib
import re
import tomllib
from typing import Any, Final

import attrs
import msgspec

from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.documents.models import ServiceDocument, Upstream, validate

# Fields that acceptance writes; teams must not set them.
RESERVED_FIELDS: Final = frozenset(('edit_id', 'edits', 'deleted'))
UPSTREAMS: Final = 'upstreams'
# msgspec ends its messages with the path of the wrong value.
ERROR_WITH_PATH: Final = re.compile(r'^(?P<fault>.*) - at `\$\.?(?P<path>.*)`$')
PATH_STEP: Final = re.compile(r'\[(\d+)\]|([^.\[\]]+)')


def parse_document(text: str) -> ServiceDocument:
    """Parse a TOML document; raise DocumentInvalidError."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # Also for numbers of too many digits, and for deep nesting.
        raise DocumentInvalidError(
            message=f'the document is not TOML: {error}',
            hint='correct the line that is named',
        ) from error
    reject_unknown_fields(raw)
    try:
        document = msgspec.convert(raw, ServiceDocument)
    except msgspec.ValidationError as error:
        raise explain(raw, str(error)) from error
    validate(document)
    return document


def reject_unknown_fields(raw: dict[str, Any]) -> None:
    """Reject fields that the schema does not define.

    A misspelled field would otherwise be ignored silently, and its default
    would apply.
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
    """Reject names that are not allowed at a path."""
    for name, value in raw.items():
        if name in allowed:
            continue
        similar = difflib.get_close_matches(name, sorted(allowed), n=1)
        suggestion = f'write {similar[0]}' if similar else 'take it out'
        raise DocumentInvalidError(
            message=f'{path}{name} is unknown (its value is {value!r})',
            hint=f'{suggestion}; known are {", ".join(sorted(allowed))}',
        )


def explain(raw: dict[str, Any], fault: str) -> DocumentInvalidError:
    """Return an error with path and value for a validation error."""
    found = ERROR_WITH_PATH.match(fault)
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
    for index, name in PATH_STEP.findall(path):
        raw = raw[int(index)] if index else raw.get(name)
    return raw
