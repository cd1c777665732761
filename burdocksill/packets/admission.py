"""Decide whether the upstreams of a service can take one more flow in time.

Answers the load of more clients than there are slots: every queue fills, and
nearly all answers come late. A refused opening has run nowhere, and its client
may return; one that waits behind a full queue is late for certain.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Requests in progress for each slot, as far as one node sees them: where an
# observation starts, and above which nothing is concluded.
MOST_IN_PROGRESS: Final = 3.0
# An answer is in time for a client if it is seen within this part of the
# objective: the opening and the way to the client take the rest.
OBJECTIVE_SHARE: Final = 0.75
# How far one late answer moves the limit to what would have been in time, and
# by which part one in time raises it.
LATE_STEP: Final = 0.1
IN_TIME_STEP: Final = 0.015
# An answer of less than this part of the usual size tells nothing: an upstream
# whose queue is full refuses in a few bytes, and sooner than any answer comes.
SHORT_SHARE: Final = 0.4
SIZE_STEP: Final = 0.02
RECENT_STEP: Final = 0.1
# An answer that takes less than so many times the usual one has not queued.
QUEUED_FACTOR: Final = 4.0
# The usual answer follows what is faster at once, and what is slower by this
# part a second: where no upstream can be in time to refuse helps nobody.
SLOWER_PER_SECOND: Final = 0.1
FASTER_STEP: Final = 0.1
# How much more each step of urgency may have in progress than the least.
URGENT_EXTRA: Final = 0.75


class Answer:
    """Hold what a client's packets tell of one answer."""

    __slots__ = ('in_progress', 'objective_seconds', 'seconds', 'size')

    def __init__(
        self,
        *,
        seconds: float,
        size: int,
        in_progress: float,
        objective_seconds: float,
    ) -> None:
        """Take the time, the bytes and what the client wanted."""
        self.seconds = seconds
        self.size = size
        # On all upstreams of the service, for each slot, when it was asked.
        self.in_progress = in_progress
        self.objective_seconds = objective_seconds


class ConcurrencyLimiter:
    """Hold what one node sees in progress on the upstreams of a service."""

    __slots__ = (
        'baseline_seconds',
        'limit',
        'recent',
        'slots',
        'usual_at',
        'usual_size',
        'waiting',
    )

    def __init__(self) -> None:
        """Start without a limit that binds."""
        self.slots = 0
        self.waiting = 0
        self.limit = MOST_IN_PROGRESS
        # What answers take now, queued or not; 0 before the first.
        self.recent: float = 0
        # What answers take that need not queue; 0 before the first.
        self.baseline_seconds: float = 0
        self.usual_at: float = 0
        self.usual_size: float = 0

    @property
    def in_progress(self) -> float:
        """Return the requests in progress for each slot."""
        return self.waiting / self.slots if self.slots else 0

    def limit_for(self, urgency: int) -> float:
        """Return how many requests may be in progress for each slot."""
        return self.limit * (1 + URGENT_EXTRA * urgency)

    def admits(self, urgency: int) -> bool:
        """Return True when one more flow would be answered in time.

        While nothing of this node's is in progress there it always would:
        without answers the limit would stay where it is for good.
        """
        return not self.waiting or self.in_progress < self.limit_for(urgency)

    def answered(self, answer: Answer, now: float) -> None:
        """Move the limit by what one answer took."""
        step = RECENT_STEP if self.recent else 1
        self.recent += (answer.seconds - self.recent) * step
        short = answer.size < self.usual_size * SHORT_SHARE
        self.usual_size += (answer.size - self.usual_size) * SIZE_STEP
        if short or not answer.objective_seconds:
            return
        self.remember_usual(answer.seconds, now)
        wanted = max(
            answer.objective_seconds * OBJECTIVE_SHARE,
            self.baseline_seconds * QUEUED_FACTOR,
        )
        if answer.seconds <= wanted:
            self.limit += self.limit * IN_TIME_STEP
        else:
            fitting = answer.in_progress * wanted / answer.seconds
            self.limit *= min(1, fitting / self.limit) ** LATE_STEP
        self.limit = min(self.limit, MOST_IN_PROGRESS)

    def remember_usual(self, seconds: float, now: float) -> None:
        """Keep what answers take that need not queue."""
        gap = now - self.usual_at
        self.usual_at = now
        if self.baseline_seconds == 0:
            self.baseline_seconds = seconds
            return
        if seconds < self.baseline_seconds:
            self.baseline_seconds += (
                seconds - self.baseline_seconds
            ) * FASTER_STEP
            return
        slower = self.baseline_seconds * (1 + SLOWER_PER_SECOND * gap)
        self.baseline_seconds = min(seconds, slower)
