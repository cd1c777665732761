"""What a node has seen of the flows that pass through it.

Nothing here is needed to route: an open flow's packets carry the name of its
upstream. The table tells how flows fare; it is bounded, and may be lost.
"""

from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

from burdocksill.packets.header import FIN, RST, Packet, advanced
from burdocksill.packets.upstreams import KnownUpstream

# A client repeats what is not answered after 0.2 s at the soonest. What is
# read sooner after the packet before was doubled by the network, or has waited
# in this node's socket while the node stood still or was started.
REPEAT_SECONDS: Final = 0.15
FlowKey = tuple[int, int, int, int]

# About 400 bytes each: at this bound the table stays below 4 MB.
FLOWS_KEPT: Final = 8192
# Between two readings of the metrics, 15 s apart, at 500 answers a second.
ANSWERS_KEPT: Final = 8192


@attrs.define(kw_only=True, eq=False, repr=False)
class SeenFlow:
    """Hold the last state of a flow that its client's packets showed."""

    upstream: KnownUpstream
    seen_at: float
    ack: int = 0
    seq: int = -1
    # When the data was first sent that is not acknowledged yet; 0 without.
    waiting_since: float = 0
    open: bool = False
    repeated: bool = False


@attrs.define(kw_only=True, eq=False, repr=False)
class FlowTable:
    """Keep the flows seen last, the oldest first."""

    limit: int = FLOWS_KEPT
    flows: dict[FlowKey, SeenFlow] = attrs.field(factory=dict)
    # True while packets wait in this node for long: repeats prove nothing.
    behind: bool = False
    # What the latest answers took, by service, until the metrics take them.
    answers: deque[tuple[str, float]] = attrs.field(
        factory=lambda: deque(maxlen=ANSWERS_KEPT),
    )

    def find(self, key: FlowKey) -> SeenFlow | None:
        """Return what is known of a flow."""
        return self.flows.get(key)

    def start(
        self,
        key: FlowKey,
        upstream: KnownUpstream,
        now: float,
    ) -> SeenFlow:
        """Begin to follow a flow on an upstream."""
        self.end(key)
        if len(self.flows) >= self.limit:
            self.end(next(iter(self.flows)))
        flow = SeenFlow(upstream=upstream, seen_at=now)
        self.flows[key] = flow
        upstream.flows += 1
        return flow

    def join(
        self,
        packet: Packet,
        upstream: KnownUpstream,
        now: float,
    ) -> SeenFlow:
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
            flow.upstream.health.silent.pop(key, None)

    def on(self, upstream: KnownUpstream) -> list[FlowKey]:
        """Return the flows on an upstream."""
        return [
            key for key, flow in self.flows.items() if flow.upstream is upstream
        ]

    def idle(self, before: float) -> Iterator[FlowKey]:
        """Return the flows that were last seen before a time."""
        for key, flow in self.flows.items():
            if flow.seen_at < before:
                yield key

    def follow(self, packet: Packet, flow: SeenFlow, now: float) -> None:
        """Learn from a packet of an open flow how its upstream fares."""
        gap = now - flow.seen_at
        flow.seen_at = now
        key = packet.flow
        if not flow.open or advanced(packet.ack, flow.ack):
            self.answered(flow, packet, now)
        if packet.length:
            self.sent(
                flow,
                packet,
                now,
                fresh=not self.behind and gap >= REPEAT_SECONDS,
            )
        if packet.flags & (FIN | RST):
            self.end(key)

    def answered(self, flow: SeenFlow, packet: Packet, now: float) -> None:
        """Take note that the upstream has sent something new."""
        health = flow.upstream.health
        if flow.waiting_since and not flow.repeated:
            seconds = now - flow.waiting_since
            health.took(seconds)
            self.answers.append((flow.upstream.record.service, seconds))
        flow.open = True
        flow.ack = packet.ack
        self.stop_waiting(flow)
        health.heard(now)

    def stop_waiting(self, flow: SeenFlow) -> None:
        """Count a flow out of those that wait for an answer."""
        if flow.waiting_since:
            flow.waiting_since = 0
            flow.upstream.waiting -= 1

    def sent(
        self,
        flow: SeenFlow,
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
                flow.upstream.waiting += 1
        elif flow.waiting_since:
            flow.repeated = True
            if fresh:
                flow.upstream.health.unanswered(
                    packet.flow,
                    flow.waiting_since,
                )
