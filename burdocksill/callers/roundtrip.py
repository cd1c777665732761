"""How long to wait before a repeat (RFC 6298)."""

from typing import Final

import attrs

# RFC 7252, section 4.8: the wait before anything was measured.
ACK_TIMEOUT_SECONDS: Final = 2.0
SHORTEST_WAIT_SECONDS: Final = 0.1
SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
DEVIATIONS: Final = 4


@attrs.define(kw_only=True)
class RoundTrip:
    """Estimate the time to an answer that needs no work at the upstream."""

    smoothed: float = 0
    deviation: float = 0

    @property
    def wait_seconds(self) -> float:
        """Return how long to wait for an answer before a repeat."""
        if not self.smoothed:
            return ACK_TIMEOUT_SECONDS
        wait = self.smoothed + DEVIATIONS * self.deviation
        return max(SHORTEST_WAIT_SECONDS, wait)

    def measure(self, seconds: float) -> None:
        """Take one sample of a request that was sent only once."""
        if not self.smoothed:
            self.smoothed = seconds
            self.deviation = seconds / 2
            return
        error = abs(seconds - self.smoothed)
        self.deviation += DEVIATION_SMOOTHING * (error - self.deviation)
        self.smoothed += SMOOTHING * (seconds - self.smoothed)
