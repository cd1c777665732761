"""Slow start of an upstream's concurrency limit."""

from typing import Final

import attrs

# An increase needs both this many successes and this long at the current
# limit: only work warms an upstream, and a burst of quick answers is not
# enough evidence.
STEP_SUCCESSES: Final = 16
STEP_SECONDS: Final = 0.5
# An increase above the reported capacity needs far more evidence.
EXCESS_STEP_SUCCESSES: Final = 64
EXCESS_STEP_SECONDS: Final = 10.0
# Each failure during a ramp doubles the required successes, up to this factor.
MAX_SUCCESS_FACTOR: Final = 16


@attrs.define(kw_only=True)
class Ramp:
    """Grow a concurrency limit on success, from the cold limit to all slots.

    `reported` is the concurrency that the upstream reports it can handle. A
    report only lowers the limit: one that is too high changes nothing, and
    one that is too low or stale is overruled by successes, step by step.
    """

    slots: int
    cold_limit: int
    limit: int = attrs.field(init=False)
    reported: int = attrs.field(init=False)
    successes: int = 0
    step_started_at: float = 0
    success_factor: int = 1

    def __attrs_post_init__(self) -> None:
        """Start at the cold limit, as nothing has been measured yet."""
        self.cold_limit = max(1, min(self.cold_limit, self.slots))
        self.limit = self.cold_limit
        self.reported = self.slots

    @property
    def cold(self) -> bool:
        """Return True until the limit has reached all slots."""
        return self.limit < self.slots

    def start(self, now: float, *, connection_lost: bool) -> None:
        """Return to the cold limit.

        An upstream whose connection is lost during a ramp was loaded too
        fast. The next ramp needs twice the successes, or the upstream would
        fail at the same limit again and again.
        """
        if connection_lost and self.cold and self.limit > self.cold_limit:
            self.success_factor = min(
                self.success_factor * 2, MAX_SUCCESS_FACTOR
            )
        self.limit = self.cold_limit
        self.begin_step(now)

    def begin_step(self, now: float) -> None:
        """Restart the count of successes for the next increase."""
        self.successes = 0
        self.step_started_at = now

    def add_success(self, now: float) -> bool:
        """Count a success; return True when the limit grew."""
        if not self.cold:
            return False
        self.successes += 1
        if not self.may_increase(now):
            return False
        self.limit = min(self.slots, max(self.limit + 1, self.limit * 3 // 2))
        self.begin_step(now)
        if not self.cold:
            self.success_factor = 1
        return True

    def may_increase(self, now: float) -> bool:
        """Return True when there is enough evidence for an increase."""
        successes, seconds = STEP_SUCCESSES, STEP_SECONDS
        if self.limit >= self.reported:
            successes, seconds = EXCESS_STEP_SUCCESSES, EXCESS_STEP_SECONDS
        enough = self.successes >= successes * self.success_factor
        return enough and now - self.step_started_at >= seconds

    def shed(self, now: float) -> None:
        """Halve the limit because the upstream refused a request.

        Shedding is a sign of overload rather than of a cold start, so the
        limit may fall below the cold limit, down to one.
        """
        self.limit = max(1, self.limit // 2)
        self.begin_step(now)

    def apply_load_report(self, bearable: int, now: float) -> None:
        """Lower the limit when the reported concurrency has decreased.

        A stale report lowers the limit once, and successes then raise it. The
        minimum of one keeps a wrong report from starving the upstream.
        """
        bounded = max(1, min(bearable, self.slots))
        if bounded < self.reported and bounded < self.limit:
            self.limit = bounded
            self.begin_step(now)
        self.reported = bounded
