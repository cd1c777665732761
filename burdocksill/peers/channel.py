"""One socket to all other entry VMs."""

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
    """Do nothing about a datagram under an unknown key."""


@attrs.define(kw_only=True)
class PeerChannel:
    """Send sealed messages and hand received ones to their handler."""

    socket: DatagramSocket
    sealer: EnvelopeSealer
    counters: Counters
    handlers: dict[type, Callable[[VerifiedMessage, Address], None]] = (
        attrs.field(
            factory=dict,
        )
    )
    # Told of a datagram under a key that this VM lacks: it may be a new one.
    on_unknown_key: Callable[[], None] = ignore_unknown_key

    def send(self, message: object, peer: Address) -> bool:
        """Send one message; a lost one is repeated by whoever needs it."""
        sealed = self.sealer.seal(message)
        self.counters.add('peer_bytes_sent', len(sealed))
        return self.socket.send(sealed, peer)

    async def run(self) -> None:
        """Receive until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.counters.add('peer_bytes_received', len(datagram.payload))
                self.dispatch(datagram.payload, datagram.peer)

    def refuse(self, error: PeerDatagramError) -> None:
        """Count a refused datagram by its reason."""
        self.counters.add('peer_refused', reason=error.reason.value)
        if error.reason is RefusedReason.UNKNOWN_KEY:
            self.on_unknown_key()

    def dispatch(self, payload: bytes, peer: Address) -> None:
        """Open one datagram and call the handler of its kind."""
        try:
            opened = self.sealer.open(payload)
        except ReplayedDatagramError as error:
            self.refuse(error)
            if error.floor:
                self.send(SequenceFloor(floor=error.floor), peer)
            return
        except PeerDatagramError as error:
            self.refuse(error)
            return
        if isinstance(opened.message, SequenceFloor):
            self.sealer.raise_sequence(opened.message.floor)
            return
        handler = self.handlers.get(type(opened.message))
        if handler is not None:
            handler(opened, peer)
