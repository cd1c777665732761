"""Encoding of the datagrams between nodes."""

import struct
import zlib
from collections.abc import Iterable
from typing import Final

import attrs

from burdocksill.platform.values import StoredValue
from burdocksill.readers.datagrams import (
    Message,
    Observations,
    Offer,
    Update,
    UpdateRequest,
)
from burdocksill.readers.load_wire import decode_load
from burdocksill.readers.messages import Observation
from burdocksill.readers.silence_wire import (
    SILENCE_NOTICES_KIND,
    SILENCE_REPORTS_KIND,
    decode_silence_notices,
    decode_silence_reports,
)

# 1, 2, 4 and 5 are reserved: older nodes use them for messages whose revisions
# have no era, so that nodes of both kinds must not tell each other that they
# are current.
OBSERVATIONS_KIND: Final = 3
UPDATE_REQUEST_KIND: Final = 6
UPDATE_KIND: Final = 7
OFFER_KIND: Final = 8
# Kind, token, revision.
UPDATE_REQUEST: Final = struct.Struct('>BQQ')
# Kind, token, after, revision, age, stable, followers, whether changes follow.
UPDATE: Final = struct.Struct('>BQQQffH?')
MAX_FOLLOWERS: Final = (1 << 16) - 1
# Kind, revision, age.
OFFER: Final = struct.Struct('>BQf')
# Revision, whether the key was removed, length of key and value.
CHANGE: Final = struct.Struct('>Q?HI')
# Echo, reporter, age in milliseconds, whether it answered.
OBSERVATION: Final = struct.Struct('>IHH?')
# As many as one datagram carries without IP fragmentation.
MAX_OBSERVATIONS: Final = 128
MILLISECONDS: Final = 1000
MAX_OBSERVATION_AGE_MS: Final = (1 << 16) - 1
# Maximum size of an update's compressed changes. Each node reads larger changes
# from the store itself. Datagrams of this size are fragmented, and a lost one
# is requested again.
MAX_BODY_BYTES: Final = 8192
# Bounds what a node decompresses for a forged datagram.
MAX_DECOMPRESSED_BYTES: Final = 1 << 20


@attrs.frozen
class UpdateHeader:
    """Hold the fixed part of an update, with fields in wire order."""

    kind: int
    token: int
    after: int
    revision: int
    age: float
    stable: float
    followers: int
    has_changes: bool


def encode_update_request(request: UpdateRequest) -> bytes:
    """Encode an update request."""
    return UPDATE_REQUEST.pack(
        UPDATE_REQUEST_KIND, request.token, request.revision
    )


def decode(payload: bytes, now: float = 0) -> Message | None:
    """Decode a datagram; return None if it is invalid."""
    kind = payload[0] if payload else 0
    if kind == UPDATE_REQUEST_KIND and len(payload) == UPDATE_REQUEST.size:
        return UpdateRequest(
            token=UPDATE_REQUEST.unpack(payload)[1],
            revision=UPDATE_REQUEST.unpack(payload)[2],
        )
    if kind == UPDATE_KIND and len(payload) >= UPDATE.size:
        return decode_update(payload)
    if kind == OBSERVATIONS_KIND:
        return decode_observations(payload[1:], now)
    if kind == OFFER_KIND and len(payload) == OFFER.size:
        return decode_offer(payload)
    if kind == SILENCE_REPORTS_KIND:
        return decode_silence_reports(payload[1:], now)
    if kind == SILENCE_NOTICES_KIND:
        return decode_silence_notices(payload[1:], now)
    return decode_load(payload)


def encode_offer(offer: Offer) -> bytes:
    """Encode an offer."""
    return OFFER.pack(OFFER_KIND, offer.revision, offer.age)


def decode_offer(payload: bytes) -> Offer | None:
    """Decode an offer; return None if its age is invalid."""
    _, revision, age = OFFER.unpack(payload)
    return Offer(revision=revision, age=age) if age >= 0 else None


def encode_observations(
    observations: Iterable[Observation], now: float
) -> bytes:
    """Encode observations with ages, as the clocks of two nodes differ."""
    parts = [bytes((OBSERVATIONS_KIND,))]
    for observation in observations:
        age = round((now - observation.at) * MILLISECONDS)
        age_ms = min(max(age, 0), MAX_OBSERVATION_AGE_MS)
        parts.append(
            OBSERVATION.pack(
                observation.echo,
                observation.reporter,
                age_ms,
                observation.answered,
            ),
        )
    return b''.join(parts)


def decode_observations(body: bytes, now: float) -> Observations | None:
    """Decode observations by the local clock; return None if invalid."""
    count, rest = divmod(len(body), OBSERVATION.size)
    if rest or not 0 < count <= MAX_OBSERVATIONS:
        return None
    return Observations(
        observations=tuple(
            Observation(
                echo=echo,
                reporter=reporter,
                at=now - age / MILLISECONDS,
                answered=answered,
            )
            for echo, reporter, age, answered in OBSERVATION.iter_unpack(body)
        ),
    )


def encode_changes(changes: tuple[StoredValue, ...]) -> bytes | None:
    """Compress changes; return None if they exceed a limit of receivers."""
    parts: list[bytes] = []
    for change in changes:
        key = change.key.encode()
        head = CHANGE.pack(
            change.revision,
            change.removed,
            len(key),
            len(change.value),
        )
        parts.extend((head, key, change.value))
    uncompressed = b''.join(parts)
    if len(uncompressed) > MAX_DECOMPRESSED_BYTES:
        return None
    body = zlib.compress(uncompressed) if uncompressed else b''
    return body if len(body) <= MAX_BODY_BYTES else None


def encode_update(update: Update, body: bytes | None) -> bytes:
    """Encode an update with changes that `encode_changes` compressed."""
    head = UPDATE.pack(
        UPDATE_KIND,
        update.token,
        update.after,
        update.revision,
        update.age,
        update.stable,
        min(update.followers, MAX_FOLLOWERS),
        body is not None,
    )
    return head + (body or b'')


def decode_update(payload: bytes) -> Update | None:
    """Decode an update; return None if it is invalid."""
    head = UpdateHeader(*UPDATE.unpack_from(payload))
    changes = decode_changes(payload[UPDATE.size :])
    # Comparisons with NaN are false.
    is_valid = head.age >= 0 and head.revision >= head.after
    if changes is None or not is_valid:
        return None
    return Update(
        token=head.token,
        after=head.after,
        revision=head.revision,
        age=head.age,
        stable=head.stable,
        followers=head.followers,
        changes=changes if head.has_changes else None,
    )


def decode_changes(compressed: bytes) -> tuple[StoredValue, ...] | None:
    """Decompress and decode changes; return None if they are invalid."""
    if not compressed:
        return ()
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
        if decompressor.unconsumed_tail:
            return None
        return tuple(decode_each_change(body))
    except (zlib.error, struct.error, UnicodeDecodeError, EOFError):
        return None


def decode_each_change(body: bytes) -> list[StoredValue]:
    """Decode all changes; raise EOFError if the last one is truncated."""
    changes: list[StoredValue] = []
    position = 0
    while position < len(body):
        revision, removed, key_size, value_size = CHANGE.unpack_from(
            body, position
        )
        key_at = position + CHANGE.size
        value_at = key_at + key_size
        position = value_at + value_size
        if position > len(body):
            raise EOFError
        changes.append(
            StoredValue(
                key=body[key_at:value_at].decode(),
                value=body[value_at:position],
                revision=revision,
                removed=removed,
            ),
        )
    return changes
