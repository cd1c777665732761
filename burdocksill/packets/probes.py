"""Probe upstreams with copies of requests, before clients retransmit them.

An upstream acknowledges a copy of a request at once, however long it works on
it, and its client then has nothing to retransmit. So a retransmission that
follows a probe shows that the upstream has failed. Without a probe only the
second retransmission shows it, 0.4 s later. TCP's tail loss probe elicits an
acknowledgement in the same way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from burdocksill.packets.flows import TrackedFlow
from burdocksill.packets.verdicts import Forward, Reason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Half of the time after which a client retransmits. The other half is left for
# the acknowledgement.
PROBE_SECONDS: Final = 0.1
# Bounds the memory, whatever clients send.
MAX_PENDING_PROBES: Final = 1024


class PendingProbe:
    """Hold a request that is sent again if it gets no answer."""

    __slots__ = ('due_at', 'flow', 'seq', 'verdict')

    def __init__(
        self,
        *,
        flow: TrackedFlow,
        verdict: Forward,
        due_at: float,
    ) -> None:
        """Store the arguments; `verdict` forwarded the request."""
        self.flow = flow
        self.seq = flow.seq
        self.verdict = verdict
        self.due_at = due_at

    @property
    def is_needed(self) -> bool:
        """Return True while the upstream has answered nobody since."""
        flow = self.flow
        return (
            flow.seq == self.seq
            and not flow.retransmitted
            and flow.unanswered_since > flow.upstream.health.last_answer_at
        )

    def record_sent(self, now: float) -> Forward:
        """Record the time of the probe and return it."""
        self.flow.probed_at = now
        request = self.verdict
        return Forward(request.payload, request.target, Reason.PROBED)


class PendingProbes:
    """Hold the latest requests, the oldest first."""

    __slots__ = ('pending',)

    def __init__(self) -> None:
        """Start without requests."""
        self.pending: deque[PendingProbe] = deque(maxlen=MAX_PENDING_PROBES)

    def add(self, flow: TrackedFlow, verdict: Forward, now: float) -> None:
        """Expect an answer to a request that is forwarded now."""
        self.pending.append(
            PendingProbe(flow=flow, verdict=verdict, due_at=now + PROBE_SECONDS)
        )

    def next_due(self) -> float:
        """Return when the next probe is due; infinite without any."""
        while self.pending and not self.pending[0].is_needed:
            self.pending.popleft()
        return self.pending[0].due_at if self.pending else float('inf')

    def pop_due(self, now: float) -> Iterator[PendingProbe]:
        """Yield and remove the probes that are due.

        Call this only when the socket is empty: the acknowledgement of an
        answer may be waiting there.
        """
        while self.next_due() <= now:
            yield self.pending.popleft()
