"""Channel to all other entry VMs over one datagram socket."""

from collections.abc import Callable
from typing import TypeVar

import attrs

from burdocksill.network.protocols import Address, DatagramSocket
from burdocksill.observe.counters import Counters
from burdocksill.peers.envelope import EnvelopeSealer, VerifiedMessage
from burdocksill.peers.exceptions import (
    PeerDatagramError,
    RefusedReason,
    ReplayedDatagramError,
)
from burdocksill.peers.messages import SequenceFloor

Message = TypeVar('Message')


def ignore_unknown_key() -> None:
    """Ignore a datagram under an unknown key."""


@attrs.define(kw_only=True)
class PeerChannel:
    """Send sealed messages and dispatch received ones to handlers."""

    socket: DatagramSocket
    sealer: EnvelopeSealer
    counters: Counters
    handlers: dict[type, Callable[[VerifiedMessage, Address], None]] = (
        attrs.field(
            factory=dict,
        )
    )
    # Called for a datagram under an unknown key, which may be a new one.
    on_unknown_key: Callable[[], None] = ignore_unknown_key

    def send(self, message: object, peer: Address) -> bool:
        """Send one message; callers repeat a lost one if they need it."""
        sealed = self.sealer.seal(message)
        self.counters.add('peer_bytes_sent', len(sealed))
        return self.socket.send(sealed, peer)

    async def run(self) -> None:
        """Receive until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.counters.add('peer_bytes_received', len(datagram.payload))
                self.dispatch(datagram.payload, datagram.peer)

    def count_refused(self, error: PeerDatagramError) -> None:
        """Count a rejected datagram by its reason."""
        self.counters.add('peer_refused', reason=error.reason.value)
        if error.reason is RefusedReason.UNKNOWN_KEY:
            self.on_unknown_key()

    def dispatch(self, payload: bytes, peer: Address) -> None:
        """Verify one datagram and call the handler of its message."""
        try:
            opened = self.sealer.open(payload)
        except ReplayedDatagramError as error:
            self.count_refused(error)
            if error.floor:
                self.send(SequenceFloor(floor=error.floor), peer)
            return
        except PeerDatagramError as error:
            self.count_refused(error)
            return
        if isinstance(opened.message, SequenceFloor):
            self.sealer.raise_sequence(opened.message.floor)
            return
        handler = self.handlers.get(type(opened.message))
        if handler is not None:
            handler(opened, peer)
