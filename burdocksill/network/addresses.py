"""Addresses of processes, without anything that could open them."""

from __future__ import annotations

from burdocksill.values import Value


class Address(Value):
    """Name one IP address and port."""

    __slots__ = ('host', 'port')

    def __init__(
        self,
        host: str,
        port: int,
    ) -> None:
        """Take all fields."""
        self.host = host
        self.port = port

    def __str__(self) -> str:
        """Write the address as host:port."""
        return f'{self.host}:{self.port}'
