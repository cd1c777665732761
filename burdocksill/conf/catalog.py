"""Settings of burdocksill-entry, with their defaults and meanings.

Defaults are defined only here: the command line, the checks and
`docs/reference/settings.md` are generated from this list.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs
import click

from burdocksill.conf import readers
from burdocksill.conf.exceptions import (
    SettingInvalidError,
    SettingMissingError,
    SettingsInvalidError,
)

PREFIX: Final = 'BURDOCKSILL'


@attrs.frozen(kw_only=True)
class Setting:
    """Describe one setting; a default of None means that it is required."""

    name: str
    meaning: str
    parse: Callable[[str, str], object]
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return f'{PREFIX}_{self.name.upper()}'

    def value(self, text: str | None) -> object:
        """Parse a given text, or the default when it is None.

        Raise SettingInvalidError.
        """
        source = self.default if text is None else text
        if source is None:
            raise SettingMissingError(
                message=f'{self.flag} is not given',
                hint=f'give {self.flag} or set {self.variable}',
            )
        return self.parse(self.flag, source)


SETTINGS: Final = (
    Setting(
        name='name',
        meaning='Name of this entry VM; no other VM has it.',
        parse=readers.require_name,
    ),
    Setting(
        name='domain',
        meaning='Failure domain that this VM stands in.',
        parse=readers.require_name,
    ),
    Setting(
        name='listen',
        meaning='Address for callers (UDP), host:port.',
        parse=readers.parse_address,
    ),
    Setting(
        name='peer',
        meaning='Address for other entry VMs (UDP), host:port.',
        parse=readers.parse_address,
    ),
    Setting(
        name='admin',
        meaning=(
            'Address for operators (HTTP), host:port; it has no login, so '
            'bind it to an internal address: the host of --peer, and the '
            'same port on every VM.'
        ),
        parse=readers.parse_address,
    ),
    Setting(
        name='platform',
        meaning="URL of the platform's key-value service.",
        parse=readers.parse_url,
    ),
    Setting(
        name='seeds',
        meaning=(
            'Peer addresses of other VMs, separated by commas, to learn from '
            'when the platform is down at the start.'
        ),
        parse=readers.parse_addresses,
        default='',
    ),
    Setting(
        name='keys',
        meaning=(
            "The fleet's key ring as `burdocksill keys export` prints it, to "
            'start with while the platform is down; a secret, so give it by '
            'the environment.'
        ),
        parse=readers.parse_ring,
        default='',
    ),
    Setting(
        name='log_level',
        meaning=f'Least level of log lines: {", ".join(readers.LOG_LEVELS)}.',
        parse=readers.parse_level,
        default='INFO',
    ),
    Setting(
        name='trace_ratio',
        meaning='Share of new requests to trace, 0 (off) to 1.',
        parse=readers.parse_ratio,
        default='0',
    ),
    Setting(
        name='seed',
        meaning='Seed of random choices, for tests only.',
        parse=readers.parse_seed,
        default='',
    ),
)


def parse_all(given: Mapping[str, str | None]) -> dict[str, Any]:
    """Parse every setting, or raise SettingsInvalidError with all errors."""
    values: dict[str, Any] = {}
    errors: list[SettingInvalidError] = []
    for setting in SETTINGS:
        try:
            values[setting.name] = setting.value(given.get(setting.name))
        except SettingInvalidError as error:
            errors.append(error)
    if errors:
        raise SettingsInvalidError(errors=tuple(errors))
    return values


def help_text(setting: Setting) -> str:
    """Return a setting's text for --help."""
    if setting.default is None:
        return f'{setting.meaning}  [required]'
    return f'{setting.meaning}  [default: {setting.default or "none"}]'


def options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the flag and environment variable of every setting to a command."""
    for setting in reversed(SETTINGS):
        option = click.option(
            setting.flag,
            envvar=setting.variable,
            help=help_text(setting),
        )
        command = option(command)
    return command
