"""Interface of payloads that heartbeats piggyback."""

from typing import Protocol

from burdocksill.membership.protocols import Member


class Piggyback(Protocol):
    """Encode a payload for each heartbeat, and handle received ones."""

    def pack(self) -> bytes:
        """Return the payload of the next heartbeat, of a bounded size."""

    def take(self, packed: bytes, sender: Member) -> None:
        """Handle the payload of a member's heartbeat."""


class NoPiggyback:
    """Piggyback nothing."""

    def pack(self) -> bytes:
        """Return an empty payload."""
        return b''

    def take(self, packed: bytes, sender: Member) -> None:
        """Ignore a payload."""
