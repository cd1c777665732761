"""Steps about scripts of burdocksill-call."""

from behave import then
from behave.runner import Context
from click.testing import CliRunner

from burdocksill.callers.exceptions import ScriptInvalidError
from burdocksill.callers.main import main
from burdocksill.callers.script import Call, read_script


def calls_of(script: str) -> list[Call]:
    """Read a script whose lines are written with # between them."""
    return list(read_script(script.split('#')))


@then('the call script "{script}" has the calls "{calls}"')
def check_calls(context: Context, script: str, calls: str) -> None:
    """Compare in order."""
    found = ', '.join(call.text for call in calls_of(script))
    assert found == calls, found


@then('the call script "{script}" fails with "{message}"')
def check_failure(context: Context, script: str, message: str) -> None:
    """Expect the error with its cure."""
    try:
        calls_of(script)
    except ScriptInvalidError as error:
        assert message in error.message, error.message
        assert error.hint
    else:
        raise AssertionError('it was read')


@then('burdocksill-call with "{arguments}" ends with {code:d}')
def check_program(context: Context, arguments: str, code: int) -> None:
    """Run the program in this process."""
    ended = CliRunner().invoke(main, arguments.split())
    assert ended.exit_code == code, (ended.exit_code, ended.output)
