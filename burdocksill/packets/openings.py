"""Tell which openings nobody answered, long before their clients repeat them.

An upstream that died refuses a client directly, and its client tries again
through another node within milliseconds. All that this node can see of it is
that nothing follows the opening.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from burdocksill.packets.flows import (
    MIN_RETRANSMIT_SECONDS,
    FlowKey,
    TrackedFlow,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# An opening is missed after so many times the usual time to the client's next
# packet, within these bounds. Before the first answer nothing is concluded
# sooner than the client itself would.
USUAL_FACTOR: Final = 6.0
FEWEST_SECONDS: Final = 0.02
MOST_SECONDS: Final = MIN_RETRANSMIT_SECONDS
# The usual time is a moving quantile that four of five openings stay below.
STEP_UP: Final = 1.08
STEP_DOWN: Final = 1 / 1.02
# Bounds the memory, whatever clients send.
OPENINGS_KEPT: Final = 4096


class Opening:
    """Hold an opening that was sent to an upstream."""

    __slots__ = ('due_at', 'flow', 'key')

    def __init__(
        self,
        *,
        key: FlowKey,
        flow: TrackedFlow,
        due_at: float,
    ) -> None:
        """Take all fields."""
        self.key = key
        self.flow = flow
        self.due_at = due_at


class PendingOpenings:
    """Hold the openings after which nothing has come yet, the oldest first."""

    __slots__ = ('usual', 'waiting')

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.waiting: deque[Opening] = deque(maxlen=OPENINGS_KEPT)
        # Seconds from an opening to the next packet of its client; 0 before
        # the first.
        self.usual: float = 0

    @property
    def patience(self) -> float:
        """Return the seconds after which an opening counts as missed."""
        if not self.usual:
            return MOST_SECONDS
        return min(max(self.usual * USUAL_FACTOR, FEWEST_SECONDS), MOST_SECONDS)

    def add(self, key: FlowKey, flow: TrackedFlow, now: float) -> None:
        """Wait for the packet that follows an opening."""
        due_at = now + self.patience
        self.waiting.append(Opening(key=key, flow=flow, due_at=due_at))

    def record_answer(self, flow: TrackedFlow, now: float) -> None:
        """Learn how long an opening took that a packet followed."""
        seconds = now - flow.last_seen_at
        if self.usual:
            self.usual *= STEP_UP if seconds > self.usual else STEP_DOWN
        else:
            self.usual = seconds

    def next_due(self) -> float:
        """Return when the next opening will be missed; infinite for never."""
        while self.waiting and self.waiting[0].flow.open:
            self.waiting.popleft()
        return self.waiting[0].due_at if self.waiting else float('inf')

    def pop_overdue(self, now: float) -> Iterator[Opening]:
        """Return the openings that are overdue, once each."""
        while self.next_due() <= now:
            yield self.waiting.popleft()
