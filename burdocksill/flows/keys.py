"""Fleet keys, which the platform stores and which rotate with overlap."""

import base64
import secrets
from typing import Final

import attrs
import msgspec

from burdocksill.decoding import decode_json
from burdocksill.flows.exceptions import KeysInvalidError, KeysMissingError

SECRET_BYTES: Final = 32
KEY_ID_LIMIT: Final = 256


@attrs.frozen(kw_only=True)
class FleetKey:
    """Hold one secret and its one-byte id."""

    key_id: int
    secret: str

    @property
    def secret_bytes(self) -> bytes:
        """Return the secret as bytes."""
        return base64.b64decode(self.secret)


@attrs.frozen(kw_only=True)
class KeyRing:
    """Hold the signing key and all keys that are accepted."""

    current: int
    keys: tuple[FleetKey, ...]

    def find(self, key_id: int) -> FleetKey | None:
        """Return an accepted key by id."""
        for key in self.keys:
            if key.key_id == key_id:
                return key
        return None

    @property
    def signing(self) -> FleetKey:
        """Return the signing key; raise KeysMissingError without it."""
        key = self.find(self.current)
        if key is None:
            raise KeysMissingError(
                message=f'the ring lacks its current key {self.current}',
                hint='run: burdocksill keys rotate',
            )
        return key


@attrs.define(kw_only=True)
class KeyHolder:
    """Hold the current key ring of this VM, if it has one."""

    ring: KeyRing | None = None
    revision: int = 0

    def require(self) -> KeyRing:
        """Return the key ring; raise KeysMissingError without one."""
        if self.ring is None:
            raise KeysMissingError(
                message='this VM has learned no fleet keys yet',
                hint='check that the platform or a peer can be reached',
            )
        return self.ring


def decode_ring(encoded: bytes) -> KeyRing:
    """Decode a key ring from its stored form; raise KeysInvalidError.

    All keys are checked here, or one would only fail when it signs.
    """
    try:
        ring = decode_json(encoded, KeyRing)
        usable = ring.find(ring.current) is not None and all(
            0 <= key.key_id < KEY_ID_LIMIT and key.secret_bytes
            for key in ring.keys
        )
    except (msgspec.MsgspecError, ValueError):
        usable = False
    if usable:
        return ring
    raise KeysInvalidError(
        message='the fleet keys cannot be read',
        hint='write them again from the last export',
    )


def encode_ring(ring: KeyRing) -> bytes:
    """Encode a key ring in its stored form."""
    return msgspec.json.encode(ring)


def rotate(ring: KeyRing | None) -> KeyRing:
    """Return a ring with a new signing key and the previous one."""
    previous = () if ring is None else (ring.signing,)
    key_id = 1 if ring is None else (ring.current + 1) % KEY_ID_LIMIT
    secret = base64.b64encode(secrets.token_bytes(SECRET_BYTES)).decode()
    new_key = FleetKey(key_id=key_id, secret=secret)
    return KeyRing(current=key_id, keys=(new_key, *previous))
