"""A loopback proxy between one node and the store that harms connections."""

import enum
from typing import Final

import attrs
import trio

from burdocksill_lab.packets.network import Address

READ_BYTES: Final = 65536
DELAY_SECONDS: Final = 0.3


class Harm(enum.Enum):
    """Name what a proxy does to what passes through it."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    # Calls reach the store, answers are lost.
    ONE_WAY = 'one way'
    SILENT = 'silent'


@attrs.define(kw_only=True)
class StoreProxy:
    """Pass a node's connections on to the store."""

    store: Address
    harm: Harm = Harm.NONE
    # What the node's link carries of answers; 0 for any amount.
    bytes_per_second: float = 0
    open: list[trio.SocketStream] = attrs.field(factory=list)

    async def serve(self, near: trio.SocketStream) -> None:
        """Carry one connection until either side ends it."""
        if self.harm is Harm.RESET:
            await trio.aclose_forcefully(near)
            return
        far = await trio.open_tcp_stream(*self.store)
        self.open += (near, far)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.carry, near, far, nursery)
                nursery.start_soon(self.carry, far, near, nursery)
        finally:
            for stream in (near, far):
                self.open.remove(stream)
                await trio.aclose_forcefully(stream)

    async def carry(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        """Pass bytes one way, as the harm allows."""
        answers = source.socket.getpeername() == self.store
        try:
            while chunk := await source.receive_some(READ_BYTES):
                if self.swallows(answers=answers):
                    continue
                await trio.sleep(self.delay(len(chunk), answers=answers))
                await target.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # One side was reset or killed; the other learns by the close.
            nursery.cancel_scope.cancel()
        nursery.cancel_scope.cancel()

    def swallows(self, *, answers: bool) -> bool:
        """Return True while bytes of a direction are lost."""
        if self.harm is Harm.ONE_WAY:
            return answers
        return self.harm is Harm.SILENT

    def delay(self, size: int, *, answers: bool) -> float:
        """Return how long some bytes take to pass, in seconds."""
        seconds = DELAY_SECONDS if self.harm is Harm.DELAY else 0
        if answers and self.bytes_per_second:
            seconds += size / self.bytes_per_second
        return seconds

    async def set(self, harm: Harm) -> None:
        """Harm what passes from now on; a reset ends open connections too."""
        self.harm = harm
        if harm is Harm.RESET:
            for stream in list(self.open):
                await trio.aclose_forcefully(stream)
