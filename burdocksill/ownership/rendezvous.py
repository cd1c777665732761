"""Rendezvous hashing: all VMs compute the same owner independently."""

import hashlib
from collections.abc import Iterable

from burdocksill.membership.protocols import Member


def score(member: str, hash_key: str) -> bytes:
    """Return a member's score for a key; the highest score owns it."""
    text = f'{member}\0{hash_key}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def ranked(members: Iterable[Member], hash_key: str) -> list[Member]:
    """Return members in descending order of their score for a key."""
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
