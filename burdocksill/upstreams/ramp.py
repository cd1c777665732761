"""How many requests an upstream may run at once, learned by its owner."""

from typing import Final

import attrs

# One step up needs this many successes and this long at the step below: work
# warms an upstream, and a burst of quick answers alone proves little.
STEP_SUCCESSES: Final = 16
STEP_SECONDS: Final = 0.5
# A step above what the upstream itself reports needs far more proof.
DOUBT_SUCCESSES: Final = 64
DOUBT_SECONDS: Final = 10.0
# Each fall in mid-ramp doubles the proof that is asked for, up to this.
LARGEST_CAUTION: Final = 16


@attrs.define(kw_only=True)
class Ramp:
    """Grow a concurrency limit on success, from the cold limit to all slots.

    `reported` is what the upstream says it can bear. It only lowers the limit:
    a report that is too high changes nothing, and one that is too low or
    frozen is overcome by proof, a step at a time.
    """

    slots: int
    cold_limit: int
    limit: int = attrs.field(init=False)
    reported: int = attrs.field(init=False)
    successes: int = 0
    since: float = 0
    caution: int = 1

    def __attrs_post_init__(self) -> None:
        """Start cold: nothing is known of the upstream yet."""
        self.cold_limit = max(1, min(self.cold_limit, self.slots))
        self.limit = self.cold_limit
        self.reported = self.slots

    @property
    def cold(self) -> bool:
        """Return True until the limit has reached all slots."""
        return self.limit < self.slots

    def start(self, now: float, *, fallen: bool) -> None:
        """Go back to the cold limit.

        An upstream that falls in mid-ramp was pushed too fast: the next ramp
        asks for twice the proof, or it would fall at the same step for ever.
        """
        if fallen and self.cold and self.limit > self.cold_limit:
            self.caution = min(self.caution * 2, LARGEST_CAUTION)
        self.limit = self.cold_limit
        self.begin_step(now)

    def begin_step(self, now: float) -> None:
        """Count proof from here."""
        self.successes = 0
        self.since = now

    def succeed(self, now: float) -> bool:
        """Count a success; return True when the limit grew."""
        if not self.cold:
            return False
        self.successes += 1
        if not self.proved(now):
            return False
        self.limit = min(self.slots, max(self.limit + 1, self.limit * 3 // 2))
        self.begin_step(now)
        if not self.cold:
            self.caution = 1
        return True

    def proved(self, now: float) -> bool:
        """Return True when the next step is safe as far as one can tell."""
        successes, seconds = STEP_SUCCESSES, STEP_SECONDS
        if self.limit >= self.reported:
            successes, seconds = DOUBT_SUCCESSES, DOUBT_SECONDS
        enough = self.successes >= successes * self.caution
        return enough and now - self.since >= seconds

    def shed(self, now: float) -> None:
        """Halve the limit: the upstream refused work that we thought it had.

        Shedding tells of load, not of a cold start, so the floor is one.
        """
        self.limit = max(1, self.limit // 2)
        self.begin_step(now)

    def take_report(self, bearable: int, now: float) -> None:
        """Take what the upstream says it can bear; only news lowers.

        A frozen report is no news: it lowers once, and successes then win.
        The floor of one request keeps a lie from starving the upstream.
        """
        told = max(1, min(bearable, self.slots))
        if told < self.reported and told < self.limit:
            self.limit = told
            self.begin_step(now)
        self.reported = told
