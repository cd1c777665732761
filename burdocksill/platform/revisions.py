"""Revisions of the platform's store, which grow over restores.

A store that is restored from a copy gives numbers of lost changes out again. It
counts its restores in an era, which each answer carries. A revision contains
both, the era above the number, so that a later state has the higher revision.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# A revision has 64 bits in messages between nodes.
NUMBER_BITS: Final = 48
MAX_NUMBER: Final = (1 << NUMBER_BITS) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision of a number in an era; 0, absent, has no era.

    Raise ValueError for a number that exceeds its bits.
    """
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(number)
    return era << NUMBER_BITS | number if number else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision, as the store knows it."""
    return revision & MAX_NUMBER


def show_revision(revision: int) -> str:
    """Return a revision as text for logs: era, if there is one, and number."""
    era = era_of(revision)
    number = number_of(revision)
    return f'{era}.{number}' if era else str(number)
