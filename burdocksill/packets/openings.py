"""Detect unanswered openings long before their clients retransmit them.

An opening is the packet (SYN) with which a client opens a flow. The host of a
failed upstream refuses the client directly, and the client tries again through
another node within milliseconds. All that this node can observe is that no
packet of the client follows the opening.
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

# An opening is unanswered after this many times the usual delay of the client's
# next packet, within these bounds. Until the first answer the upper bound
# applies, so that nothing is concluded sooner than the client itself would.
TIMEOUT_FACTOR: Final = 6.0
MIN_TIMEOUT_SECONDS: Final = 0.02
MAX_TIMEOUT_SECONDS: Final = MIN_RETRANSMIT_SECONDS
# The usual delay is a moving 0.8 quantile: four of five delays are shorter.
QUANTILE_INCREASE: Final = 1.08
QUANTILE_DECREASE: Final = 1 / 1.02
# Bounds the memory, whatever clients send.
MAX_PENDING_OPENINGS: Final = 4096


class PendingOpening:
    """Hold an opening that was forwarded to an upstream."""

    __slots__ = ('due_at', 'flow', 'key')

    def __init__(
        self,
        *,
        key: FlowKey,
        flow: TrackedFlow,
        due_at: float,
    ) -> None:
        """Store the arguments."""
        self.key = key
        self.flow = flow
        self.due_at = due_at


class PendingOpenings:
    """Hold the openings without a following packet, the oldest first."""

    __slots__ = ('pending', 'usual_delay_seconds')

    def __init__(self) -> None:
        """Start without openings."""
        self.pending: deque[PendingOpening] = deque(maxlen=MAX_PENDING_OPENINGS)
        # Delay from an opening to the next packet of its client; 0 while
        # unknown.
        self.usual_delay_seconds: float = 0

    @property
    def timeout_seconds(self) -> float:
        """Return the time after which an opening counts as unanswered."""
        if not self.usual_delay_seconds:
            return MAX_TIMEOUT_SECONDS
        return min(
            max(self.usual_delay_seconds * TIMEOUT_FACTOR, MIN_TIMEOUT_SECONDS),
            MAX_TIMEOUT_SECONDS,
        )

    def add(self, key: FlowKey, flow: TrackedFlow, now: float) -> None:
        """Expect a packet of the client after an opening."""
        due_at = now + self.timeout_seconds
        self.pending.append(PendingOpening(key=key, flow=flow, due_at=due_at))

    def record_answer(self, flow: TrackedFlow, now: float) -> None:
        """Update the usual delay with the first packet after an opening."""
        seconds = now - flow.last_seen_at
        if self.usual_delay_seconds:
            self.usual_delay_seconds *= (
                QUANTILE_INCREASE
                if seconds > self.usual_delay_seconds
                else QUANTILE_DECREASE
            )
        else:
            self.usual_delay_seconds = seconds

    def next_due(self) -> float:
        """Return when the next opening is overdue; infinite without any."""
        while self.pending and self.pending[0].flow.open:
            self.pending.popleft()
        return self.pending[0].due_at if self.pending else float('inf')

    def pop_overdue(self, now: float) -> Iterator[PendingOpening]:
        """Yield and remove the overdue openings."""
        while self.next_due() <= now:
            yield self.pending.popleft()
