"""Load of upstreams as this node sees it, for its reports to other nodes."""

from __future__ import annotations

import math

from burdocksill.readers.load_messages import UpstreamLoad, group_number

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.flows import FlowTable
    from burdocksill.packets.upstreams import KnownUpstream

# Flows count in reports for this long after their last packet. When routers
# move a flow, the node before keeps it in its table for longer, and it would be
# counted twice.
ACTIVE_SECONDS: Final = 3.0
# Smoothing factor of answer times, and the time over which errors are averaged.
ANSWER_SMOOTHING: Final = 0.2
ERROR_WINDOW_SECONDS: Final = 2.0
# Answer times older than this are not reported.
ANSWER_LIFE_SECONDS: Final = 5.0


class RecentAnswers:
    """Hold the recent answer time and rate of errors of one upstream."""

    __slots__ = ('answered_at', 'error_at', 'error_rate', 'seconds')

    def __init__(self) -> None:
        """Start without answers."""
        self.seconds: float = 0
        self.answered_at = float('-inf')
        self.error_rate: float = 0
        self.error_at: float = 0

    def record(self, seconds: float, now: float, *, is_short: bool) -> None:
        """Record one answer; a short one counts as an error."""
        if is_short:
            self.error_rate = self.errors_per_second(now)
            self.error_rate += 1 / ERROR_WINDOW_SECONDS
            self.error_at = now
            return
        weight = ANSWER_SMOOTHING if self.is_recent(now) else 1
        self.seconds += (seconds - self.seconds) * weight
        self.answered_at = now

    def errors_per_second(self, now: float) -> float:
        """Return the rate of errors, which decays exponentially."""
        elapsed = now - self.error_at
        return self.error_rate * math.exp(-elapsed / ERROR_WINDOW_SECONDS)

    def answer_seconds(self, now: float) -> float:
        """Return the recent answer time, 0 if there is none."""
        return self.seconds if self.is_recent(now) else 0

    def is_recent(self, now: float) -> bool:
        """Return True when the answer time is of the last seconds."""
        return now - self.answered_at <= ANSWER_LIFE_SECONDS


class LocalLoad:
    """Sum this node's flows and answers for each upstream."""

    __slots__ = ('answers', 'flows')

    def __init__(self, flows: FlowTable) -> None:
        """Store the flows and start without answers."""
        self.flows = flows
        self.answers: dict[int, RecentAnswers] = {}

    def record_answer(
        self, upstream: KnownUpstream, seconds: float, size: int, now: float
    ) -> None:
        """Record an answer; a much shorter one than usual is an error."""
        is_short = upstream.limiter.is_short(size)
        answers = self.answers.setdefault(upstream.echo, RecentAnswers())
        answers.record(seconds, now, is_short=is_short)

    def collect(
        self, domain: str, now: float
    ) -> tuple[list[UpstreamLoad], dict[int, int]]:
        """Return the load of a domain's upstreams, and the sums of services.

        The sums hold requests in progress in all domains.
        """
        flows: dict[KnownUpstream, int] = {}
        waiting: dict[KnownUpstream, int] = {}
        since = now - ACTIVE_SECONDS
        for flow in self.flows.flows.values():
            if flow.last_seen_at >= since:
                upstream = flow.upstream
                flows[upstream] = flows.get(upstream, 0) + 1
                if flow.unanswered_since:
                    waiting[upstream] = waiting.get(upstream, 0) + 1
        self.remove_old_answers(now)
        rows = [
            self.row(upstream, count, waiting.get(upstream, 0), now)
            for upstream, count in flows.items()
            if upstream.record.domain == domain
        ]
        return rows, sum_groups(waiting)

    def row(
        self, upstream: KnownUpstream, flows: int, waiting: int, now: float
    ) -> UpstreamLoad:
        """Return the load of one upstream."""
        answers = self.answers.get(upstream.echo) or RecentAnswers()
        return UpstreamLoad(
            echo=upstream.echo,
            flows=flows,
            in_progress=waiting,
            answer_seconds=answers.answer_seconds(now),
            errors_per_second=answers.errors_per_second(now),
        )

    def remove_old_answers(self, now: float) -> None:
        """Remove answers that are not reported any more."""
        for echo, answers in list(self.answers.items()):
            latest = max(answers.answered_at, answers.error_at)
            if now - latest > ANSWER_LIFE_SECONDS:
                del self.answers[echo]


def sum_groups(waiting: dict[KnownUpstream, int]) -> dict[int, int]:
    """Return the sums of requests in progress by service and domain."""
    groups: dict[int, int] = {}
    for upstream, count in waiting.items():
        record = upstream.record
        group = group_number(record.service, record.domain)
        groups[group] = groups.get(group, 0) + count
    return groups
