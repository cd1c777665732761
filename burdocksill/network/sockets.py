"""Sockets of the operating system on trio."""

import socket
import time
from typing import Final

import attrs
import trio

from burdocksill.network.exceptions import AddressUnavailableError
from burdocksill.network.protocols import Address, Datagram, DatagramSocket

# Most datagrams read in one wake-up, so that a flood on one socket does not
# block the other tasks of the process.
BATCH_LIMIT: Final = 64
RECEIVE_BYTES: Final = 65536
KERNEL_BUFFER_BYTES: Final = 4 * 1024 * 1024


@attrs.define(kw_only=True, eq=False, repr=False)
class PlainDatagramSocket:
    """Datagram socket that is drained whenever it is readable."""

    sock: socket.socket
    local: Address

    async def receive(self) -> list[Datagram]:
        """Wait for datagrams and return a batch of them."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            batch = self.drain()
            if batch:
                return batch

    def drain(self) -> list[Datagram]:
        """Return the waiting datagrams, at most one batch."""
        batch: list[Datagram] = []
        while len(batch) < BATCH_LIMIT:
            try:
                payload, peer = self.sock.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except ConnectionError:
                # ICMP error for an earlier send to a dead peer, reported on
                # the next read; queued datagrams are not affected.
                continue
            batch.append(Datagram(payload, Address(peer[0], peer[1])))
        return batch

    def send(self, payload: bytes, peer: Address) -> bool:
        """Send or drop without blocking; senders retransmit datagrams."""
        try:
            self.sock.sendto(payload, (peer.host, peer.port))
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


@attrs.define(kw_only=True, eq=False, repr=False)
class SocketNetwork:
    """Network of the operating system."""

    async def open_datagrams(self, local: Address) -> DatagramSocket:
        """Bind a non-blocking datagram socket with large kernel buffers."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        try:
            sock.bind((local.host, local.port))
        except OSError as error:
            sock.close()
            raise AddressUnavailableError(
                message=f'{local} cannot be bound: {error.strerror}',
                hint='use an address of this VM that is not in use',
            ) from error
        bound = sock.getsockname()
        return PlainDatagramSocket(
            sock=sock,
            local=Address(bound[0], bound[1]),
        )

    async def connect(self, remote: Address) -> trio.abc.Stream:
        """Open a TCP stream with TCP_NODELAY."""
        return await trio.open_tcp_stream(remote.host, remote.port)


@attrs.define(kw_only=True, eq=False, repr=False)
class SystemClock:
    """Wall clock of the operating system."""

    def now(self) -> float:
        """Return seconds since the epoch."""
        return time.time()
