"""Passive health checks: what clients' packets show about an upstream.

A node sees only the packets that clients send, not the upstreams' answers. An
acknowledgement that advances proves that the upstream is alive. The same data
sent again without one shows that it did not answer. Unlike an active health
check, this can't be misled by an upstream that wrongly reports to be healthy.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final


# Time for which an upstream gets no new flow after it did not answer an
# opening. Each further miss doubles it. This spares several clients a failed
# opening, and a single lost datagram costs the upstream little.
BASE_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 8.0
# An upstream is ejected after this many consecutive clients that open a new
# flow without having used the one before. A refusal goes directly to the
# client, so that no node sees it. A single client may have given up on its own.
MIN_REFUSALS: Final = 2
# An upstream is unresponsive when this many flows have retransmitted their data
# after a copy that a living upstream would have acknowledged at once, however
# long it works on the request: a retransmission or a probe. With all its slots
# busy an upstream answers nothing for as long as its requests take, so that
# neither the time without an answer nor first retransmissions show a failure.
MIN_CERTAIN_FLOWS: Final = 2
CERTAIN_RETRANSMISSIONS: Final = 2
# A flow that has retransmitted this often, while no flow of its upstream got an
# answer, is lost by itself: it is reset, so that its client can try another
# upstream before its deadline. In a large fleet a node sees few flows of each
# upstream, rarely two unanswered ones together, and clients ran into their
# deadlines without this rule.
LOST_FLOW_RETRANSMISSIONS: Final = 3
# New flows prefer other upstreams while this many flows retransmit.
PAIR_FLOWS: Final = 2
# The usual answer time is a moving 0.2 quantile: four of five answers take
# longer, as a decrease is four times an increase. A mean or a median would be
# too high: clients acknowledge every second packet, so that the end of an
# answer of one packet may be seen only after its retransmission. Until the
# first answer the time is infinite and a probe proves nothing.
QUANTILE_INCREASE: Final = 1.02
QUANTILE_DECREASE: Final = 1 / 1.08
UNKNOWN_ANSWER_SECONDS: Final = float('inf')
# Bounds the memory for each upstream.
MAX_UNANSWERED_FLOWS: Final = 16
# An upstream whose store entry has expired is lost when a client that still
# retransmits has waited for this many times the recent answer time, or when its
# upstream did not acknowledge a copy.
EXPIRED_ANSWER_FACTOR: Final = 3.0
# Earlier than any time: no flow has arrived from another node.
NEVER_MOVED: Final = float('-inf')


class UnansweredFlow:
    """Hold a flow whose client retransmits: its wait and how often."""

    __slots__ = ('due_at', 'is_certain', 'last_at', 'retransmissions', 'since')

    def __init__(
        self, *, since: float, last_at: float, due_at: float, is_certain: bool
    ) -> None:
        """Store the arguments; `since` is when the wait began."""
        self.since = since
        # True when a living upstream would have acknowledged a copy that was
        # sent before the latest retransmission.
        self.is_certain = is_certain
        # When the client's latest retransmission arrived.
        self.last_at = last_at
        # When the next one is overdue. A client that is still waiting has sent
        # it by then, so that without it the flow was answered, closed or moved
        # to another node.
        self.due_at = due_at
        self.retransmissions = 1

    def is_evidence(self, now: float, moved_in_at: float) -> bool:
        """Return True when the client still waits, or waited too long.

        `moved_in_at` is when a flow last arrived from another node. Routers may
        have moved this flow away at that time, and its answer with it. A copy
        that was not acknowledged before remains evidence.
        """
        return self.due_at >= now and (
            self.last_at >= moved_in_at or self.is_certain
        )

    def known_seconds(self, now: float, moved_in_at: float) -> float:
        """Return for how long the client is known to have waited."""
        end = now if self.last_at >= moved_in_at else self.last_at
        return end - self.since


class UpstreamHealth:
    """Hold what clients' packets show about one upstream."""

    __slots__ = (
        'answer_seconds',
        'ejected_until',
        'ejection_seconds',
        'last_answer_at',
        'refusals',
        'unanswered_flows',
    )

    def __init__(self) -> None:
        """Start without observations."""
        self.last_answer_at: float = 0
        self.ejected_until: float = 0
        self.ejection_seconds: float = BASE_EJECTION_SECONDS
        self.answer_seconds: float = UNKNOWN_ANSWER_SECONDS
        # Openings since the last answer that clients abandoned at once.
        self.refusals: int = 0
        # Flows with retransmissions since the last answer, by key. Use
        # `waiting_flows` for conclusions: some may be answered by now.
        self.unanswered_flows: dict[tuple[int, ...], UnansweredFlow] = {}

    def record_answer(self, now: float) -> None:
        """Record that the upstream answered a client."""
        self.last_answer_at = now
        self.refusals = 0
        if self.unanswered_flows:
            self.unanswered_flows.clear()
        if self.ejected_until:
            self.ejected_until = 0
            self.ejection_seconds = BASE_EJECTION_SECONDS

    def record_missed(self, now: float, sent_at: float) -> bool:
        """Eject it for an unanswered opening; return False if it was not.

        It is not if it has answered a client since, or is ejected already.
        """
        if self.last_answer_at > sent_at or now < self.ejected_until:
            return False
        self.eject(now)
        return True

    def record_refusal(self, now: float) -> None:
        """Record a client that opens a new flow instead of using its last."""
        self.refusals += 1
        if self.refusals >= MIN_REFUSALS and now >= self.ejected_until:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Keep new flows away, each time in a row for longer."""
        self.ejected_until = now + self.ejection_seconds
        self.ejection_seconds = min(
            self.ejection_seconds * 2,
            MAX_EJECTION_SECONDS,
        )

    def record_answer_time(self, seconds: float) -> None:
        """Update the usual answer time, with a request that was sent once."""
        if self.answer_seconds == UNKNOWN_ANSWER_SECONDS:
            self.answer_seconds = seconds
        elif seconds > self.answer_seconds:
            self.answer_seconds *= QUANTILE_INCREASE
        else:
            self.answer_seconds *= QUANTILE_DECREASE

    def record_retransmission(
        self,
        flow: tuple[int, ...],
        since: float,
        now: float,
        *,
        due_at: float,
        is_after_probe: bool,
    ) -> None:
        """Record a retransmission of data that was first sent at `since`.

        If its client is still waiting, the next one arrives before `due_at`.
        `is_after_probe` tells that a living upstream would have acknowledged a
        probe before.
        """
        if since <= self.last_answer_at:
            return
        entry = self.unanswered_flows.get(flow)
        if entry is not None:
            entry.retransmissions += 1
            entry.last_at = now
            entry.due_at = due_at
            entry.is_certain = entry.is_certain or (
                is_after_probe
                or entry.retransmissions >= CERTAIN_RETRANSMISSIONS
            )
            return
        if len(self.unanswered_flows) >= MAX_UNANSWERED_FLOWS:
            self.remove_overdue(now)
        if len(self.unanswered_flows) < MAX_UNANSWERED_FLOWS:
            self.unanswered_flows[flow] = UnansweredFlow(
                since=since,
                last_at=now,
                due_at=due_at,
                is_certain=is_after_probe,
            )

    def remove_overdue(self, now: float) -> None:
        """Remove the flows whose clients may not be waiting any more."""
        for key, flow in list(self.unanswered_flows.items()):
            if flow.due_at < now:
                del self.unanswered_flows[key]

    def waiting_flows(
        self,
        now: float,
        moved_in_at: float = NEVER_MOVED,
    ) -> list[UnansweredFlow]:
        """Return the flows whose clients retransmit through this node.

        `moved_in_at` as in `UnansweredFlow.is_evidence`.
        """
        return [
            flow
            for flow in self.unanswered_flows.values()
            if flow.is_evidence(now, moved_in_at)
        ]

    def is_ejected(self, now: float) -> bool:
        """Return True while new flows should prefer other upstreams.

        Flows without an answer count like an ejection, from two of them on.
        """
        if now < self.ejected_until:
            return True
        return (
            len(self.unanswered_flows) >= PAIR_FLOWS
            and len(self.waiting_flows(now)) >= PAIR_FLOWS
        )

    def has_overdue_flow(
        self,
        now: float,
        recent: float,
        moved_in_at: float,
    ) -> bool:
        """Return True when a client has waited longer than answers take.

        `recent` is the recent answer time of its service in seconds, 0 if
        unknown; `moved_in_at` as in `UnansweredFlow.is_evidence`.
        """
        longest = recent * EXPIRED_ANSWER_FACTOR or float('inf')
        return any(
            flow.is_certain or flow.known_seconds(now, moved_in_at) >= longest
            for flow in self.waiting_flows(now, moved_in_at)
        )

    def is_flow_lost(self, flow: tuple[int, ...]) -> bool:
        """Return True when a flow has retransmitted too often to be alive."""
        entry = self.unanswered_flows.get(flow)
        return (
            entry is not None
            and entry.retransmissions >= LOST_FLOW_RETRANSMISSIONS
        )

    def is_unresponsive(self, now: float, moved_in_at: float) -> bool:
        """Return True when clients' packets show that its flows are lost.

        `moved_in_at` as in `UnansweredFlow.is_evidence`.
        """
        if len(self.unanswered_flows) < MIN_CERTAIN_FLOWS:
            return False
        flows = self.waiting_flows(now, moved_in_at)
        return sum(flow.is_certain for flow in flows) >= MIN_CERTAIN_FLOWS
