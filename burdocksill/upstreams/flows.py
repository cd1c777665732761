"""How many flows an upstream holds, as its owner counts them."""

from typing import Final

import attrs

# A flow that was opened but never used is counted this long only.
UNUSED_SECONDS: Final = 30.0
# This share of an upstream is kept for flows from its own failure domain.
RESERVE: Final = 0.2


@attrs.define(kw_only=True)
class FlowBook:
    """Count flows against the document's connections.

    A flow counts until its newest cookie has run out: callers never say
    goodbye. An established flow always counts and is never refused; only new
    ones are, so that a limit that was lowered breaks no flow.
    """

    # When each flow stops to count, in the order of those times.
    until: dict[bytes, float] = attrs.field(factory=dict)
    lifetime_seconds: float

    def open(self, flow_id: bytes, now: float) -> None:
        """Count a new flow until it is used or forgotten."""
        self.until[flow_id] = now + UNUSED_SECONDS

    def use(self, flow_id: bytes, now: float) -> None:
        """Count a flow for another cookie's lifetime."""
        self.until.pop(flow_id, None)
        self.until[flow_id] = now + self.lifetime_seconds

    def settled(self, flow_id: bytes, now: float) -> bool:
        """Return True for a flow that has sent a request here before."""
        return self.until.get(flow_id, 0) - now > UNUSED_SECONDS

    def close(self, flow_id: bytes) -> None:
        """Stop counting a flow that was moved elsewhere."""
        self.until.pop(flow_id, None)

    def count(self, now: float) -> int:
        """Return how many flows there are."""
        if any(until <= now for until in self.until.values()):
            self.until = {
                flow_id: until
                for flow_id, until in self.until.items()
                if until > now
            }
        return len(self.until)

    def admits(self, now: float, *, connections: int, foreign: bool) -> bool:
        """Return True when a new flow may be opened.

        Flows that spill over from other failure domains stop short of the
        reserve, so that they can't push out the domain's own callers.
        """
        room = connections
        if foreign:
            room = int(connections * (1 - RESERVE))
        return self.count(now) < room
