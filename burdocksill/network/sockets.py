"""Real sockets on trio, drained in batches without blocking."""

import socket
import time
from typing import Final

import attrs
import trio

from burdocksill.network.exceptions import AddressUnavailableError
from burdocksill.network.protocols import Address, Datagram, DatagramSocket

# One wake-up drains at most this many datagrams, so that a flood on one
# socket cannot keep the other tasks of the process from running.
BATCH_LIMIT: Final = 64
RECEIVE_BYTES: Final = 65536
KERNEL_BUFFER_BYTES: Final = 4 * 1024 * 1024


@attrs.define(kw_only=True, eq=False, repr=False)
class PlainDatagramSocket:
    """Drain a plain non-blocking socket once trio says it is readable."""

    plain: socket.socket
    local: Address

    async def receive(self) -> list[Datagram]:
        """Wait for readability, then read until empty or the batch is full."""
        while True:
            await trio.lowlevel.wait_readable(self.plain)
            batch = self.drain()
            if batch:
                return batch

    def drain(self) -> list[Datagram]:
        """Read what is there now, at most one batch."""
        batch: list[Datagram] = []
        while len(batch) < BATCH_LIMIT:
            try:
                payload, peer = self.plain.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except ConnectionError:
                # An ICMP error of an earlier send to a dead peer is reported
                # on the next read; it says nothing about what is queued.
                continue
            batch.append(Datagram(payload, Address(peer[0], peer[1])))
        return batch

    def send(self, payload: bytes, peer: Address) -> bool:
        """Send at once or drop: datagrams are repeated by their sender."""
        try:
            self.plain.sendto(payload, (peer.host, peer.port))
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Release the socket."""
        self.plain.close()


@attrs.define(kw_only=True, eq=False, repr=False)
class SocketNetwork:
    """Open real sockets."""

    async def open_datagrams(self, local: Address) -> DatagramSocket:
        """Bind a non-blocking datagram socket with large kernel buffers."""
        plain = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        plain.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            plain.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        try:
            plain.bind((local.host, local.port))
        except OSError as error:
            plain.close()
            raise AddressUnavailableError(
                message=f'{local} cannot be bound: {error.strerror}',
                hint='give an address of this VM that no process holds',
            ) from error
        bound = plain.getsockname()
        return PlainDatagramSocket(
            plain=plain,
            local=Address(bound[0], bound[1]),
        )

    async def connect(self, remote: Address) -> trio.abc.Stream:
        """Open a TCP stream without Nagle's delay."""
        return await trio.open_tcp_stream(remote.host, remote.port)


@attrs.define(kw_only=True, eq=False, repr=False)
class SystemClock:
    """Tell the time of day by the system clock."""

    def now(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
