"""What an upstream's answers take, and whether that has jumped."""

from typing import Final

import attrs

FAST_SHARE: Final = 0.3
SLOW_SHARE: Final = 0.02
DEFAULT_SECONDS: Final = 0.05
JUMP_FACTOR: Final = 4.0
# Below this a jump is noise: no upstream turns cold within a few ms.
SMALLEST_JUMP_SECONDS: Final = 0.02
SAMPLES_BEFORE_JUMP: Final = 20


@attrs.define(kw_only=True)
class Latency:
    """Keep a quick and a slow moving average of service times.

    An upstream can turn cold without a restart (its caches were dropped, its
    host was moved). It then shows as answers that take several times as long.
    """

    fast: float = DEFAULT_SECONDS
    slow: float = DEFAULT_SECONDS
    samples: int = 0

    def add(self, seconds: float) -> bool:
        """Add one service time; return True when it has just jumped."""
        if self.samples == 0:
            self.fast = seconds
            self.slow = seconds
        self.samples += 1
        self.fast += FAST_SHARE * (seconds - self.fast)
        self.slow += SLOW_SHARE * (seconds - self.slow)
        if not self.jumped():
            return False
        # The new level is the base from here: one jump is told once.
        self.slow = self.fast
        self.samples = 1
        return True

    def jumped(self) -> bool:
        """Return True when the quick average left the slow one behind."""
        known = self.samples >= SAMPLES_BEFORE_JUMP
        large = self.fast - self.slow > SMALLEST_JUMP_SECONDS
        return known and large and self.fast > JUMP_FACTOR * self.slow
