"""Errors of the admin interface."""

from burdocksill.exceptions import BurdocksillError


class AdminUnreachableError(BurdocksillError):
    """Report that a VM's admin interface did not answer."""

    code = 'burdocksill.E103'


class QueryInvalidError(BurdocksillError):
    """Report an explanation query without a valid flow, token or cookie."""

    code = 'burdocksill.E104'
