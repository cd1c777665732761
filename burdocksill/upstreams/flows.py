"""The owner's count of the flows at an upstream."""

from typing import Final

import attrs

# How long a flow counts that was opened but sent no request.
UNUSED_SECONDS: Final = 30.0
# Share of the connections reserved for flows from the own failure domain.
LOCAL_RESERVE: Final = 0.2


@attrs.define(kw_only=True)
class FlowCounter:
    """Count flows against the document's connections.

    Callers don't close their flows, so a flow counts until its newest cookie
    expires. An established flow always counts and is never refused; only new
    ones are, so that lowering the limit breaks no flow.
    """

    lifetime_seconds: float
    # When each flow expires: those that sent no request, and the others. In
    # each mapping all flows last equally long, so the first entry expires
    # first and the cost of a count doesn't grow with the number of flows.
    unused: dict[bytes, float] = attrs.field(factory=dict)
    used: dict[bytes, float] = attrs.field(factory=dict)

    def open(self, flow_id: bytes, now: float) -> None:
        """Count a new flow until it is used or expires."""
        self.close(flow_id)
        self.unused[flow_id] = now + UNUSED_SECONDS

    def record_request(self, flow_id: bytes, now: float) -> None:
        """Count a flow for the lifetime of a new cookie."""
        self.close(flow_id)
        self.used[flow_id] = now + self.lifetime_seconds

    def established(self, flow_id: bytes, now: float) -> bool:
        """Return True for a flow that has sent an earlier request here."""
        return self.used.get(flow_id, 0) - now > UNUSED_SECONDS

    def close(self, flow_id: bytes) -> None:
        """Stop counting a flow that was rerouted."""
        self.unused.pop(flow_id, None)
        self.used.pop(flow_id, None)

    def count(self, now: float) -> int:
        """Return how many flows count now."""
        drop_expired(self.unused, now)
        drop_expired(self.used, now)
        return len(self.unused) + len(self.used)

    def admits(self, now: float, *, connections: int, foreign: bool) -> bool:
        """Return True when a new flow may be opened.

        Flows from other failure domains can't use the reserve, so that they
        don't displace callers of the upstream's own failure domain.
        """
        limit = connections
        if foreign:
            limit = int(connections * (1 - LOCAL_RESERVE))
        return self.count(now) < limit


def drop_expired(flows: dict[bytes, float], now: float) -> None:
    """Drop expired flows from the front of a mapping ordered by expiry."""
    while flows:
        first = next(iter(flows))
        if flows[first] > now:
            return
        flows.pop(first)
