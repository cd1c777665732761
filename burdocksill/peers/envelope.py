"""Authenticated envelope of datagrams between entry VMs."""

import hashlib
import hmac
import struct
from typing import Final

import attrs
import msgspec

from burdocksill.flows.cookie import TAG_BYTES, name_tag
from burdocksill.flows.keys import KeyHolder
from burdocksill.network.protocols import WallClock
from burdocksill.peers.exceptions import (
    PeerDatagramError,
    RefusedReason,
    ReplayedDatagramError,
)
from burdocksill.peers.messages import MESSAGE_KINDS
from burdocksill.peers.replay import ReplayGuard

# version, key id, kind, sender tag, send time in microseconds, sequence.
HEADER: Final = struct.Struct('>BBB4sQQ')
VERSION: Final = 2
# A sequence starts at the time of its process's start, shifted by these bits.
SEQUENCE_BITS: Final = 32
MAC_BYTES: Final = 16
MICROSECONDS: Final = 1_000_000


@attrs.frozen(kw_only=True)
class VerifiedMessage:
    """Hold a message of an authenticated sender."""

    sender_tag: bytes
    sent_at: float
    message: object


@attrs.define(kw_only=True)
class EnvelopeSealer:
    """Sign and verify the datagrams of one VM."""

    sender: str
    keys: KeyHolder
    clock: WallClock
    kinds: dict[type, int] = attrs.field(init=False)
    decoders: dict[int, msgspec.msgpack.Decoder[object]] = attrs.field(
        init=False,
    )
    encoder: msgspec.msgpack.Encoder = attrs.field(
        factory=msgspec.msgpack.Encoder,
    )
    replay_guard: ReplayGuard = attrs.field(factory=ReplayGuard)
    sequence: int = 0

    def __attrs_post_init__(self) -> None:
        """Create one decoder for each kind."""
        self.kinds = {kind: number for number, kind in MESSAGE_KINDS.items()}
        self.decoders = {
            number: msgspec.msgpack.Decoder(kind)
            for number, kind in MESSAGE_KINDS.items()
        }

    def next_sequence(self) -> int:
        """Return the next sequence number.

        Numbers start from the clock, so that a restarted process continues
        above those of the previous one.
        """
        if not self.sequence:
            self.sequence = int(self.clock.now()) << SEQUENCE_BITS
        self.sequence += 1
        return self.sequence

    def raise_sequence(self, floor: int) -> None:
        """Continue above the numbers that a peer has seen.

        After a restart with a clock that was set back, new numbers look
        replayed. A peer that rejects them answers with a signed floor.
        """
        self.sequence = max(self.sequence, floor)

    def seal(self, message: object) -> bytes:
        """Encode and sign one message."""
        key = self.keys.require().signing
        header = HEADER.pack(
            VERSION,
            key.key_id,
            self.kinds[type(message)],
            name_tag(self.sender),
            int(self.clock.now() * MICROSECONDS),
            self.next_sequence(),
        )
        body = header + self.encoder.encode(message)
        return body + sign(key.secret_bytes, body)

    def open(self, payload: bytes) -> VerifiedMessage:
        """Verify and decode one datagram; raise PeerDatagramError."""
        body = self.verify_body(payload)
        kind, sender, sent, sequence = HEADER.unpack_from(body)[2:]
        decoder = self.decoders.get(kind)
        if decoder is None:
            raise PeerDatagramError(
                message=f'kind {kind} is unknown',
                reason=RefusedReason.UNKNOWN_KIND,
            )
        try:
            message = decoder.decode(body[HEADER.size :])
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PeerDatagramError(
                message=str(error),
                reason=RefusedReason.UNREADABLE,
            ) from error
        if not self.replay_guard.accept(sender, sequence):
            raise ReplayedDatagramError(
                message=f'sequence {sequence} is replayed or too old',
                floor=self.replay_guard.floor(sender, sequence),
            )
        return VerifiedMessage(
            sender_tag=sender[:TAG_BYTES],
            sent_at=sent / MICROSECONDS,
            message=message,
        )

    def verify_body(self, payload: bytes) -> bytes:
        """Return the body of a valid signature; raise PeerDatagramError."""
        if len(payload) < HEADER.size + MAC_BYTES:
            raise PeerDatagramError(
                message=f'{len(payload)} bytes are too short for an envelope',
                reason=RefusedReason.SHORT,
            )
        body, mac = payload[:-MAC_BYTES], payload[-MAC_BYTES:]
        version, key_id = body[0], body[1]
        if version != VERSION:
            raise PeerDatagramError(
                message=f'version {version} is not {VERSION}',
                reason=RefusedReason.VERSION,
            )
        key = self.keys.ring.find(key_id) if self.keys.ring else None
        if key is None:
            raise PeerDatagramError(
                message=f'key {key_id} is not in force',
                reason=RefusedReason.UNKNOWN_KEY,
            )
        if not hmac.compare_digest(mac, sign(key.secret_bytes, body)):
            raise PeerDatagramError(
                message='the signature does not match',
                reason=RefusedReason.SIGNATURE,
            )
        return body


def sign(secret: bytes, body: bytes) -> bytes:
    """Return the keyed hash of a datagram's body."""
    digest = hashlib.blake2b(
        body,
        key=secret,
        digest_size=MAC_BYTES,
        person=b'bsill-peer',
    )
    return digest.digest()
