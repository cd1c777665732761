"""Errors of cookies and fleet keys."""

from burdocksill.exceptions import BurdocksillError


class CookieInvalidError(BurdocksillError):
    """Report a cookie that is forged, truncated or of another service."""

    code = 'burdocksill.E301'


class CookieExpiredError(BurdocksillError):
    """Report a valid cookie that is older than its lifetime."""

    code = 'burdocksill.E302'


class KeysMissingError(BurdocksillError):
    """Report that this VM has no fleet keys yet."""

    code = 'burdocksill.E303'


class KeysInvalidError(BurdocksillError):
    """Report stored fleet keys that cannot be used, without their secrets."""

    code = 'burdocksill.E304'
