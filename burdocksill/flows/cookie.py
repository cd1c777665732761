"""The signed cookie that names a flow's upstream, owner and epoch.

The caller carries it in the Echo option (RFC 9175), so that any entry VM can
route a packet without any state of its own.
"""

import enum
import hashlib
import hmac
import struct
from typing import Final, Protocol

import attrs

from burdocksill.flows.exceptions import CookieInvalidError
from burdocksill.flows.keys import KeyHolder
from burdocksill.network.protocols import Address, WallClock

# key id, upstream tag, owner tag, epoch, flow id, issue time, address tag.
LAYOUT: Final = struct.Struct('>B4s4s8s6sI3s')
MAC_BYTES: Final = 10
COOKIE_BYTES: Final = LAYOUT.size + MAC_BYTES
TAG_BYTES: Final = 4
ADDRESS_TAG_BYTES: Final = 3
EPOCH_BYTES: Final = 8
FLOW_ID_BYTES: Final = 6
FLOW_ID_START: Final = 1 + 2 * TAG_BYTES + EPOCH_BYTES
# Where a cookie that this VM sealed itself holds its flow id.
FLOW_ID_SLICE: Final = slice(FLOW_ID_START, FLOW_ID_START + FLOW_ID_BYTES)

# A request with a cookie older than this is not dispatched.
COOKIE_LIFETIME_SECONDS: Final = 300
# RFC 7252, section 4.8.2: no datagram of an exchange is older than this, so a
# cookie past its lifetime and this can belong to no request still awaited.
EXCHANGE_LIFETIME_SECONDS: Final = 247


class CookieAge(enum.Enum):
    """Say how far a cookie is in its life."""

    VALID = 'valid'
    # Its requests are not dispatched, but an earlier copy may have run.
    EXPIRED = 'expired'
    # No copy of a request with it can still be awaited by anyone.
    FORGOTTEN = 'forgotten'


@attrs.frozen(kw_only=True)
class Cookie:
    """Hold what a cookie says; tags are short hashes of names."""

    upstream_tag: bytes
    owner_tag: bytes
    epoch: bytes
    flow_id: bytes
    issued: int
    address_tag: bytes

    def age(self, now: float) -> CookieAge:
        """Say how far the cookie is in its life."""
        seconds = now - self.issued
        if seconds < COOKIE_LIFETIME_SECONDS:
            return CookieAge.VALID
        if seconds < COOKIE_LIFETIME_SECONDS + EXCHANGE_LIFETIME_SECONDS:
            return CookieAge.EXPIRED
        return CookieAge.FORGOTTEN


class CookieSealer(Protocol):
    """Seal and open cookies of one service."""

    def seal(self, *, service: str, cookie: Cookie) -> bytes:
        """Write and sign a cookie."""

    def open(self, *, service: str, sealed: bytes) -> Cookie:
        """Check and read a cookie; raise CookieInvalidError."""


def name_tag(name: str) -> bytes:
    """Return the short hash by which a cookie names a VM or an upstream."""
    return hashlib.blake2b(name.encode(), digest_size=TAG_BYTES).digest()


def address_tag(address: Address) -> bytes:
    """Return the short hash of a caller's address."""
    text = str(address).encode()
    return hashlib.blake2b(text, digest_size=ADDRESS_TAG_BYTES).digest()


@attrs.define(kw_only=True)
class SignedCookieSealer:
    """Sign cookies with keyed BLAKE2 over the service's name and the fields.

    The name is signed but not carried: a cookie of another service fails its
    check, so it cannot lead a packet to the wrong service.
    """

    keys: KeyHolder
    clock: WallClock

    def seal(self, *, service: str, cookie: Cookie) -> bytes:
        """Write and sign a cookie."""
        key = self.keys.require().signing
        body = LAYOUT.pack(
            key.key_id,
            cookie.upstream_tag,
            cookie.owner_tag,
            cookie.epoch,
            cookie.flow_id,
            cookie.issued,
            cookie.address_tag,
        )
        return body + sign(key.secret_bytes, service, body)

    def open(self, *, service: str, sealed: bytes) -> Cookie:
        """Check and read a cookie; raise CookieInvalidError."""
        if len(sealed) != COOKIE_BYTES:
            raise CookieInvalidError(
                message=f'the cookie has {len(sealed)} bytes',
                hint=f'return all {COOKIE_BYTES} bytes as they were given',
            )
        body, mac = sealed[: LAYOUT.size], sealed[LAYOUT.size :]
        fields = LAYOUT.unpack(body)
        key = self.keys.require().find(fields[0])
        if key is None or not hmac.compare_digest(
            mac,
            sign(key.secret_bytes, service, body),
        ):
            raise CookieInvalidError(
                message='the cookie was not signed for this service',
                hint='ask for a new one by a request without a cookie',
            )
        return Cookie(
            upstream_tag=fields[1],
            owner_tag=fields[2],
            epoch=fields[3],
            flow_id=fields[4],
            issued=fields[5],
            address_tag=fields[6],
        )


def sign(secret: bytes, service: str, body: bytes) -> bytes:
    """Return the keyed hash of a service's name and a cookie's fields."""
    digest = hashlib.blake2b(
        service.encode() + b'\0' + body,
        key=secret,
        digest_size=MAC_BYTES,
        person=b'bsill-cookie',
    )
    return digest.digest()
