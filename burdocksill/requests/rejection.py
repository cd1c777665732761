"""CoAP answers to datagrams that are not requests (RFC 7252)."""

import enum
from typing import Final

HEADER_BYTES: Final = 4
VERSION: Final = 1
VERSION_SHIFT: Final = 6
TYPE_SHIFT: Final = 4
TYPE_MASK: Final = 3


class MessageType(enum.IntEnum):
    """List the four message types (RFC 7252, section 3)."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


def reset_for(payload: bytes) -> bytes:
    """Return the Reset for a datagram, empty if it is ignored.

    A malformed confirmable message, an empty one (a ping) and an unexpected
    response are answered with a Reset (sections 4.2 and 4.3). All others, and
    those of another version, are ignored (section 3). A Reset has four bytes,
    so it is never larger than the datagram.
    """
    if not is_confirmable(payload):
        return b''
    first = (VERSION << VERSION_SHIFT) | (MessageType.RST << TYPE_SHIFT)
    return bytes((first, 0)) + payload[2:HEADER_BYTES]


def is_confirmable(payload: bytes) -> bool:
    """Return True for a confirmable message of the supported version."""
    if len(payload) < HEADER_BYTES:
        return False
    version = payload[0] >> VERSION_SHIFT
    kind = (payload[0] >> TYPE_SHIFT) & TYPE_MASK
    return version == VERSION and kind == MessageType.CON
