"""Revisions of the platform's store, which grow over restores.

A store that is restored from a copy gives numbers of lost changes out again. It
counts its restores in an era, which each answer carries. A revision contains
both, the era above the number, so that a later state has the higher revision.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

NUMBER_BITS: Final = 40
NUMBER_MASK: Final = (1 << NUMBER_BITS) - 1


def join_revision(era: int, number: int) -> int:
    """Return the revision of a number in an era; 0, absent, has no era."""
    return era << NUMBER_BITS | number if number else 0


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision, as the store knows it."""
    return revision & NUMBER_MASK


def show_revision(revision: int) -> str:
    """Return a revision as text for logs: era, if there is one, and number."""
    era = era_of(revision)
    number = number_of(revision)
    return f'{era}.{number}' if era else str(number)
