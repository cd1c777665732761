"""Every setting of burdocksill-entry, with its default and its meaning.

This is the one place where a default stands: the command line, the checks and
`docs/reference/settings.md` are all made from it.
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
    read: Callable[[str, str], object]
    default: str | None = None

    @property
    def flag(self) -> str:
        """Return the flag of the command line."""
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return f'{PREFIX}_{self.name.upper()}'

    def value(self, text: str | None) -> object:
        """Read a given text, or the default where none was given."""
        given = self.default if text is None else text
        if given is None:
            raise SettingMissingError(
                message=f'{self.flag} is not given',
                hint=f'give {self.flag} or set {self.variable}',
            )
        return self.read(self.flag, given)


CATALOG: Final = (
    Setting(
        name='name',
        meaning='Name of this entry VM; no other VM has it.',
        read=readers.require_name,
    ),
    Setting(
        name='domain',
        meaning='Failure domain that this VM stands in.',
        read=readers.require_name,
    ),
    Setting(
        name='listen',
        meaning='Address for callers (UDP), host:port.',
        read=readers.parse_address,
    ),
    Setting(
        name='peer',
        meaning='Address for other entry VMs (UDP), host:port.',
        read=readers.parse_address,
    ),
    Setting(
        name='admin',
        meaning=(
            'Address for operators (HTTP), host:port; it has no login, so '
            'bind it to an internal address: the host of --peer, and the '
            'same port on every VM.'
        ),
        read=readers.parse_address,
    ),
    Setting(
        name='platform',
        meaning="URL of the platform's key-value service.",
        read=readers.parse_url,
    ),
    Setting(
        name='seeds',
        meaning=(
            'Peer addresses of other VMs, separated by commas, to learn from '
            'when the platform is down at the start.'
        ),
        read=readers.parse_addresses,
        default='',
    ),
    Setting(
        name='keys',
        meaning=(
            "The fleet's key ring as `burdocksill keys export` prints it, to "
            'start with while the platform is down; a secret, so give it by '
            'the environment.'
        ),
        read=readers.parse_ring,
        default='',
    ),
    Setting(
        name='log_level',
        meaning=f'Least level of log lines: {", ".join(readers.LOG_LEVELS)}.',
        read=readers.parse_level,
        default='INFO',
    ),
    Setting(
        name='trace_ratio',
        meaning='Share of new requests to trace, 0 (off) to 1.',
        read=readers.parse_ratio,
        default='0',
    ),
    Setting(
        name='seed',
        meaning='Seed of random choices, for tests only.',
        read=readers.parse_seed,
        default='',
    ),
)


def read_all(given: Mapping[str, str | None]) -> dict[str, Any]:
    """Read every setting; raise the errors of all wrong ones together."""
    values: dict[str, Any] = {}
    errors: list[SettingInvalidError] = []
    for setting in CATALOG:
        try:
            values[setting.name] = setting.value(given.get(setting.name))
        except SettingInvalidError as error:
            errors.append(error)
    if errors:
        raise SettingsInvalidError(errors=tuple(errors))
    return values


def help_text(setting: Setting) -> str:
    """Write a setting's line of --help."""
    if setting.default is None:
        return f'{setting.meaning}  [required]'
    return f'{setting.meaning}  [default: {setting.default or "none"}]'


def options(command: Callable[..., None]) -> Callable[..., None]:
    """Add a flag with its environment variable for every setting."""
    for setting in reversed(CATALOG):
        option = click.option(
            setting.flag,
            envvar=setting.variable,
            help=help_text(setting),
        )
        command = option(command)
    return command
