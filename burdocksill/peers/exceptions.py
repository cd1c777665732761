"""Errors of datagrams between entry VMs."""

import enum

from burdocksill.exceptions import BurdocksillError


class RefusedReason(enum.StrEnum):
    """Reason for which a peer's datagram was rejected."""

    SHORT = 'short'
    VERSION = 'version'
    UNKNOWN_KEY = 'unknown-key'
    SIGNATURE = 'signature'
    UNKNOWN_KIND = 'unknown-kind'
    UNREADABLE = 'unreadable'
    REPLAYED = 'replayed'


class PeerDatagramError(BurdocksillError):
    """Say that a datagram is not authentic, replayed or invalid."""

    code = 'burdocksill.E501'

    def __init__(self, *, message: str, reason: RefusedReason) -> None:
        """Store the message and the reason, by which it is counted."""
        super().__init__(message=message)
        self.reason = reason


class ReplayedDatagramError(PeerDatagramError):
    """Say that a sequence number is replayed or too old."""

    code = 'burdocksill.E502'

    def __init__(self, *, message: str, floor: int) -> None:
        """Store the floor for the sender's sequence, 0 for a duplicate."""
        super().__init__(message=message, reason=RefusedReason.REPLAYED)
        self.floor = floor
