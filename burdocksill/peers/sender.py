"""How the slices send messages to other entry VMs."""

from typing import Protocol

from burdocksill.network.protocols import Address


class PeerSender(Protocol):
    """Send one message; a lost one is repeated by whoever needs it."""

    def send(self, message: object, peer: Address) -> bool:
        """Send without waiting; return False when it was dropped here."""
