"""How many flows an upstream holds, as its owner counts them."""

from typing import Final

import attrs

# A flow that was opened but never used is counted this long only.
UNUSED_SECONDS: Final = 30.0
# This share of an upstream is kept for flows from its own failure domain.
RESERVE: Final = 0.2


@attrs.define(kw_only=True)
class FlowCounter:
    """Count flows against the document's connections.

    A flow counts until its newest cookie has run out: callers never say
    goodbye. An established flow always counts and is never refused; only new
    ones are, so that a limit that was lowered breaks no flow.
    """

    lifetime_seconds: float
    # When each flow stops to count: those never used, and the others. Within
    # each all last equally long, so the first is the first to run out, and
    # counting costs the same however many there are.
    unused: dict[bytes, float] = attrs.field(factory=dict)
    used: dict[bytes, float] = attrs.field(factory=dict)

    def open(self, flow_id: bytes, now: float) -> None:
        """Count a new flow until it is used or forgotten."""
        self.close(flow_id)
        self.unused[flow_id] = now + UNUSED_SECONDS

    def record_request(self, flow_id: bytes, now: float) -> None:
        """Count a flow for another cookie's lifetime."""
        self.close(flow_id)
        self.used[flow_id] = now + self.lifetime_seconds

    def established(self, flow_id: bytes, now: float) -> bool:
        """Return True for a flow that has sent a request here before."""
        return self.used.get(flow_id, 0) - now > UNUSED_SECONDS

    def close(self, flow_id: bytes) -> None:
        """Stop counting a flow that was moved elsewhere."""
        self.unused.pop(flow_id, None)
        self.used.pop(flow_id, None)

    def count(self, now: float) -> int:
        """Return how many flows there are."""
        drop_first(self.unused, now)
        drop_first(self.used, now)
        return len(self.unused) + len(self.used)

    def admits(self, now: float, *, connections: int, foreign: bool) -> bool:
        """Return True when a new flow may be opened.

        Flows that spill over from other failure domains stop short of the
        reserve, so that they can't push out the domain's own callers.
        """
        room = connections
        if foreign:
            room = int(connections * (1 - RESERVE))
        return self.count(now) < room


def drop_first(flows: dict[bytes, float], now: float) -> None:
    """Drop the flows that have run out, the oldest first."""
    while flows:
        first = next(iter(flows))
        if flows[first] > now:
            return
        flows.pop(first)
