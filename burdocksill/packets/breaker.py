"""Circuit breaker that steers new flows away from a failure domain.

It uses only what this node observes of its own openings, so that it also works
while the reader that relays observations of other nodes has failed. In a large
fleet each node sees few openings a second. It therefore opens at the first
missed one, unless the domain has just answered, and closes as soon as upstreams
of the domain answer.
"""

from __future__ import annotations

from burdocksill.packets.upstreams import KnownUpstream

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# The breaker stays open for this long after a missed opening. It doubles each
# time that it opens again soon after it has expired without enough answers.
BASE_OPEN_SECONDS: Final = 2.0
# Store entries of failed upstreams have expired by then.
MAX_OPEN_SECONDS: Final = 8.0
# The breaker has no effect for this long after an answer of the domain. Where a
# node sees many answers, the next ones soon show whether a packet was lost.
ANSWERED_SECONDS: Final = 0.1
# The breaker closes sooner when as many upstreams have answered as missed an
# opening. This many answers are enough, however many were missed.
MAX_ANSWERS_TO_CLOSE: Final = 3


class CircuitBreaker:
    """Hold the upstreams of a domain that missed openings or answered since."""

    __slots__ = (
        'answered',
        'last_answered_at',
        'last_missed_at',
        'missed',
        'open_seconds',
        'opened_at',
    )

    def __init__(self) -> None:
        """Start closed."""
        # Infinite until an opening is missed, and after enough answers.
        self.opened_at = float('inf')
        self.last_missed_at = float('-inf')
        self.last_answered_at = float('-inf')
        self.open_seconds = BASE_OPEN_SECONDS
        self.missed: set[KnownUpstream] = set()
        self.answered: set[KnownUpstream] = set()

    def is_open(self, now: float) -> bool:
        """Return True while new flows should avoid the domain."""
        return (
            self.has_recent_miss(now)
            and now - self.last_answered_at > ANSWERED_SECONDS
        )

    def has_recent_miss(self, now: float) -> bool:
        """Return True until enough answers or the end of its time."""
        return (
            self.opened_at <= now
            and now - self.last_missed_at <= self.open_seconds
        )

    @property
    def is_confirmed(self) -> bool:
        """Return True when several upstreams have missed an opening."""
        return len(self.missed) > 1

    def blocks(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True for an upstream that has not answered since the miss.

        Upstreams that were started later have missed nothing.
        """
        return (
            self.is_open(now)
            and upstream.first_seen_at <= self.opened_at
            and upstream not in self.answered
        )

    def record_missed(self, upstream: KnownUpstream, now: float) -> None:
        """Record a missed opening, which opens the breaker."""
        if not self.has_recent_miss(now):
            self.reopen(now)
        self.last_missed_at = now
        self.answered.discard(upstream)
        self.missed.add(upstream)

    def reopen(self, now: float) -> None:
        """Open the breaker, for longer if it has expired a short time ago."""
        has_expired = self.opened_at <= now
        is_recent = now - self.last_missed_at <= 2 * MAX_OPEN_SECONDS
        seconds = BASE_OPEN_SECONDS
        if has_expired and is_recent:
            seconds = min(self.open_seconds * 2, MAX_OPEN_SECONDS)
        self.close()
        self.opened_at = now
        self.open_seconds = seconds

    def record_answered(self, upstream: KnownUpstream, at: float) -> None:
        """Record an answer, and close the breaker if there are enough."""
        if at < self.opened_at:
            return
        self.missed.discard(upstream)
        self.answered.add(upstream)
        needed = min(len(self.missed), MAX_ANSWERS_TO_CLOSE)
        if len(self.answered) >= needed:
            self.close()

    def close(self) -> None:
        """Close the breaker and forget its observations."""
        self.opened_at = float('inf')
        self.missed.clear()
        self.answered.clear()
