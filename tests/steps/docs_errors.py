"""Steps about error codes."""

from collections import Counter

from behave import then
from behave.runner import Context

from tools.pages import ERRORS, all_errors, errors_page


@then('no two errors share a code')
def check_unique(context: Context) -> None:
    """Count the codes."""
    counted = Counter(error.code for error in all_errors())
    shared = [code for code, count in counted.items() if count > 1]
    assert not shared, shared


@then('docs/reference/errors.md is as "{command}" writes it')
def check_page(context: Context, command: str) -> None:
    """Compare the page with the code."""
    assert ERRORS.read_text() == errors_page(), f'run: {command}'
