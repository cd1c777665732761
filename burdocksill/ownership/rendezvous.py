"""Rendezvous hashing: every VM finds the same owner without asking."""

import hashlib
from collections.abc import Iterable

from burdocksill.membership.protocols import Member


def score(member: str, hash_key: str) -> bytes:
    """Return a member's score for a subject; the highest owns it."""
    text = f'{member}\0{hash_key}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def ranked(members: Iterable[Member], hash_key: str) -> list[Member]:
    """Return members by falling score for a subject."""
    return sorted(
        members,
        key=lambda member: score(member.name, hash_key),
        reverse=True,
    )


def owner_of(members: Iterable[Member], hash_key: str) -> Member | None:
    """Return the member with the highest score, None without members."""
    return max(
        members,
        key=lambda member: score(member.name, hash_key),
        default=None,
    )
