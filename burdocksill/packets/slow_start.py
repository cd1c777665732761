"""Slow start: limits on the new flows of upstreams that have just started.

All nodes see an empty upstream at once. Each node therefore sends it its share
of what the whole fleet may send, at a time that differs from node to node.
"""

from __future__ import annotations

import math
from random import Random

from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import KnownUpstream

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.protocols import LoadView

# While the nodes are not counted, the limit of a cold upstream is divided as if
# there were this many. Larger fleets exceed the limit; the capacity page says
# what carries their flows.
ASSUMED_NODES: Final = 16
# A smaller count takes effect after this time only. Nodes whose reports are
# lost for a while still send flows.
NODE_COUNT_MEMORY_SECONDS: Final = 60.0
# Flows of many nodes arrive at random within a second. The mean rate is this
# many standard deviations below the limit.
SAFETY_DEVIATIONS: Final = 3.0
# A flow may be this late against the time that a node has drawn for it. If the
# time stayed valid, all nodes would send at once after a pause.
LATE_SECONDS: Final = 0.4
# Time after its start, or after the end of its cold phase, for which the share
# of an upstream is limited.
SLOW_START_SECONDS: Final = 5.0


class ColdBudget:
    """Limit the rate of new flows from this node to each cold upstream.

    Flows are spaced evenly. If each node could send a second's worth at once,
    the bursts of all nodes together would overload the upstream.
    """

    __slots__ = ('next_at',)

    def __init__(self) -> None:
        """Start without upstreams."""
        self.next_at: dict[str, float] = {}

    def admit(self, name: str, now: float, per_second: float) -> bool:
        """Count a flow if the interval since the last is long enough."""
        if now < self.next_at.get(name, 0):
            return False
        self.next_at[name] = now + 1 / per_second
        return True


class StaggeredColdBudget(ColdBudget):
    """Delay flows of this node to a cold upstream at random after a pause.

    Otherwise each node sends its first one as soon as the upstream starts, and
    a fleet with more nodes than the limit exceeds it in the first second.
    """

    __slots__ = ('rng',)

    def __init__(self, rng: Random) -> None:
        """Store the random generator and start without upstreams."""
        super().__init__()
        self.rng = rng

    def admit(self, name: str, now: float, per_second: float) -> bool:
        """Count a flow if its time has come."""
        due = self.next_at.get(name, float('-inf'))
        if now - due > LATE_SECONDS:
            self.next_at[name] = now + self.rng.random() / per_second
            return False
        return super().admit(name, now, per_second)


class NodeCounter:
    """Count the nodes that share the limit of a cold upstream.

    Too high a count costs pace, too low a count overloads the upstream. So a
    count that shrinks or is lost is kept for a while, and a node that has just
    started assumes no small fleet.
    """

    __slots__ = ('counted', 'counted_at', 'load_view')

    def __init__(self, load_view: LoadView) -> None:
        """Store the collaborator and start with an assumed count."""
        self.load_view = load_view
        self.counted: int = ASSUMED_NODES
        # When a count as high as `counted` was last seen.
        self.counted_at = float('inf')

    def count(self, now: float) -> int:
        """Return the highest recent count of nodes."""
        self.counted_at = min(self.counted_at, now)
        current = self.load_view.node_count(now)
        is_old = now - self.counted_at > NODE_COUNT_MEMORY_SECONDS
        if current is None:
            return max(ASSUMED_NODES, self.counted) if is_old else self.counted
        if current >= self.counted or is_old:
            self.counted = max(1, current)
            self.counted_at = now
        return self.counted


class ColdAdmission:
    """Admit new flows on cold upstreams up to this node's share of a limit."""

    __slots__ = ('budget', 'node_counter', 'table')

    def __init__(self, table: RoutingTable) -> None:
        """Store the limits and assume the number of nodes."""
        self.table = table
        self.budget = ColdBudget()
        self.node_counter: NodeCounter | None = None

    def count_nodes(self, load_view: LoadView, rng: Random) -> None:
        """Divide the limit by the reported number of nodes."""
        self.node_counter = NodeCounter(load_view)
        self.budget = StaggeredColdBudget(rng)

    def track_nodes(self, now: float) -> None:
        """Remember the number of nodes for when an upstream is cold."""
        if self.node_counter is not None:
            self.node_counter.count(now)

    def limit(self, service: str, now: float) -> float:
        """Return this node's share of a cold upstream's limit per second."""
        limit = self.table.limits(service).cold_per_second
        if not limit:
            return float('inf')
        if self.node_counter is None:
            return limit / ASSUMED_NODES
        nodes = self.node_counter.count(now)
        return safe_rate(limit, nodes) / nodes

    def admit(self, upstream: KnownUpstream, now: float) -> bool:
        """Count a new flow on a cold upstream if its limit admits it."""
        limit = self.limit(upstream.record.service, now)
        if limit == float('inf'):
            return True
        return self.budget.admit(upstream.record.name, now, limit)


def safe_rate(limit: float, nodes: int) -> float:
    """Return the mean rate of evenly spacing nodes that keeps a limit.

    The variance of their sum in one second is at most the mean, and at most a
    quarter of the number of nodes.
    """
    root = math.sqrt(SAFETY_DEVIATIONS**2 + 4 * limit) - SAFETY_DEVIATIONS
    return max(
        (root / 2) ** 2, limit - SAFETY_DEVIATIONS * math.sqrt(nodes) / 2
    )


def is_in_slow_start(upstream: KnownUpstream, now: float) -> bool:
    """Return True soon after an upstream has started or warmed up."""
    since = max(upstream.first_seen_at, upstream.cold_until)
    return now - since < SLOW_START_SECONDS
