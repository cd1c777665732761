"""Errors of sockets."""

from burdocksill.exceptions import BurdocksillError


class AddressUnavailableError(BurdocksillError):
    """An address cannot be bound on this VM."""

    code = 'burdocksill.E010'
