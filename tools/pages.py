"""Generate the documentation pages that are made from the code."""

import importlib
import pkgutil
import sys
from pathlib import Path

import burdocksill
import burdocksill_lab
from burdocksill.exceptions import BurdocksillError

ERRORS = Path(__file__).parents[1] / 'docs/reference/errors.md'
HEAD = """\
# Error codes

Every error has a stable code, a message and, where possible, a hint that says
how to correct it. The first digit tells the area: 0 settings, 1 the platform
and the admin interface, 2 documents, 3 flows, 4 requests, 5 other entry VMs,
6 upstreams, 7 callers, 8 membership, 9 the lab.

`python -m tools.pages` writes this page from the code;
`tests/docs/errors.feature` compares them.

| Code | Error | Meaning |
| --- | --- | --- |
"""


def all_errors() -> list[type[BurdocksillError]]:
    """Return every error class that defines a code, ordered by code."""
    for package in (burdocksill, burdocksill_lab):
        prefix = f'{package.__name__}.'
        for found in pkgutil.walk_packages(package.__path__, prefix):
            importlib.import_module(found.name)
    found_errors: set[type[BurdocksillError]] = set()
    unvisited = [BurdocksillError]
    while unvisited:
        for error in unvisited.pop().__subclasses__():
            unvisited.append(error)
            if 'code' in vars(error):
                found_errors.add(error)
    # attrs creates a class with slots twice; the second one is in use.
    by_name = {error.__name__: error for error in found_errors}
    return sorted(by_name.values(), key=lambda error: error.code)


def errors_page() -> str:
    """Return the page of error codes."""
    rows = [
        f'| `{error.code}` | `{error.__name__}` | '
        f'{(error.__doc__ or "").splitlines()[0]} |\n'
        for error in all_errors()
    ]
    return HEAD + ''.join(rows)


def main() -> int:
    """Write the pages."""
    ERRORS.write_text(errors_page())
    return 0


if __name__ == '__main__':
    sys.exit(main())
