"""What a node has seen of the flows that pass through it.

Nothing here is needed to route: an open flow's packets carry the name of its
upstream. The table tells how flows fare; it is bounded, and may be lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from burdocksill.packets.admission import Answer
from burdocksill.packets.header import (
    FIN,
    RST,
    Packet,
    is_sequence_after,
    sequence_distance,
)
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import KnownUpstream

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Below the time after which a client repeats what is not answered. What is read
# sooner after the packet before was doubled by the network, or has waited
# in this node's socket while the node stood still or was started.
MIN_RETRANSMIT_SECONDS: Final = 0.15
FlowKey = tuple[int, int, int, int]

# Bounds the memory of the table, whatever clients send.
FLOWS_KEPT: Final = 8192
# As many as a busy node sees between two readings of its metrics.
ANSWERS_KEPT: Final = 8192


class TrackedFlow:
    """Hold the last state of a flow that its client's packets showed."""

    __slots__ = (
        'ack',
        'in_progress',
        'last_seen_at',
        'objective_seconds',
        'open',
        'repeated',
        'seq',
        'upstream',
        'waiting_since',
    )

    def __init__(
        self,
        *,
        upstream: KnownUpstream,
        last_seen_at: float,
        objective_seconds: float = 0,
    ) -> None:
        """Take all fields."""
        self.upstream = upstream
        self.last_seen_at = last_seen_at
        self.ack: int = 0
        self.seq: int = -1
        # Within which its client wants an answer; 0: none is set.
        self.objective_seconds = objective_seconds
        # On the upstreams of its service when it sent that, for each slot.
        self.in_progress: float = 0
        # When the data was first sent that is not acknowledged yet; 0 without.
        self.waiting_since: float = 0
        self.open = False
        self.repeated = False


class FlowTable:
    """Keep the flows seen last, the oldest first."""

    __slots__ = ('answers', 'flows', 'is_backlogged', 'limit', 'table')

    def __init__(
        self,
        *,
        limit: int = FLOWS_KEPT,
        table: RoutingTable | None = None,
    ) -> None:
        """Take all fields."""
        self.limit = limit
        self.flows: dict[FlowKey, TrackedFlow] = {}
        # True while packets wait in this node for long: repeats prove nothing.
        self.is_backlogged = False
        # Tells within which the clients of a route want their answers.
        self.table: RoutingTable = RoutingTable() if table is None else table
        # What the latest answers took, by service, until the metrics take them.
        self.answers: deque[tuple[str, float]] = deque(maxlen=ANSWERS_KEPT)

    def find(self, key: FlowKey) -> TrackedFlow | None:
        """Return what is known of a flow."""
        return self.flows.get(key)

    def start(
        self,
        key: FlowKey,
        upstream: KnownUpstream,
        now: float,
    ) -> TrackedFlow:
        """Begin to follow a flow on an upstream."""
        self.end(key)
        if len(self.flows) >= self.limit:
            self.end(next(iter(self.flows)))
        flow = TrackedFlow(
            upstream=upstream,
            last_seen_at=now,
            objective_seconds=self.objective_of(key),
        )
        self.flows[key] = flow
        upstream.flows += 1
        return flow

    def objective_of(self, key: FlowKey) -> float:
        """Return the objective of a flow's route, 0 without one."""
        route = self.table.find((key[2], key[3]))
        return route.objective_seconds if route else 0

    def join(
        self,
        packet: Packet,
        upstream: KnownUpstream,
        now: float,
    ) -> TrackedFlow:
        """Begin to follow a flow that was opened through another node.

        What its client has acknowledged is old news: taken for a sign of life
        it would hide that the upstream is silent, for each flow that moves.
        """
        flow = self.start(packet.flow, upstream, now)
        flow.open = True
        flow.ack = packet.ack
        return flow

    def end(self, key: FlowKey) -> None:
        """Stop following a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            flow.upstream.flows -= 1
            self.stop_waiting(flow)
            flow.upstream.health.unanswered_flows.pop(key, None)

    def keys_on(self, upstream: KnownUpstream) -> list[FlowKey]:
        """Return the flows on an upstream."""
        return [
            key for key, flow in self.flows.items() if flow.upstream is upstream
        ]

    def has_waited_since(self, upstream: KnownUpstream, begin: float) -> bool:
        """Return True when a client has waited for one alone since a time."""
        heard_at = upstream.health.last_answer_at
        return any(
            heard_at < flow.waiting_since <= begin
            for flow in self.flows.values()
            if flow.upstream is upstream
        )

    def idle_since(self, before: float) -> Iterator[FlowKey]:
        """Return the flows that were last seen before a time."""
        for key, flow in self.flows.items():
            if flow.last_seen_at < before:
                yield key

    def observe(self, packet: Packet, flow: TrackedFlow, now: float) -> None:
        """Learn from a packet of an open flow how its upstream fares."""
        gap = now - flow.last_seen_at
        flow.last_seen_at = now
        key = packet.flow
        if not flow.open or is_sequence_after(packet.ack, flow.ack):
            self.answered(flow, packet, now)
        if packet.length:
            self.sent(
                flow,
                packet,
                now,
                fresh=not self.is_backlogged and gap >= MIN_RETRANSMIT_SECONDS,
            )
        if packet.flags & (FIN | RST):
            self.end(key)

    def answered(self, flow: TrackedFlow, packet: Packet, now: float) -> None:
        """Take note that the upstream has sent something new."""
        health = flow.upstream.health
        if flow.waiting_since:
            self.took(flow, packet, now)
        flow.open = True
        flow.ack = packet.ack
        self.stop_waiting(flow)
        health.record_answer(now)

    def took(self, flow: TrackedFlow, packet: Packet, now: float) -> None:
        """Learn from what an answer took that is acknowledged now."""
        seconds = now - flow.waiting_since
        flow.upstream.limiter.answered(
            Answer(
                seconds=seconds,
                in_progress=flow.in_progress,
                size=sequence_distance(packet.ack, flow.ack),
                objective_seconds=flow.objective_seconds,
            ),
            now,
        )
        if not flow.repeated:
            flow.upstream.health.record_answer_time(seconds)
            self.answers.append((flow.upstream.record.service, seconds))

    def stop_waiting(self, flow: TrackedFlow) -> None:
        """Count a flow out of those that wait for an answer."""
        if flow.waiting_since:
            flow.waiting_since = 0
            flow.upstream.end_request()

    def sent(
        self,
        flow: TrackedFlow,
        packet: Packet,
        now: float,
        *,
        fresh: bool,
    ) -> None:
        """Take note of data, new or sent again.

        A repeat that is read right behind the packet before it has waited
        here: this node stood still, and that tells nothing of the upstream.
        """
        if packet.seq != flow.seq:
            flow.seq = packet.seq
            flow.repeated = False
            if not flow.waiting_since:
                flow.waiting_since = now
                flow.upstream.begin_request()
                flow.in_progress = flow.upstream.limiter.in_progress
        elif flow.waiting_since:
            flow.repeated = True
            if fresh:
                flow.upstream.health.record_retransmission(
                    packet.flow,
                    flow.waiting_since,
                )
