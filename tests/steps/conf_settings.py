"""Steps about settings."""

import socket
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from burdocksill.conf.catalog import SETTINGS
from burdocksill.conf.exceptions import SettingsInvalidError
from burdocksill.conf.settings import read_settings
from burdocksill.entry.main import main

REFERENCE = Path(__file__).parents[2] / 'docs/reference/settings.md'


@given('settings of an entry VM')
def give_settings(context: Context) -> None:
    """Give every setting that has no default."""
    context.given_settings = {
        'name': 'cz-a-entry-1',
        'domain': 'cz-a',
        'listen': '10.0.0.1:5683',
        'peer': '10.0.0.1:5690',
        'admin': '10.0.0.1:5691',
        'platform': 'http://10.0.0.9:2379',
    }


@given('the setting "{name}" is "{text}"')
def give_one(context: Context, name: str, text: str) -> None:
    """Replace one setting."""
    context.given_settings[name] = text


@given('the setting "{name}" is left out')
def leave_out(context: Context, name: str) -> None:
    """Remove one setting."""
    context.given_settings.pop(name)


@when('the settings are read')
def read(context: Context) -> None:
    """Store the settings or their errors."""
    context.settings_errors = ()
    try:
        context.settings = read_settings(context.given_settings)
    except SettingsInvalidError as invalid:
        context.settings_errors = invalid.errors


@then('the settings errors are')
def check_errors(context: Context) -> None:
    """Compare codes and flags in order."""
    expected = [(row['code'], row['flag']) for row in context.table]
    found = [
        (error.code, error.message.split()[0])
        for error in context.settings_errors
    ]
    assert found == expected, found


@then('each settings error has a hint')
def check_hints(context: Context) -> None:
    """Check the hints."""
    assert all(error.hint for error in context.settings_errors)


@then('no settings error shows "{secret}"')
def check_hidden(context: Context, secret: str) -> None:
    """Check that the value is in no message or hint."""
    for error in context.settings_errors:
        assert secret not in str(error), str(error)


@then('the settings are valid')
def check_valid(context: Context) -> None:
    """Expect no errors."""
    assert not context.settings_errors, context.settings_errors


@then('the setting "{name}" has the value "{text}"')
def check_value(context: Context, name: str, text: str) -> None:
    """Compare one value."""
    assert str(getattr(context.settings, name)) == text


@when('burdocksill-entry is started with "{arguments}"')
def start_wrong(context: Context, arguments: str) -> None:
    """Run the program in this process; it exits before it serves."""
    context.outcome = CliRunner().invoke(main, arguments.split())


@given('settings of an entry VM on an address that is in use')
def use_address(context: Context) -> None:
    """Listen on the admin port; no platform is needed."""
    listener = socket.socket()
    listener.bind(('127.13.9.1', 0))
    listener.listen()
    context.add_cleanup(listener.close)
    port = listener.getsockname()[1]
    context.used_address_arguments = (
        '--name=a --domain=a --listen=127.13.9.1:0 --peer=127.13.9.2:0 '
        f'--admin=127.13.9.1:{port} --platform=http://127.13.9.3:9'
    )


@when('burdocksill-entry is started with these settings')
def start_on_used_address(context: Context) -> None:
    """Run the program in this process; it fails before it serves."""
    context.outcome = CliRunner().invoke(
        main, context.used_address_arguments.split()
    )


@then('it ends with {code:d}')
def check_exit(context: Context, code: int) -> None:
    """Compare the exit code."""
    assert context.outcome.exit_code == code, context.outcome.output


@then('its error output names "{first}" and "{second}" and "{third}"')
def check_output(context: Context, first: str, second: str, third: str) -> None:
    """Look for all three texts."""
    for text in (first, second, third):
        assert text in context.outcome.output, context.outcome.output


@then('docs/reference/settings.md has a row for every setting')
def check_reference(context: Context) -> None:
    """Compare the page with the settings in the code, row by row."""
    lines = REFERENCE.read_text().splitlines()
    rows = [line for line in lines if line.startswith('| `--')]
    expected = [
        f'| `{setting.flag}` | `{setting.variable}` | '
        f'{default_of(setting.default)} | {setting.meaning} |'
        for setting in SETTINGS
    ]
    assert rows == expected, '\n'.join(expected)


def default_of(default: str | None) -> str:
    """Return a default as the page shows it."""
    if default is None:
        return 'required'
    return f'`{default}`' if default else 'none'
