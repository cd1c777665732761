"""Steps about the features that settings ask for."""

from behave import then, when
from behave.runner import Context

from burdocksill.conf.exceptions import SettingInvalidError
from burdocksill.packets.features import (
    ALL_FEATURES,
    NO_FEATURES,
    parse_features,
)
from burdocksill.platform.node_file import read_node_file

SETTINGS = """
Node=front-a-1
Zone=a
Listen.DataAddr=10.1.0.10:8172
Listen.ReadyAddr=10.1.0.10:8167
platform.Address=10.200.1.7:8169
Contracts={contracts}
"""


@when('a node reads settings with the contracts "{contracts}"')
def read_contracts(context: Context, contracts: str) -> None:
    """Read a settings file."""
    text = SETTINGS.format(contracts=contracts)
    context.settings = read_node_file(text)
    context.features = context.settings.features


@when('a node reads settings with the contracts ""')
def read_no_contracts(context: Context) -> None:
    """Read a settings file that names no contract."""
    read_contracts(context, '')


@when('a node reads the features "{text}"')
def read_names(context: Context, text: str) -> None:
    """Read the operators' choice; keep its error."""
    try:
        context.features = parse_features(text)
    except SettingInvalidError as error:
        context.error = error


@when('operators choose the features "{text}"')
def choose(context: Context, text: str) -> None:
    """Replace the features of the settings."""
    context.settings = context.settings.evolve(features=parse_features(text))
    context.features = context.settings.features


@then('its name is "{name}"')
def check_name(context: Context, name: str) -> None:
    """Compare the node's name."""
    assert context.settings.name == name, context.settings


@then('its features are "{names}"')
def check_features(context: Context, names: str) -> None:
    """Compare the features."""
    expected = {'none': NO_FEATURES, 'all': ALL_FEATURES}.get(names)
    if expected is None:
        expected = parse_features(names)
        assert expected, names
    assert context.features == expected, context.features


@then('the setting is refused with "{code}" and names "{name}"')
def check_refused(context: Context, code: str, name: str) -> None:
    """Check the code and the name in the message."""
    assert context.error.code == code, context.error
    assert name in str(context.error), context.error
