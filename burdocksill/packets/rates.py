"""Rates of events, estimated with exponential decay."""

from __future__ import annotations

import math

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Time constant of a rate that settles.
SETTLING_SECONDS: Final = 10.0
# A younger rate rests on too few events.
MIN_AGE_SECONDS: Final = 1.0


class DecayingRate:
    """Count events per second with exponential decay."""

    __slots__ = ('per_second', 'seconds', 'updated_at')

    def __init__(self, seconds: float) -> None:
        """Store the time constant and start without events."""
        self.seconds = seconds
        self.per_second: float = 0
        self.updated_at: float = 0

    def at(self, now: float) -> float:
        """Return the events per second."""
        elapsed = max(0, now - self.updated_at)
        return self.per_second * math.exp(-elapsed / self.seconds)

    def count(self, now: float) -> None:
        """Count one event."""
        self.per_second = self.at(now) + 1 / self.seconds
        self.updated_at = now


class SettlingRate:
    """Estimate a rate of events that is meaningful soon after its start."""

    __slots__ = ('decaying', 'started_at')

    def __init__(self, now: float) -> None:
        """Start without events."""
        self.decaying = DecayingRate(SETTLING_SECONDS)
        self.started_at = now

    def record(self, now: float) -> None:
        """Count an event."""
        self.decaying.count(now)

    def at(self, now: float) -> float:
        """Return the events per second."""
        age = max(MIN_AGE_SECONDS, now - self.started_at)
        counted = 1 - math.exp(-age / SETTLING_SECONDS)
        return self.decaying.at(now) / counted
