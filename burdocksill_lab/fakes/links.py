"""Links that carry a bounded number of bytes a second."""

from typing import Final

import attrs

# A sender has this much under way at most, so that a connection that is closed
# stops loading the link soon.
WINDOW_BYTES: Final = 16384


@attrs.define(kw_only=True)
class SlowLink:
    """Delay what arrives at a host by what its link can carry."""

    bytes_per_second: float
    # When all that was handed over before has passed.
    free_at: float = 0

    def passes_at(self, now: float, size: int) -> float:
        """Return when the last of some bytes has passed."""
        self.free_at = max(self.free_at, now) + size / self.bytes_per_second
        return self.free_at
