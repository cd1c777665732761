"""Checks of an entry VM's settings before it starts with them."""

import ipaddress
from typing import Final

from burdocksill.checks.messages import (
    CheckMessage,
    error_message,
    note,
    warning,
)
from burdocksill.checks.registry import CheckContext
from burdocksill.conf.exceptions import SettingsInvalidError
from burdocksill.conf.settings import Settings, read_settings

PLATFORM: Final = 'platform'


async def check_settings(context: CheckContext) -> list[CheckMessage]:
    """Return errors for invalid settings and warnings for suspicious ones."""
    # Operators' commands share the platform's URL with entry VMs.
    others = {
        name: text
        for name, text in context.settings.items()
        if name != PLATFORM
    }
    if not any(others.values()):
        return [note(1, 'no settings of an entry VM were given')]
    try:
        settings = read_settings(context.settings)
    except SettingsInvalidError as invalid:
        return [error_message(error) for error in invalid.errors]
    return suspicious_settings(settings)


def suspicious_settings(settings: Settings) -> list[CheckMessage]:
    """Return warnings about valid settings that look like mistakes."""
    found: list[CheckMessage] = []
    if ipaddress.ip_address(settings.admin.host).is_unspecified:
        found.append(
            warning(
                1,
                f'--admin is {settings.admin}: every network can reach it',
                'bind it to an internal address; it has no authentication',
            ),
        )
    elif settings.admin.host != settings.peer.host:
        found.append(
            warning(
                2,
                f'--admin is on {settings.admin.host}, --peer on '
                f'{settings.peer.host}',
                'bind both to one host: `burdocksill status` expects that',
            ),
        )
    if settings.seed is not None:
        found.append(
            warning(
                3,
                '--seed makes cookies and epochs predictable',
                'use it in tests only',
            ),
        )
    return found
