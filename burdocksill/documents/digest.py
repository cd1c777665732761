"""Digest by which two VMs compare their records."""

import hashlib
import struct
from collections.abc import Iterable
from typing import Final

import attrs

from burdocksill.documents.models import VersionedRecord

# highest revision, combined hash.
LAYOUT: Final = struct.Struct('>QQ')
HASH_BYTES: Final = 8


@attrs.frozen(kw_only=True)
class Digest:
    """Hold an order-independent digest of a set of records."""

    highest: int = 0
    combined: int = 0

    def pack(self) -> bytes:
        """Encode the digest."""
        return LAYOUT.pack(self.highest, self.combined)


def digest_of(records: Iterable[VersionedRecord]) -> Digest:
    """Return the digest of records."""
    highest = 0
    combined = 0
    for record in records:
        highest = max(highest, record.revision)
        named = f'{record.revision}/{record.key}'.encode()
        hashed = hashlib.blake2b(named, digest_size=HASH_BYTES).digest()
        combined ^= int.from_bytes(hashed, 'big')
    return Digest(highest=highest, combined=combined)


def unpack_digest(packed: bytes) -> Digest | None:
    """Decode a digest; return None for another length."""
    if len(packed) != LAYOUT.size:
        return None
    highest, combined = LAYOUT.unpack(packed)
    return Digest(highest=highest, combined=combined)
