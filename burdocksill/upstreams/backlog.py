"""When callers that were refused should come back."""

from random import Random
from typing import Final

import attrs

SHORTEST_SECONDS: Final = 1.0
LONGEST_SECONDS: Final = 30.0
SPREAD: Final = 0.5


@attrs.define(kw_only=True)
class Backlog:
    """Count refused callers as if they queued, and tell each its turn.

    Callers told the same time come back as the same storm. The time grows
    with the number refused, shrinks as the upstream works, and is jittered.
    """

    rng: Random
    refused: float = 0
    seen: float = 0

    def seconds(self, now: float, *, rate: float, least: float = 0) -> float:
        """Count one refusal and return its time to come back.

        `rate` is how many requests the upstream can serve a second.
        """
        self.refused = max(0, self.refused - (now - self.seen) * rate) + 1
        self.seen = now
        turn = self.refused / rate if rate > 0 else LONGEST_SECONDS
        base = max(SHORTEST_SECONDS, least, min(turn, LONGEST_SECONDS))
        return base * self.rng.uniform(1, 1 + 2 * SPREAD)
