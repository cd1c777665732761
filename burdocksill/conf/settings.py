"""Settings of one entry VM, from flags and environment variables."""

from collections.abc import Mapping
from typing import Final

import attrs

from burdocksill.conf.catalog import parse_all
from burdocksill.conf.exceptions import (
    SettingsClashError,
    SettingsInvalidError,
)
from burdocksill.conf.readers import parse_address, require_name
from burdocksill.flows.keys import KeyRing
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address

DEFAULT_LOG_LEVEL: Final = 'INFO'

__all__ = ('Settings', 'parse_address', 'read_settings', 'require_name')


@attrs.frozen(kw_only=True)
class Settings:
    """Hold the settings of one entry VM."""

    name: str
    domain: str
    listen: Address
    peer: Address
    admin: Address
    platform: str
    seeds: tuple[Address, ...] = ()
    keys: KeyRing | None = attrs.field(default=None, repr=False)
    log_level: str = DEFAULT_LOG_LEVEL
    trace_ratio: float = 0
    seed: int | None = None

    @property
    def member(self) -> Member:
        """Return the member that this VM is in the fleet."""
        return Member(
            name=self.name,
            domain=self.domain,
            peer_address=self.peer,
        )


def read_settings(given: Mapping[str, str | None]) -> Settings:
    """Parse all settings, or raise SettingsInvalidError with every error."""
    settings = Settings(**parse_all(given))
    if settings.listen == settings.peer:
        raise SettingsInvalidError(
            errors=(
                SettingsClashError(
                    message=f'--listen and --peer are both {settings.peer}',
                    hint='give each its own port',
                ),
            ),
        )
    return settings
