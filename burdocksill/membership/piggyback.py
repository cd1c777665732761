"""What other slices let heartbeats carry."""

from typing import Protocol

from burdocksill.membership.protocols import Member


class Piggyback(Protocol):
    """Write a few bytes for each heartbeat and read what others wrote."""

    def pack(self) -> bytes:
        """Return what the next heartbeat carries, within a fixed budget."""

    def take(self, packed: bytes, sender: Member) -> None:
        """Read what a member's heartbeat carried."""


class NoPiggyback:
    """Carry nothing."""

    def pack(self) -> bytes:
        """Return nothing."""
        return b''

    def take(self, packed: bytes, sender: Member) -> None:
        """Pass over what a member sent."""
