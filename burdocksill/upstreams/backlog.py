"""Retry-after times for refused callers."""

from random import Random
from typing import Final

import attrs

MIN_SECONDS: Final = 1.0
MAX_SECONDS: Final = 30.0
JITTER: Final = 0.5


@attrs.define(kw_only=True)
class Backlog:
    """Compute retry-after times from a virtual queue of refused callers.

    Callers that were given the same time would all retry at once. The virtual
    queue grows with each refusal and drains at the upstream's rate; a time is
    the caller's position in it, with jitter.
    """

    rng: Random
    refused: float = 0
    updated_at: float = 0

    def seconds(self, now: float, *, rate: float, least: float = 0) -> float:
        """Count one refusal and return its retry-after time in seconds.

        `rate` is the requests per second that the upstream can serve, and
        `least` the shortest time to return.
        """
        self.refused = max(0, self.refused - (now - self.updated_at) * rate) + 1
        self.updated_at = now
        wait = self.refused / rate if rate > 0 else MAX_SECONDS
        base = max(MIN_SECONDS, least, min(wait, MAX_SECONDS))
        return base * self.rng.uniform(1, 1 + 2 * JITTER)
