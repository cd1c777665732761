"""A wall clock that follows trio's clock and can be made to jump."""

from typing import Final

import attrs
import trio

START: Final = 1_800_000_000.0


@attrs.define(kw_only=True)
class VirtualClock:
    """Tell a made-up time of day; `offset` is how far a host's clock is off."""

    offset: float = 0

    def now(self) -> float:
        """Return seconds since the epoch."""
        return START + trio.current_time() + self.offset
