"""Retransmission timeout from measured round trips (RFC 6298)."""

from typing import Final

import attrs

# RFC 7252, section 4.8: the timeout before the first measurement.
ACK_TIMEOUT_SECONDS: Final = 2.0
MIN_WAIT_SECONDS: Final = 0.1
SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
DEVIATIONS: Final = 4


@attrs.define(kw_only=True)
class RoundTrip:
    """Estimate the round trip of answers that need no upstream work."""

    smoothed: float = 0
    deviation: float = 0

    @property
    def wait_seconds(self) -> float:
        """Return the retransmission timeout in seconds."""
        if not self.smoothed:
            return ACK_TIMEOUT_SECONDS
        wait = self.smoothed + DEVIATIONS * self.deviation
        return max(MIN_WAIT_SECONDS, wait)

    def measure(self, seconds: float) -> None:
        """Add a sample, of a request that was sent only once, in seconds."""
        if not self.smoothed:
            self.smoothed = seconds
            self.deviation = seconds / 2
            return
        error = abs(seconds - self.smoothed)
        self.deviation += DEVIATION_SMOOTHING * (error - self.deviation)
        self.smoothed += SMOOTHING * (seconds - self.smoothed)
