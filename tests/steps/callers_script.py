"""Steps about scripts of burdocksill-call."""

from behave import then
from behave.runner import Context
from click.testing import CliRunner

from burdocksill.callers.exceptions import ScriptInvalidError
from burdocksill.callers.main import main
from burdocksill.callers.script import Call, read_script


def parse_lines(script: str) -> list[Call]:
    """Parse a script whose lines are separated by #."""
    return list(read_script(script.split('#')))


@then('the call script "{script}" has the calls "{calls}"')
def check_calls(context: Context, script: str, calls: str) -> None:
    """Compare the calls in order."""
    found = ', '.join(call.text for call in parse_lines(script))
    assert found == calls, found


@then('the call script "{script}" fails with "{message}"')
def check_failure(context: Context, script: str, message: str) -> None:
    """Expect an error with a hint."""
    try:
        parse_lines(script)
    except ScriptInvalidError as error:
        assert message in error.message, error.message
        assert error.hint
    else:
        raise AssertionError('the script was parsed')


@then('burdocksill-call with "{arguments}" exits with {code:d}')
def check_program(context: Context, arguments: str, code: int) -> None:
    """Run the program in this process and check its exit code."""
    outcome = CliRunner().invoke(main, arguments.split())
    assert outcome.exit_code == code, (outcome.exit_code, outcome.output)
