"""Interface for sending messages to other entry VMs."""

from typing import Protocol

from burdocksill.network.protocols import Address


class PeerSender(Protocol):
    """Send one message; callers repeat a lost one if they need it."""

    def send(self, message: object, peer: Address) -> bool:
        """Send without waiting; return False if it was dropped locally."""
