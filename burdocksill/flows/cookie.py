"""Signed cookies that name a flow's upstream, owner and epoch.

The caller sends the cookie in the Echo option (RFC 9175), so that any entry VM
can route a packet without per-flow state.
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

# Key id, upstream tag, owner tag, epoch, flow id, issue time, address tag.
LAYOUT: Final = struct.Struct('>B4s4s8s6sI3s')
MAC_BYTES: Final = 10
COOKIE_BYTES: Final = LAYOUT.size + MAC_BYTES
TAG_BYTES: Final = 4
ADDRESS_TAG_BYTES: Final = 3
EPOCH_BYTES: Final = 8
FLOW_ID_BYTES: Final = 6
FLOW_ID_START: Final = 1 + 2 * TAG_BYTES + EPOCH_BYTES
# Position of the flow id in a cookie. Only for cookies that this VM sealed, as
# the signature is not checked.
FLOW_ID_SLICE: Final = slice(FLOW_ID_START, FLOW_ID_START + FLOW_ID_BYTES)

# A request with a cookie older than this is not dispatched.
COOKIE_LIFETIME_SECONDS: Final = 300
# EXCHANGE_LIFETIME of RFC 7252, section 4.8.2: no datagram of an exchange is
# older. After the cookie lifetime and this time, no caller awaits a request
# with the cookie any more.
EXCHANGE_LIFETIME_SECONDS: Final = 247


class CookieAge(enum.Enum):
    """Classify the age of a cookie."""

    VALID = 'valid'
    # Requests with it are not dispatched, but an earlier copy may have run.
    EXPIRED = 'expired'
    # No caller can still await a request with it.
    FORGOTTEN = 'forgotten'


@attrs.frozen(kw_only=True)
class Cookie:
    """Hold the fields of a cookie; tags are short hashes of names."""

    upstream_tag: bytes
    owner_tag: bytes
    epoch: bytes
    flow_id: bytes
    issued: int
    address_tag: bytes

    def age(self, now: float) -> CookieAge:
        """Return the age class of the cookie at a time in seconds."""
        seconds = now - self.issued
        if seconds < COOKIE_LIFETIME_SECONDS:
            return CookieAge.VALID
        if seconds < COOKIE_LIFETIME_SECONDS + EXCHANGE_LIFETIME_SECONDS:
            return CookieAge.EXPIRED
        return CookieAge.FORGOTTEN


class CookieSealer(Protocol):
    """Seal and open cookies of one service."""

    def seal(self, *, service: str, cookie: Cookie) -> bytes:
        """Encode and sign a cookie."""

    def open(self, *, service: str, sealed: bytes) -> Cookie:
        """Verify and decode a cookie; raise CookieInvalidError."""


def name_tag(name: str) -> bytes:
    """Return the short hash that stands for a VM or upstream name."""
    return hashlib.blake2b(name.encode(), digest_size=TAG_BYTES).digest()


def address_tag(address: Address) -> bytes:
    """Return the short hash of a caller's address."""
    text = str(address).encode()
    return hashlib.blake2b(text, digest_size=ADDRESS_TAG_BYTES).digest()


@attrs.define(kw_only=True)
class SignedCookieSealer:
    """Sign cookies with keyed BLAKE2 over the service name and the fields.

    The service name is signed but not part of the cookie. So a cookie of
    another service fails verification and cannot route a packet to the wrong
    service.
    """

    keys: KeyHolder
    clock: WallClock

    def seal(self, *, service: str, cookie: Cookie) -> bytes:
        """Encode and sign a cookie."""
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
        """Verify and decode a cookie; raise CookieInvalidError."""
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
