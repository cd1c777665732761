"""Errors of sockets."""

from burdocksill.exceptions import BurdocksillError


class AddressUnavailableError(BurdocksillError):
    """Say that an address cannot be bound on this VM."""

    code = 'burdocksill.E010'
