"""Read the text of one setting; every error names value and cure."""

import ipaddress
import math
from typing import Final
from urllib.parse import urlsplit

import msgspec

from burdocksill.conf.exceptions import (
    SettingAddressError,
    SettingChoiceError,
    SettingKeysError,
    SettingNameError,
    SettingNumberError,
    SettingUrlError,
)
from burdocksill.flows.exceptions import KeysMissingError
from burdocksill.flows.keys import KeyRing, decode_ring
from burdocksill.network.protocols import Address

LARGEST_PORT: Final = 65535
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
URL_SCHEMES: Final = ('http', 'https')


def parse_address(setting: str, text: str) -> Address:
    """Read host:port; name the setting, the value and the cure."""
    host, separator, port = text.rpartition(':')
    cure = 'write an IP address and a port, as in 10.0.0.1:5683'
    if not separator or not port.isdecimal() or int(port) > LARGEST_PORT:
        raise SettingAddressError(
            message=f'{setting} is {text!r}',
            hint=cure,
        )
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingAddressError(
            message=f'{setting} is {text!r}',
            hint=cure,
        ) from error
    return Address(host, int(port))


def parse_addresses(setting: str, text: str) -> tuple[Address, ...]:
    """Read addresses that are separated by commas; an empty text has none."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(parse_address(setting, part) for part in parts if part)


def require_name(setting: str, text: str) -> str:
    """Refuse an empty or slashed name."""
    if not text or '/' in text:
        raise SettingNameError(
            message=f'{setting} is {text!r}',
            hint='give a name without a slash',
        )
    return text


def parse_url(setting: str, text: str) -> str:
    """Read the URL of the platform."""
    try:
        parts = urlsplit(text)
    except ValueError:
        parts = urlsplit('')
    if parts.scheme not in URL_SCHEMES or not parts.hostname:
        raise SettingUrlError(
            message=f'{setting} is {text!r}',
            hint='write a URL, as in http://10.0.0.9:2379',
        )
    return text.rstrip('/')


def parse_ring(setting: str, text: str) -> KeyRing | None:
    """Read a key ring; an error never shows what was given."""
    if not text:
        return None
    try:
        ring = decode_ring(text.encode())
        # A key that cannot be read would be noticed only when it signs.
        usable = bool(ring.signing.secret_bytes)
    except (msgspec.MsgspecError, ValueError, KeysMissingError):
        usable = False
    if usable:
        return ring
    raise SettingKeysError(
        message=f'{setting} is no key ring',
        hint='give what `burdocksill keys export` prints, all on one line',
    )


def parse_level(setting: str, text: str) -> str:
    """Read a level of the logs."""
    if text.upper() not in LOG_LEVELS:
        raise SettingChoiceError(
            message=f'{setting} is {text!r}',
            hint=f'choose one of {", ".join(LOG_LEVELS)}',
        )
    return text.upper()


def parse_ratio(setting: str, text: str) -> float:
    """Read a number between 0 and 1."""
    try:
        ratio = float(text)
    except ValueError:
        ratio = math.nan
    if 0 <= ratio <= 1:
        return ratio
    raise SettingNumberError(
        message=f'{setting} is {text!r}',
        hint='give a number from 0 to 1',
    )


def parse_seed(setting: str, text: str) -> int | None:
    """Read a whole number; an empty text means that there is none."""
    if not text:
        return None
    try:
        return int(text)
    except ValueError as error:
        raise SettingNumberError(
            message=f'{setting} is {text!r}',
            hint='give a whole number, or leave it out',
        ) from error
