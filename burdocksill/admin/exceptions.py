"""Errors of the admin interface."""

from burdocksill.exceptions import BurdocksillError


class AdminUnreachableError(BurdocksillError):
    """Say that a VM's admin interface did not answer."""

    code = 'burdocksill.E103'


class QueryInvalidError(BurdocksillError):
    """Say that an explanation was asked for by nothing that names a flow."""

    code = 'burdocksill.E104'
