"""Parsers of single settings; each error has the value and a hint."""

import ipaddress
import math
from typing import Final
from urllib.parse import urlsplit

from burdocksill.conf.exceptions import (
    SettingAddressError,
    SettingChoiceError,
    SettingKeysError,
    SettingNameError,
    SettingNumberError,
    SettingUrlError,
)
from burdocksill.flows.exceptions import KeysInvalidError
from burdocksill.flows.keys import KeyRing, decode_ring
from burdocksill.network.protocols import Address

MAX_PORT: Final = 65535
LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
URL_SCHEMES: Final = ('http', 'https')


def parse_address(setting: str, text: str) -> Address:
    """Parse host:port, or raise SettingAddressError."""
    host, separator, port = text.rpartition(':')
    hint = 'write an IP address and a port, as in 10.0.0.1:5683'
    if not separator or not port.isdecimal() or int(port) > MAX_PORT:
        raise SettingAddressError(
            message=f'{setting} is {text!r}',
            hint=hint,
        )
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingAddressError(
            message=f'{setting} is {text!r}',
            hint=hint,
        ) from error
    return Address(host, int(port))


def parse_addresses(setting: str, text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas; the text may be empty."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(parse_address(setting, part) for part in parts if part)


def require_name(setting: str, text: str) -> str:
    """Return a name; raise SettingNameError if it is empty or has a slash."""
    if not text or '/' in text:
        raise SettingNameError(
            message=f'{setting} is {text!r}',
            hint='give a name without a slash',
        )
    return text


def parse_url(setting: str, text: str) -> str:
    """Parse the platform's URL, or raise SettingUrlError."""
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
    """Parse a key ring, or raise SettingKeysError without the text."""
    if not text:
        return None
    try:
        return decode_ring(text.encode())
    except (KeysInvalidError, UnicodeEncodeError) as error:
        raise SettingKeysError(
            message=f'{setting} is not a key ring',
            hint='give the output of `burdocksill keys export`, on one line',
        ) from error


def parse_level(setting: str, text: str) -> str:
    """Parse a log level, or raise SettingChoiceError."""
    if text.upper() not in LOG_LEVELS:
        raise SettingChoiceError(
            message=f'{setting} is {text!r}',
            hint=f'choose one of {", ".join(LOG_LEVELS)}',
        )
    return text.upper()


def parse_ratio(setting: str, text: str) -> float:
    """Parse a number from 0 to 1; otherwise raise SettingNumberError."""
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
    """Parse an integer, or raise SettingNumberError; empty means None."""
    if not text:
        return None
    try:
        return int(text)
    except ValueError as error:
        raise SettingNumberError(
            message=f'{setting} is {text!r}',
            hint='give a whole number, or leave it out',
        ) from error
