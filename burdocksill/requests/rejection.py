"""What CoAP answers to a datagram that holds no request (RFC 7252)."""

import enum
from typing import Final

HEADER_BYTES: Final = 4
VERSION: Final = 1
VERSION_SHIFT: Final = 6
TYPE_SHIFT: Final = 4
TYPE_MASK: Final = 3


class MessageType(enum.IntEnum):
    """Name the four types of messages (section 3)."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3


def reset_for(payload: bytes) -> bytes:
    """Return the Reset that a datagram gets, empty when it gets nothing.

    A confirmable message that cannot be read, an empty one (a ping) and a
    response that nobody awaits are reset (sections 4.2 and 4.3). Any other is
    ignored, and so is whatever has another version (section 3). A Reset has
    four bytes: never more than what it answers.
    """
    if not is_confirmable(payload):
        return b''
    first = (VERSION << VERSION_SHIFT) | (MessageType.RST << TYPE_SHIFT)
    return bytes((first, 0)) + payload[2:HEADER_BYTES]


def is_confirmable(payload: bytes) -> bool:
    """Return True for a confirmable message of our version."""
    if len(payload) < HEADER_BYTES:
        return False
    version = payload[0] >> VERSION_SHIFT
    kind = (payload[0] >> TYPE_SHIFT) & TYPE_MASK
    return version == VERSION and kind == MessageType.CON
