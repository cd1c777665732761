"""What clients' packets tell of an upstream, without asking it.

A node sees only what clients send. An acknowledgement that advances proves
that the upstream lives; the same data sent again without one says that it did
not answer. A false health answer cannot change either.
"""

from typing import Final

import attrs

# Seconds for which an upstream gets no new flow after it missed an opening;
# each miss in a row doubles it. One second is five times a client's first
# repeat (0.2 s): several clients' openings are spared, and a single lost
# datagram costs the upstream little.
FIRST_PAUSE_SECONDS: Final = 1.0
LONGEST_PAUSE_SECONDS: Final = 8.0
# An upstream is called dark when this many flows wait on it without a sign of
# life since they began to. One or two may have lost their datagrams.
DARK_FLOWS: Final = 3
# The oldest of them has sent again at 0.2 s and at 0.6 s by then. An upstream
# that only works slowly acknowledges the first repeat.
DARK_SECONDS: Final = 0.65
SILENT_KEPT: Final = 16


@attrs.define(kw_only=True)
class UpstreamHealth:
    """Hold the signs of life of one upstream."""

    heard_at: float = 0
    aside_until: float = 0
    pause: float = FIRST_PAUSE_SECONDS
    # Flows whose data was repeated, with the time when it was first sent.
    silent: dict[tuple[int, ...], float] = attrs.field(factory=dict)

    def heard(self, now: float) -> None:
        """Take note that the upstream answered a client."""
        self.heard_at = now
        if self.silent:
            self.silent.clear()
        if self.aside_until:
            self.aside_until = 0
            self.pause = FIRST_PAUSE_SECONDS

    def missed(self, now: float, sent_at: float) -> bool:
        """Put it aside after an opening it did not answer; True if it was."""
        if self.heard_at > sent_at or now < self.aside_until:
            return False
        self.aside_until = now + self.pause
        self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)
        return True

    def unanswered(self, flow: tuple[int, ...], since: float) -> None:
        """Take note of a flow whose data the client sent again."""
        if since > self.heard_at and len(self.silent) < SILENT_KEPT:
            self.silent.setdefault(flow, since)

    def is_aside(self, now: float) -> bool:
        """Return True while it should get no new flow if others can."""
        return now < self.aside_until or len(self.silent) >= DARK_FLOWS

    def is_dark(self, now: float) -> bool:
        """Return True when flows on it are lost as far as clients can tell."""
        if len(self.silent) < DARK_FLOWS:
            return False
        return now - min(self.silent.values()) >= DARK_SECONDS
