"""What clients' packets tell of an upstream, without asking it.

A node sees only what clients send. An acknowledgement that advances proves
that the upstream lives; the same data sent again without one says that it did
not answer. A false health answer cannot change either.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final


# For so long an upstream gets no new flow after it missed an opening; each miss
# in a row doubles it. Several clients' openings are spared, and a single lost
# datagram costs the upstream little.
FIRST_PAUSE_SECONDS: Final = 1.0
LONGEST_PAUSE_SECONDS: Final = 8.0
# This many clients in a row that open a flow anew, without having used the one
# before, put an upstream aside: a refusal goes straight to the client, and no
# node sees it. One may have changed its mind.
REFUSED_FLOWS: Final = 2
# An upstream is dark when this many flows have sent their data twice again.
# However long it works on a request, a living upstream acknowledges the first
# repeat, so that there is no second.
REPEATED_FLOWS: Final = 2
REPEATS_WITHOUT_DOUBT: Final = 2
# A flow that has sent so often again, with no sign of life on any flow of its
# upstream meanwhile, is lost by itself: its client is told, and may try
# elsewhere while it has time. In a large fleet a node sees few flows of an
# upstream, and two rarely fall silent on it together: without this, clients ran
# into their deadlines.
REPEATS_ALONE: Final = 3
# Sooner, it is dark when so many flows have sent once again, and nothing has
# advanced on any flow for so long, and for so many times its usual answer: what
# is sent to a silent upstream meanwhile is lost.
QUICK_FLOWS: Final = 3
QUICK_SECONDS: Final = 0.25
QUICK_ANSWERS: Final = 6.0
PAIR_FLOWS: Final = 2
PAIR_SECONDS: Final = 0.4
PAIR_ANSWERS: Final = 9.0
# What a usual answer takes is a moving quantile: of five answers four take
# longer, as a step down is four times a step up. A mean or a median would not
# do: clients acknowledge every second packet, so that an answer of one packet
# may be seen to end only when it is sent again. Before the first answer nothing
# is concluded.
STEP_UP: Final = 1.02
STEP_DOWN: Final = 1 / 1.08
UNKNOWN_ANSWER_SECONDS: Final = float('inf')
SILENT_KEPT: Final = 16
# An upstream whose entry vanished is lost when a client has waited for so many
# times what answers take now, or has sent twice again: where queues are long,
# a living upstream's clients send once again.
LAPSED_ANSWERS: Final = 3.0


class SilentFlow:
    """Hold since when a flow waits and how often its client sent again."""

    __slots__ = ('repeats', 'since')

    def __init__(
        self,
        since: float,
        repeats: int = 1,
    ) -> None:
        """Take all fields."""
        self.since = since
        self.repeats = repeats


class UpstreamHealth:
    """Hold the signs of life of one upstream."""

    __slots__ = (
        'answer_seconds',
        'aside_until',
        'last_answer_at',
        'pause',
        'refusals',
        'unanswered_flows',
    )

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.last_answer_at: float = 0
        self.aside_until: float = 0
        self.pause: float = FIRST_PAUSE_SECONDS
        self.answer_seconds: float = UNKNOWN_ANSWER_SECONDS
        # Openings since the last sign of life that clients gave up at once.
        self.refusals: int = 0
        # Flows whose data was repeated.
        self.unanswered_flows: dict[tuple[int, ...], SilentFlow] = {}

    def record_answer(self, now: float) -> None:
        """Take note that the upstream answered a client."""
        self.last_answer_at = now
        self.refusals = 0
        if self.unanswered_flows:
            self.unanswered_flows.clear()
        if self.aside_until:
            self.aside_until = 0
            self.pause = FIRST_PAUSE_SECONDS

    def record_missed(self, now: float, sent_at: float) -> bool:
        """Put it aside after an opening it did not answer; True if it was."""
        if self.last_answer_at > sent_at or now < self.aside_until:
            return False
        self.eject(now)
        return True

    def record_refusal(self, now: float) -> None:
        """Take note of a client that opens anew instead of going on."""
        self.refusals += 1
        if self.refusals >= REFUSED_FLOWS and now >= self.aside_until:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Keep new flows away for a pause that grows each time."""
        self.aside_until = now + self.pause
        self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)

    def took(self, seconds: float) -> None:
        """Learn how long an answer took whose request was sent once."""
        if self.answer_seconds == UNKNOWN_ANSWER_SECONDS:
            self.answer_seconds = seconds
        elif seconds > self.answer_seconds:
            self.answer_seconds *= STEP_UP
        else:
            self.answer_seconds *= STEP_DOWN

    def unanswered(self, flow: tuple[int, ...], since: float) -> None:
        """Take note of a flow whose data the client sent again."""
        if since <= self.last_answer_at:
            return
        known = self.unanswered_flows.get(flow)
        if known is not None:
            known.repeats += 1
        elif len(self.unanswered_flows) < SILENT_KEPT:
            self.unanswered_flows[flow] = SilentFlow(since)

    def is_ejected(self, now: float) -> bool:
        """Return True while it should get no new flow if others can."""
        return (
            now < self.aside_until or len(self.unanswered_flows) >= PAIR_FLOWS
        )

    def has_overdue_flow(self, now: float, recent: float) -> bool:
        """Return True when a client waits for longer than answers take.

        `recent` are the seconds that those of its service take now, 0 if
        unknown.
        """
        longest = recent * LAPSED_ANSWERS or float('inf')
        return any(
            flow.repeats >= REPEATS_WITHOUT_DOUBT or now - flow.since >= longest
            for flow in self.unanswered_flows.values()
        )

    def is_flow_lost(self, flow: tuple[int, ...]) -> bool:
        """Return True when one flow alone can't be alive any more."""
        known = self.unanswered_flows.get(flow)
        return known is not None and known.repeats >= REPEATS_ALONE

    def is_unresponsive(self, now: float) -> bool:
        """Return True when flows on it are lost as far as clients can tell."""
        flows = self.unanswered_flows.values()
        if len(flows) < PAIR_FLOWS:
            return False
        certain = [
            flow for flow in flows if flow.repeats >= REPEATS_WITHOUT_DOUBT
        ]
        if len(certain) >= REPEATED_FLOWS:
            return True
        waited = now - min(flow.since for flow in flows)
        answer = self.answer_seconds
        if len(flows) < QUICK_FLOWS:
            return waited >= max(PAIR_SECONDS, answer * PAIR_ANSWERS)
        return waited >= max(QUICK_SECONDS, answer * QUICK_ANSWERS)
