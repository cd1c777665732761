"""End-to-end checksum by which a flow's ends detect a corrupted packet."""

import zlib
from typing import Final

from burdocksill.packets.header import HEADER

CHECKSUM_START: Final = 26
CHECKSUM_END: Final = 30
ECHO_START: Final = 2
ECHO_END: Final = 6


def checksum_of(payload: bytes) -> int:
    """Return the CRC-32 of the bytes that no node may change."""
    body = (
        payload[:ECHO_START]
        + payload[ECHO_END:CHECKSUM_START]
        + payload[CHECKSUM_END:]
    )
    # 0 is reserved for resets that a node sends.
    return zlib.crc32(body) or 1


def with_checksum(payload: bytes) -> bytes:
    """Return the packet with its checksum filled in."""
    checksum = checksum_of(payload).to_bytes(CHECKSUM_END - CHECKSUM_START)
    return payload[:CHECKSUM_START] + checksum + payload[CHECKSUM_END:]


def is_intact(payload: bytes) -> bool:
    """Return True if a packet's checksum is correct."""
    if len(payload) < HEADER.size:
        return False
    received = int.from_bytes(payload[CHECKSUM_START:CHECKSUM_END])
    return received == checksum_of(payload)
