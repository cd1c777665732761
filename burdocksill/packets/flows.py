"""State of the flows whose packets pass through this node.

Routing does not need it, because the packets of an open flow name their
upstream. It serves to detect failures and to measure answer times; it is
bounded, and may be lost at any time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from burdocksill.packets.admission import NO_ENDPOINT, AnswerSample
from burdocksill.packets.header import (
    FIN,
    RST,
    Packet,
    is_sequence_after,
    sequence_distance,
)
from burdocksill.packets.health import NEVER_MOVED
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.silence import SilenceDetector
from burdocksill.packets.upstreams import KnownUpstream

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.local_load import LocalLoad

# Less than the time after which a client retransmits. A copy that is read
# sooner after the packet before it was duplicated by the network, or has waited
# in the socket while this node was paused or starting.
MIN_RETRANSMIT_SECONDS: Final = 0.15
# The time after which a client retransmits for the first time.
FIRST_RETRANSMIT_SECONDS: Final = 0.2
# Clients double the time between retransmissions, up to this time.
RETRANSMIT_BACKOFF: Final = 2
MAX_RETRANSMIT_SECONDS: Final = 1.6
# A packet waits at most this long in the socket of a node that keeps up. Half
# of the time after which a client retransmits unanswered data.
MAX_READ_DELAY_SECONDS: Final = 0.1
# A probe counts if it was sent at most this long after the request and at least
# this long before the client's retransmission, so that its acknowledgement had
# time to reach the client first, although this node reads packets late.
MAX_PROBE_DELAY_SECONDS: Final = 0.13
MIN_PROBE_SECONDS: Final = 0.07
# Flows that arrive from other nodes at shorter intervals were moved together:
# after a change of nodes each arrives when its client next sends a request.
ROTATION_GAP_SECONDS: Final = 1.0
FlowKey = tuple[int, int, int, int]

# Bounds the memory of the table, whatever clients send.
MAX_FLOWS: Final = 8192
# The number that a busy node sees between two scrapes of its metrics.
MAX_ANSWER_TIMES: Final = 8192


class TrackedFlow:
    """Hold the latest state of a flow, as its client's packets show it."""

    __slots__ = (
        'ack',
        'due_at',
        'endpoint',
        'first_pause',
        'in_progress',
        'last_seen_at',
        'objective_seconds',
        'open',
        'probed_at',
        'repeated_at',
        'repeated_seq',
        'retransmitted',
        'sent_at',
        'seq',
        'timeout_seconds',
        'unanswered_since',
        'upstream',
    )

    def __init__(
        self,
        *,
        upstream: KnownUpstream,
        last_seen_at: float,
        objective_seconds: float = 0,
        timeout_seconds: float = 0,
        endpoint: tuple[int, int] = NO_ENDPOINT,
    ) -> None:
        """Store the arguments and start without unanswered data."""
        # Address and port of the route.
        self.endpoint = endpoint
        self.upstream = upstream
        self.last_seen_at = last_seen_at
        self.ack: int = 0
        self.seq: int = -1
        # When data with this sequence number was last sent.
        self.sent_at: float = 0
        # Longest time until the client retransmits the next data.
        self.first_pause = FIRST_RETRANSMIT_SECONDS
        # When its next retransmission is overdue. A client that is still
        # waiting has sent it by then, unless its upstream has acknowledged the
        # data or the flow has moved to another node.
        self.due_at: float = 0
        # Objective for the answer time; 0 if none is set.
        self.objective_seconds = objective_seconds
        # Time for which its client waits for an answer; 0 if unknown.
        self.timeout_seconds = timeout_seconds
        # Requests in progress for each slot on the upstreams of its service,
        # at the time when the flow sent its pending request.
        self.in_progress: float = 0
        # When unanswered data was first sent; 0 if there is none.
        self.unanswered_since: float = 0
        self.open = False
        self.retransmitted = False
        # When unanswered data was first sent again, 0 if it was not, and its
        # sequence number. Copies of other parts of a request prove no more.
        self.repeated_at: float = 0
        self.repeated_seq: int = -1
        # When this node sent a copy of the unanswered data; 0 if it did not.
        self.probed_at: float = 0

    def is_probed(self, now: float) -> bool:
        """Return True when a probe would have been acknowledged by now.

        The usual answer time includes the round trip between the client, this
        node and the upstream.
        """
        waited = now - self.probed_at
        return (
            self.probed_at > 0
            and self.probed_at - self.sent_at <= MAX_PROBE_DELAY_SECONDS
            and waited >= MIN_PROBE_SECONDS
            and waited >= self.upstream.health.answer_seconds
        )


