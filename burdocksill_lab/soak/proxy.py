"""Loopback proxy between a node and the store that injects faults."""

import enum
from typing import Final

import attrs
import trio

from burdocksill_lab.packets.network import Address

READ_BYTES: Final = 65536
DELAY_SECONDS: Final = 0.3


class LinkFault(enum.Enum):
    """Fault that a proxy injects into connections."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    # Calls reach the store, answers are dropped.
    ONE_WAY = 'one way'
    SILENT = 'silent'


@attrs.define(kw_only=True)
class StoreProxy:
    """TCP proxy of one node's connections to the store."""

    store: Address
    fault: LinkFault = LinkFault.NONE
    # Bandwidth of the node's link for answers; 0 is unlimited.
    bytes_per_second: float = 0
    open: list[trio.SocketStream] = attrs.field(factory=list)

    async def serve(self, downstream: trio.SocketStream) -> None:
        """Relay one connection until either side closes it."""
        if self.fault is LinkFault.RESET:
            await trio.aclose_forcefully(downstream)
            return
        store_stream = await trio.open_tcp_stream(*self.store)
        self.open += (downstream, store_stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.relay, downstream, store_stream, nursery
                )
                nursery.start_soon(
                    self.relay, store_stream, downstream, nursery
                )
        finally:
            for stream in (downstream, store_stream):
                self.open.remove(stream)
                await trio.aclose_forcefully(stream)

    async def relay(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        """Relay bytes in one direction, subject to the injected fault."""
        answers = source.socket.getpeername() == self.store
        try:
            while chunk := await source.receive_some(READ_BYTES):
                if self.drops(answers=answers):
                    continue
                await trio.sleep(self.delay(len(chunk), answers=answers))
                await target.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side was reset or killed; close the other one too.
            nursery.cancel_scope.cancel()
        nursery.cancel_scope.cancel()

    def drops(self, *, answers: bool) -> bool:
        """Return True while bytes of this direction are dropped."""
        if self.fault is LinkFault.ONE_WAY:
            return answers
        return self.fault is LinkFault.SILENT

    def delay(self, size: int, *, answers: bool) -> float:
        """Return the delay of `size` bytes in seconds."""
        seconds = DELAY_SECONDS if self.fault is LinkFault.DELAY else 0
        if answers and self.bytes_per_second:
            seconds += size / self.bytes_per_second
        return seconds

    async def set(self, fault: LinkFault) -> None:
        """Set the fault; a reset also closes open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for stream in list(self.open):
                await trio.aclose_forcefully(stream)
