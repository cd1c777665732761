"""Service times of an upstream, and detection of sudden increases."""

from typing import Final

import attrs

# Weights of a new sample in the two moving averages.
FAST_WEIGHT: Final = 0.3
SLOW_WEIGHT: Final = 0.02
DEFAULT_SECONDS: Final = 0.05
JUMP_FACTOR: Final = 4.0
# A smaller increase is noise: a cold upstream is slower by more than a few ms.
MIN_JUMP_SECONDS: Final = 0.02
MIN_SAMPLES: Final = 20


@attrs.define(kw_only=True)
class Latency:
    """Keep a fast and a slow moving average of service times, in seconds.

    An upstream can become cold without a restart, for example when its caches
    are dropped or its host is migrated. Its answers then take several times
    as long.
    """

    fast: float = DEFAULT_SECONDS
    slow: float = DEFAULT_SECONDS
    samples: int = 0

    def add(self, seconds: float) -> bool:
        """Add one service time; return True when it reveals a jump."""
        if self.samples == 0:
            self.fast = seconds
            self.slow = seconds
        self.samples += 1
        self.fast += FAST_WEIGHT * (seconds - self.fast)
        self.slow += SLOW_WEIGHT * (seconds - self.slow)
        if not self.jumped():
            return False
        # The new level is the baseline, so that a jump is reported once.
        self.slow = self.fast
        self.samples = 1
        return True

    def jumped(self) -> bool:
        """Return True when the fast average is far above the slow one."""
        enough = self.samples >= MIN_SAMPLES
        large = self.fast - self.slow > MIN_JUMP_SECONDS
        return enough and large and self.fast > JUMP_FACTOR * self.slow