class FlowTable:
    """Hold the flows that were started last, in the order of their start."""

    __slots__ = (
        'answer_times',
        'flows',
        'is_backlogged',
        'limit',
        'local_load',
        'moved_in_at',
        'rotated_at',
        'silence',
        'table',
    )

    def __init__(
        self,
        *,
        limit: int = MAX_FLOWS,
        table: RoutingTable | None = None,
        silence: SilenceDetector | None = None,
    ) -> None:
        """Store the arguments and start without flows."""
        self.limit = limit
        self.flows: dict[FlowKey, TrackedFlow] = {}
        # True while packets wait long in the socket, so that retransmissions
        # prove nothing about an upstream.
        self.is_backlogged = False
        # When a request last arrived on a flow that was opened through another
        # node. Routers have changed their choice of nodes then, and other flows
        # may have moved away.
        self.moved_in_at: float = NEVER_MOVED
        # When the first flow of the latest series arrived that way.
        self.rotated_at: float = NEVER_MOVED
        # Set where nodes report their load to each other.
        self.local_load: LocalLoad | None = None
        # Holds the objectives of the routes.
        self.table: RoutingTable = RoutingTable() if table is None else table
        # Shares evidence with other nodes; None if settings don't ask for it.
        self.silence = silence
        # Service and seconds of answers that the metrics have not read yet.
        self.answer_times: deque[tuple[str, float]] = deque(
            maxlen=MAX_ANSWER_TIMES
        )

    def find(self, key: FlowKey) -> TrackedFlow | None:
        """Return a flow, or None if it is not tracked."""
        return self.flows.get(key)

    def start(
        self,
        key: FlowKey,
        upstream: KnownUpstream,
        now: float,
    ) -> TrackedFlow:
        """Track a new flow, instead of the oldest one if the table is full."""
        self.end(key)
        if len(self.flows) >= self.limit:
            self.end(next(iter(self.flows)))
        endpoint = (key[2], key[3])
        route = self.table.find(endpoint)
        flow = TrackedFlow(
            upstream=upstream,
            last_seen_at=now,
            objective_seconds=route.objective_seconds if route else 0,
            timeout_seconds=route.timeout_seconds if route else 0,
            endpoint=endpoint,
        )
        self.flows[key] = flow
        upstream.flows += 1
        return flow

    def track_existing(
        self,
        packet: Packet,
        upstream: KnownUpstream,
        now: float,
    ) -> TrackedFlow:
        """Track a flow that was opened through another node.

        Its first acknowledgement seen here may be old. Counted as an answer, it
        would hide with each flow that moves that the upstream is unresponsive.
        """
        flow = self.start(packet.flow, upstream, now)
        flow.open = True
        flow.ack = packet.ack
        # Its data may be a retransmission, with a longer pause after it.
        flow.first_pause = MAX_RETRANSMIT_SECONDS
        # A packet without data may be the last one of a flow that has ended.
        if packet.length:
            if now - self.moved_in_at > ROTATION_GAP_SECONDS:
                self.rotated_at = now
            self.moved_in_at = now
        return flow

    def end(self, key: FlowKey) -> None:
        """Stop tracking a flow; ignore unknown ones."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            flow.upstream.flows -= 1
            self.end_wait(flow)
            flow.upstream.health.unanswered_flows.pop(key, None)

    def keys_on(self, upstream: KnownUpstream) -> list[FlowKey]:
        """Return the keys of the flows on an upstream."""
        return [
            key for key, flow in self.flows.items() if flow.upstream is upstream
        ]

    def has_waited(
        self, upstream: KnownUpstream, seconds: float, now: float
    ) -> bool:
        """Return True when a client has waited at least some seconds.

        A wait does not count if another client got an answer meanwhile, if the
        upstream has acknowledged the request, or if routers may have moved the
        flow, and its answer, to another node.
        """
        answered_at = upstream.health.last_answer_at
        return any(
            answered_at < flow.unanswered_since <= now - seconds
            and now <= flow.due_at
            and flow.last_seen_at >= self.rotated_at
            for flow in self.flows.values()
            if flow.upstream is upstream
        )

    def end_overdue_waits(self, now: float) -> None:
        """Stop counting requests whose clients can't be waiting any more.

        A client gives up after the time limit of its route. The end of a flow
        that routers moved away is seen by another node only.
        """
        for flow in self.flows.values():
            if flow.unanswered_since and flow.timeout_seconds:
                longest = max(flow.timeout_seconds, MAX_RETRANSMIT_SECONDS)
                if now - flow.sent_at > longest:
                    self.end_wait(flow)

    def idle_since(self, before: float) -> Iterator[FlowKey]:
        """Yield the keys of the flows without a packet since a time."""
        for key, flow in self.flows.items():
            if flow.last_seen_at < before:
                yield key

    def observe(self, packet: Packet, flow: TrackedFlow, now: float) -> None:
        """Update a flow and the health of its upstream from a packet."""
        gap = now - flow.last_seen_at
        flow.last_seen_at = now
        key = packet.flow
        if not flow.open or is_sequence_after(packet.ack, flow.ack):
            self.report_answer(packet, flow, now, gap)
            self.handle_acknowledgement(flow, packet, now)
        if packet.length:
            self.handle_data(
                flow,
                packet,
                now,
                is_reliable=not self.is_backlogged
                and gap >= MIN_RETRANSMIT_SECONDS,
            )
        if packet.flags & (FIN | RST):
            self.end(key)

    def report_answer(
        self,
        packet: Packet,
        flow: TrackedFlow,
        now: float,
        gap: float,
    ) -> None:
        """Report new data of the upstream, if nodes share such evidence.

        An acknowledgement that comes with data may be as old as the packet
        before: the client may have waited with it for its next request.
        """
        if self.silence is not None:
            is_old = flow.open and packet.length
            self.silence.record_answer(
                flow.upstream,
                flow.unanswered_since,
                now - gap if is_old else now,
                now,
            )

    def handle_acknowledgement(
        self,
        flow: TrackedFlow,
        packet: Packet,
        now: float,
    ) -> None:
        """Record that the client has acknowledged new data of the upstream."""
        health = flow.upstream.health
        if flow.unanswered_since:
            self.record_answer_time(flow, packet, now)
        flow.open = True
        flow.ack = packet.ack
        self.end_wait(flow)
        health.record_answer(now)

    def record_answer_time(
        self,
        flow: TrackedFlow,
        packet: Packet,
        now: float,
    ) -> None:
        """Record the time of an answer that is acknowledged now."""
        seconds = now - flow.unanswered_since
        size = sequence_distance(packet.ack, flow.ack)
        if self.local_load is not None:
            self.local_load.record_answer(
                flow.upstream, seconds, size, now, flow.endpoint
            )
        flow.upstream.limiter.record_answer(
            AnswerSample(
                seconds=seconds,
                in_progress=flow.in_progress,
                size=size,
                objective_seconds=flow.objective_seconds,
                endpoint=flow.endpoint,
            ),
            now,
        )
        if not flow.retransmitted:
            flow.upstream.health.record_answer_time(seconds)
            self.answer_times.append((flow.upstream.record.service, seconds))

    def end_wait(self, flow: TrackedFlow) -> None:
        """Stop counting a flow as waiting for an answer."""
        if flow.unanswered_since:
            flow.unanswered_since = 0
            flow.upstream.end_request(flow.endpoint)

    def handle_data(
        self,
        flow: TrackedFlow,
        packet: Packet,
        now: float,
        *,
        is_reliable: bool,
    ) -> None:
        """Record data of the client, new or retransmitted.

        `is_reliable` is False for a retransmission that may have waited in the
        socket of this node, which proves nothing about the upstream.
        """
        pause = now - flow.sent_at
        is_after_probe = packet.seq == flow.seq and flow.is_probed(now)
        flow.sent_at = now
        if flow.seq < 0 or is_sequence_after(packet.seq, flow.seq):
            self.handle_new_data(flow, packet, now)
        elif flow.unanswered_since:
            if is_reliable or packet.seq == flow.seq:
                flow.retransmitted = True
            if is_reliable:
                next_pause = min(
                    pause * RETRANSMIT_BACKOFF, MAX_RETRANSMIT_SECONDS
                )
                flow.due_at = now + next_pause + MAX_READ_DELAY_SECONDS
                self.handle_retransmission(
                    flow, packet, now, is_after_probe=is_after_probe
                )

    def handle_new_data(
        self, flow: TrackedFlow, packet: Packet, now: float
    ) -> None:
        """Record data that the client sends for the first time."""
        flow.seq = packet.seq
        flow.due_at = now + flow.first_pause + MAX_READ_DELAY_SECONDS
        flow.first_pause = FIRST_RETRANSMIT_SECONDS
        flow.retransmitted = False
        flow.repeated_at = 0
        flow.repeated_seq = -1
        flow.probed_at = 0
        if not flow.unanswered_since:
            flow.unanswered_since = now
            flow.upstream.begin_request(flow.endpoint, now)
            flow.in_progress = flow.upstream.limiter.in_progress

    def handle_retransmission(
        self,
        flow: TrackedFlow,
        packet: Packet,
        now: float,
        *,
        is_after_probe: bool,
    ) -> None:
        """Record data that the client sends again."""
        if not flow.repeated_at:
            flow.repeated_at = now
            flow.repeated_seq = packet.seq
        if packet.seq != flow.repeated_seq:
            return
        flow.upstream.health.record_retransmission(
            packet.flow,
            flow.unanswered_since,
            now,
            due_at=flow.due_at,
            is_after_probe=is_after_probe,
        )
        self.report_repeat(packet, flow, now)

    def report_repeat(
        self,
        packet: Packet,
        flow: TrackedFlow,
        now: float,
    ) -> None:
        """Report retransmitted data, if nodes share such evidence."""
        if self.silence is not None:
            self.silence.record_repeat(
                flow.upstream,
                packet.client,
                flow.unanswered_since,
                flow.repeated_at,
                now,
            )
