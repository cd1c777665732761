"""Addresses, in a module without imports that delay a start."""

from __future__ import annotations

from burdocksill.values import Value


class Address(Value):
    """An IP address and port."""

    __slots__ = ('host', 'port')

    def __init__(
        self,
        host: str,
        port: int,
    ) -> None:
        """Store the host and the port."""
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Return host:port."""
        return f'{self.host}:{self.port}'
