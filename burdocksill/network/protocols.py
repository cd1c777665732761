"""Interfaces of the network and the clock, replaced by fakes in tests."""

from typing import Protocol

import attrs
import trio

from burdocksill.network.addresses import Address

__all__ = ('Address', 'Datagram', 'DatagramSocket', 'Network', 'WallClock')


@attrs.frozen
class Datagram:
    """A received payload and its sender."""

    payload: bytes
    peer: Address


class DatagramSocket(Protocol):
    """Datagram socket that receives in batches."""

    @property
    def local(self) -> Address:
        """Return the bound address."""

    async def receive(self) -> list[Datagram]:
        """Wait for datagrams and return a bounded batch."""

    def send(self, payload: bytes, peer: Address) -> bool:
        """Send without blocking; return False if it was dropped locally."""

    def close(self) -> None:
        """Close the socket."""


class Network(Protocol):
    """Open datagram sockets and outgoing streams."""

    async def open_datagrams(self, local: Address) -> DatagramSocket:
        """Bind a datagram socket."""

    async def connect(self, remote: Address) -> trio.abc.Stream:
        """Open a stream; raise OSError when the peer refuses it."""


class WallClock(Protocol):
    """Time of day, which may jump; use trio's clock for waits."""

    def now(self) -> float:
        """Return seconds since the epoch."""
