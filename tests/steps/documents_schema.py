"""Steps about the schema of documents."""

from behave import given, then
from behave.runner import Context

from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.documents.schema import parse_document

TOP = ('service = "kiosk-ledger"', 'team = "vratka"', 'deadline_seconds = 5')
UPSTREAM = {
    'name': '"ledger-1"',
    'domain': '"cz-a"',
    'host': '"10.0.0.7"',
    'port': '8080',
    'slots': '2',
    'connections': '2000',
}


def text_with(top: tuple[str, ...], line: str) -> str:
    """Write a document in which one line is replaced or added."""
    name = line.partition(' = ')[0]
    kept = [f'{key} = {UPSTREAM[key]}' for key in UPSTREAM if key != name]
    return '\n'.join((*top, '[[upstreams]]', *kept, line))


@given('a schema text with {line} in its upstream')
def write_upstream(context: Context, line: str) -> None:
    """Write a document with a line of its upstream."""
    context.toml = text_with(TOP, line)


@given('a schema text with {line} at its top')
def write_top(context: Context, line: str) -> None:
    """Write a document with one more line at its top."""
    context.toml = text_with((*TOP, line), 'slots = 2')


@then('the schema refuses it with {path}, {value} and {expected_hint}')
def check_error_text(
    context: Context, path: str, value: str, expected_hint: str
) -> None:
    """Check that the error names path, value and hint."""
    try:
        parse_document(context.toml)
    except DocumentInvalidError as error:
        assert error.message.startswith(path), error
        assert value in error.message, error
        assert expected_hint in error.hint, error
        return
    raise AssertionError('the document was read')


@then('the schema reads {slots:d} slots')
def check_read(context: Context, slots: int) -> None:
    """Check that a valid document is read."""
    assert parse_document(context.toml).upstreams[0].slots == slots
