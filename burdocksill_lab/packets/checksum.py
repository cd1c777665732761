"""The sum by which both ends of a flow notice a packet that was changed."""

import zlib
from typing import Final

from burdocksill.packets.header import HEADER

SUM_AT: Final = 26
SUM_END: Final = 30
ECHO_AT: Final = 2
ECHO_END: Final = 6


def checksum_of(payload: bytes) -> int:
    """Return the sum of a packet over all that no node may change."""
    body = payload[:ECHO_AT] + payload[ECHO_END:SUM_AT] + payload[SUM_END:]
    # 0 marks a reset of the system's own.
    return zlib.crc32(body) or 1


def with_checksum(payload: bytes) -> bytes:
    """Return the packet with its sum."""
    total = checksum_of(payload).to_bytes(SUM_END - SUM_AT)
    return payload[:SUM_AT] + total + payload[SUM_END:]


def is_intact(payload: bytes) -> bool:
    """Return True for a packet that is as its sender wrote it."""
    if len(payload) < HEADER.size:
        return False
    stated = int.from_bytes(payload[SUM_AT:SUM_END])
    return stated == checksum_of(payload)
