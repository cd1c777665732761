"""Addresses of processes, without anything that could open them."""

import attrs


@attrs.frozen(order=True)
class Address:
    """Name one IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Write the address as host:port."""
        return f'{self.host}:{self.port}'
