"""Errors of datagrams between entry VMs."""

import enum

from burdocksill.exceptions import BurdocksillError


class RefusedReason(enum.StrEnum):
    """Name why a peer's datagram was refused."""

    SHORT = 'short'
    VERSION = 'version'
    UNKNOWN_KEY = 'unknown-key'
    SIGNATURE = 'signature'
    UNKNOWN_KIND = 'unknown-kind'
    UNREADABLE = 'unreadable'
    REPLAYED = 'replayed'


class PeerDatagramError(BurdocksillError):
    """Say that a datagram is forged, foreign, replayed or unreadable."""

    code = 'burdocksill.E501'

    def __init__(self, *, message: str, reason: RefusedReason) -> None:
        """Store the message and the reason that is counted."""
        super().__init__(message=message)
        self.reason = reason


class ReplayedDatagramError(PeerDatagramError):
    """Say that a sequence number was seen before or is too old."""

    code = 'burdocksill.E502'

    def __init__(self, *, message: str, floor: int) -> None:
        """Store where the sender has to go on, 0 for a plain copy."""
        super().__init__(message=message, reason=RefusedReason.REPLAYED)
        self.floor = floor
