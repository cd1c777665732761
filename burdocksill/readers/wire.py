"""The datagrams between nodes."""

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
from burdocksill.readers.messages import Observation

ASK_KIND: Final = 1
# 2 stays free: older nodes send another layout under it.
UPDATE_KIND: Final = 5
OBSERVATIONS_KIND: Final = 3
OFFER_KIND: Final = 4
# Kind, token, revision.
ASK: Final = struct.Struct('>BQQ')
# Kind, token, after, revision, age, stable, followers, whether changes follow.
UPDATE: Final = struct.Struct('>BQQQffH?')
MOST_FOLLOWERS: Final = (1 << 16) - 1
# Kind, revision, age.
OFFER: Final = struct.Struct('>BQf')
# Revision, whether the key was removed, length of key and value.
CHANGE: Final = struct.Struct('>Q?HI')
# Echo, reporter, age in milliseconds, whether it answered.
OBSERVATION: Final = struct.Struct('>IHH?')
# What one datagram carries without being split on its way.
MAX_OBSERVATIONS: Final = 128
MILLISECONDS: Final = 1000
MAX_OBSERVATION_AGE_MS: Final = (1 << 16) - 1
# The largest packed changes of an update. What is larger, each node reads from
# the store by one call of its own. Networks carry such a datagram in parts, and
# a lost one is asked for again.
LARGEST_BODY: Final = 8192
# Bounds what a forged datagram can make a node unpack.
LARGEST_UNPACKED: Final = 1 << 20


@attrs.frozen
class UpdateHead:
    """Hold the fixed part of an update; fields stand in wire order."""

    kind: int
    token: int
    after: int
    revision: int
    age: float
    stable: float
    followers: int
    whole: bool


def encode_update_request(ask: UpdateRequest) -> bytes:
    """Write an ask."""
    return ASK.pack(ASK_KIND, ask.token, ask.revision)


def decode(payload: bytes, now: float = 0) -> Message | None:
    """Read a datagram, None for anything that no node would send."""
    kind = payload[0] if payload else 0
    if kind == ASK_KIND and len(payload) == ASK.size:
        return UpdateRequest(
            token=ASK.unpack(payload)[1], revision=ASK.unpack(payload)[2]
        )
    if kind == UPDATE_KIND and len(payload) >= UPDATE.size:
        return decode_update(payload)
    if kind == OBSERVATIONS_KIND:
        return decode_observations(payload[1:], now)
    if kind == OFFER_KIND and len(payload) == OFFER.size:
        return decode_offer(payload)
    return None


def encode_offer(offer: Offer) -> bytes:
    """Write an offer."""
    return OFFER.pack(OFFER_KIND, offer.revision, offer.age)


def decode_offer(payload: bytes) -> Offer | None:
    """Read an offer."""
    _, revision, age = OFFER.unpack(payload)
    return Offer(revision=revision, age=age) if age >= 0 else None


def encode_observations(
    observations: Iterable[Observation], now: float
) -> bytes:
    """Write observations with their ages; clocks of two nodes differ."""
    parts = [bytes((OBSERVATIONS_KIND,))]
    for observation in observations:
        age = round((now - observation.at) * MILLISECONDS)
        bounded = min(max(age, 0), MAX_OBSERVATION_AGE_MS)
        parts.append(
            OBSERVATION.pack(
                observation.echo,
                observation.reporter,
                bounded,
                observation.answered,
            ),
        )
    return b''.join(parts)


def decode_observations(body: bytes, now: float) -> Observations | None:
    """Read observations by this node's clock, None for anything else."""
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
    """Pack changes, None when no node would take them as a datagram."""
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
    plain = b''.join(parts)
    if len(plain) > LARGEST_UNPACKED:
        return None
    body = zlib.compress(plain) if plain else b''
    return body if len(body) <= LARGEST_BODY else None


def encode_update(update: Update, body: bytes | None) -> bytes:
    """Write an update with its changes as `encode_changes` packed them."""
    head = UPDATE.pack(
        UPDATE_KIND,
        update.token,
        update.after,
        update.revision,
        update.age,
        update.stable,
        min(update.followers, MOST_FOLLOWERS),
        body is not None,
    )
    return head + (body or b'')


def decode_update(payload: bytes) -> Update | None:
    """Read an update."""
    head = UpdateHead(*UPDATE.unpack_from(payload))
    changes = decode_changes(payload[UPDATE.size :])
    # Comparisons with a float that is no number are false.
    sound = head.age >= 0 and head.revision >= head.after
    if changes is None or not sound:
        return None
    return Update(
        token=head.token,
        after=head.after,
        revision=head.revision,
        age=head.age,
        stable=head.stable,
        followers=head.followers,
        changes=changes if head.whole else None,
    )


def decode_changes(packed: bytes) -> tuple[StoredValue, ...] | None:
    """Unpack changes, None when they can't be read."""
    if not packed:
        return ()
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, LARGEST_UNPACKED)
        if unpacker.unconsumed_tail:
            return None
        return tuple(split_changes(body))
    except (zlib.error, struct.error, UnicodeDecodeError, EOFError):
        return None


def split_changes(body: bytes) -> list[StoredValue]:
    """Read one change after the other; EOFError where one is cut short."""
    changes: list[StoredValue] = []
    at = 0
    while at < len(body):
        revision, removed, key_size, value_size = CHANGE.unpack_from(body, at)
        key_at = at + CHANGE.size
        value_at = key_at + key_size
        at = value_at + value_size
        if at > len(body):
            raise EOFError
        changes.append(
            StoredValue(
                key=body[key_at:value_at].decode(),
                value=body[value_at:at],
                revision=revision,
                removed=removed,
            ),
        )
    return changes
