"""Admission control: an adaptive concurrency limit for each service.

With more clients than slots every queue fills, and nearly all answers would be
late. A refused opening was sent to no upstream, so that its client can safely
try again; one that waits behind a full queue is late for certain.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Upper bound and initial value of the limit, in requests in progress for each
# slot, as far as one node sees them. Above it answers prove nothing.
MAX_LIMIT: Final = 3.0
# An answer is in time for a client if it is seen within this fraction of the
# objective; the opening and the network delay to the client take the rest.
OBJECTIVE_FRACTION: Final = 0.75
# How far a late answer moves the limit towards the value that would have been
# in time, as an exponent, and the fraction by which one in time raises it.
DECREASE_EXPONENT: Final = 0.1
INCREASE_FRACTION: Final = 0.015
# Answers shorter than this fraction of the usual size do not move the limit: an
# upstream whose queue is full refuses with a few bytes, faster than it answers.
SHORT_FRACTION: Final = 0.4
# Smoothing factors of the moving averages of answer sizes and answer times.
SIZE_SMOOTHING: Final = 0.02
RECENT_SMOOTHING: Final = 0.1
# An answer that takes less than this many times the baseline has not queued.
QUEUED_FACTOR: Final = 4.0
# The baseline moves towards a faster answer by the smoothing factor, and rises
# towards slower ones by at most this fraction per second. It has to rise, as
# refusals help nobody if no upstream can answer in time any more.
BASELINE_GROWTH_PER_SECOND: Final = 0.1
BASELINE_SMOOTHING: Final = 0.1
# Each step of urgency above the least urgent priority raises the limit by this
# fraction.
URGENCY_FRACTION: Final = 0.75
NO_ENDPOINT: Final = (0, 0)


class AnswerSample:
    """Hold what a client's packets show about one answer."""

    __slots__ = (
        'endpoint',
        'in_progress',
        'objective_seconds',
        'seconds',
        'size',
    )

    def __init__(
        self,
        *,
        seconds: float,
        size: int,
        in_progress: float,
        objective_seconds: float,
        endpoint: tuple[int, int] = NO_ENDPOINT,
    ) -> None:
        """Take the seconds, the bytes, the load and the client's objective."""
        self.seconds = seconds
        self.size = size
        # Requests in progress for each slot of the service, when it was sent.
        self.in_progress = in_progress
        self.objective_seconds = objective_seconds
        # Address and port of the route.
        self.endpoint = endpoint


class ConcurrencyLimiter:
    """Limit the requests in progress on the upstreams of a service.

    It counts and limits the requests of one node.
    """

    __slots__ = (
        'baseline_at',
        'baseline_seconds',
        'limit',
        'recent_seconds',
        'slots',
        'usual_size',
        'waiting',
    )

    def __init__(self) -> None:
        """Start at the upper bound of the limit."""
        self.slots = 0
        self.waiting = 0
        self.limit = MAX_LIMIT
        # Moving average of answer times, with queueing; 0 while unknown.
        self.recent_seconds: float = 0
        # Answer time without queueing; 0 while unknown.
        self.baseline_seconds: float = 0
        self.baseline_at: float = 0
        self.usual_size: float = 0

    @property
    def in_progress(self) -> float:
        """Return the requests in progress for each slot."""
        return self.waiting / self.slots if self.slots else 0

    def begin(self, endpoint: tuple[int, int], now: float) -> None:
        """Count one more request in progress."""
        self.waiting += 1

    def end(self, endpoint: tuple[int, int]) -> None:
        """Count one request in progress less."""
        self.waiting -= 1

    def log_fields(self) -> dict[str, object]:
        """Return the load for log lines."""
        return {
            'waiting': self.waiting,
            'slots': self.slots,
            'limit': round(self.limit, 3),
            'usual_s': round(self.baseline_seconds, 3),
        }

    def limit_for(self, urgency: int) -> float:
        """Return the limit for an urgency, in requests for each slot."""
        return self.limit * (1 + URGENCY_FRACTION * urgency)

    def admits(self, urgency: int) -> bool:
        """Return True when one more flow would be answered in time.

        Always True while this node has no request in progress. Without answers
        the limit would never change again.
        """
        return not self.waiting or self.in_progress < self.limit_for(urgency)

    def is_short(self, size: int) -> bool:
        """Return True for an answer that is much shorter than usual."""
        return size < self.usual_size * SHORT_FRACTION

    def record_answer(self, sample: AnswerSample, now: float) -> None:
        """Adjust the limit by the time that an answer took."""
        weight = RECENT_SMOOTHING if self.recent_seconds else 1
        self.recent_seconds += (sample.seconds - self.recent_seconds) * weight
        is_short = self.is_short(sample.size)
        self.usual_size += (sample.size - self.usual_size) * SIZE_SMOOTHING
        if is_short or not sample.objective_seconds:
            return
        self.update_baseline(sample.seconds, now)
        longest = max(
            sample.objective_seconds * OBJECTIVE_FRACTION,
            self.baseline_seconds * QUEUED_FACTOR,
        )
        if sample.seconds <= longest:
            self.limit += self.limit * INCREASE_FRACTION
        elif sample.in_progress:
            fitting_limit = sample.in_progress * longest / sample.seconds
            self.limit *= (
                min(1, fitting_limit / self.limit) ** DECREASE_EXPONENT
            )
        self.limit = min(self.limit, MAX_LIMIT)

    def update_baseline(self, seconds: float, now: float) -> None:
        """Update the answer time without queueing."""
        elapsed = now - self.baseline_at
        self.baseline_at = now
        if self.baseline_seconds == 0:
            self.baseline_seconds = seconds
            return
        self.baseline_seconds = next_baseline(
            self.baseline_seconds, seconds, elapsed
        )


def next_baseline(
    baseline: float,
    seconds: float,
    elapsed: float,
    growth_per_second: float = BASELINE_GROWTH_PER_SECOND,
) -> float:
    """Return the answer time without queueing after one more answer."""
    if seconds < baseline:
        return baseline + (seconds - baseline) * BASELINE_SMOOTHING
    return min(seconds, baseline * (1 + growth_per_second * elapsed))
