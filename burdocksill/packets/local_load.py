"""Load of upstreams as this node sees it, for its reports to other nodes."""

from __future__ import annotations

from collections import deque

from burdocksill.packets.admission import NO_ENDPOINT
from burdocksill.packets.rates import DecayingRate, SettlingRate
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
# Bounds the memory for each upstream.
MAX_TIMES: Final = 16
# Time over which errors are averaged.
RATE_SECONDS: Final = 2.0
# The least answer time of at most this many seconds is reported. Of requests of
# different sizes it shows best how quick an upstream is.
ANSWER_SECONDS: Final = 0.6
# Errors below this rate are not reported without an open flow.
MIN_ERRORS_PER_SECOND: Final = 0.1
# An answer shorter than this fraction of the route's usual size is an error.
ERROR_SIZE_FRACTION: Final = 0.5
SIZE_SMOOTHING: Final = 0.02
# Step of the moving medians of answer times.
MEDIAN_STEP: Final = 1.05
# An answer that is read together with its request counts as this quick.
MIN_ANSWER_SECONDS: Final = 0.001
# Answers older than this are forgotten.
ANSWER_LIFE_SECONDS: Final = 5.0


class MovingMedian:
    """Follow the median of answer times."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        """Start without answers."""
        self.seconds: float = 0

    def record(self, seconds: float) -> None:
        """Move towards an answer time by one step."""
        if self.seconds == 0:
            self.seconds = seconds
        elif seconds > self.seconds:
            self.seconds *= MEDIAN_STEP
        else:
            self.seconds /= MEDIAN_STEP


class RouteAnswers:
    """Hold the usual size and time of a route's answers."""

    __slots__ = ('answers', 'size', 'times')

    def __init__(self, size: float) -> None:
        """Start with the usual size of the service."""
        self.answers: int = 1 if size else 0
        self.size = size
        self.times = MovingMedian()

    def record(self, seconds: float, size: int) -> bool:
        """Record one answer; return True if it is an error."""
        is_error = size < self.size * ERROR_SIZE_FRACTION
        self.answers += 1
        weight = max(SIZE_SMOOTHING, 1 / self.answers)
        self.size += (size - self.size) * weight
        if is_error:
            return True
        self.times.record(seconds)
        return False


class ServiceAnswers:
    """Hold the usual answers of a service, and of its routes."""

    __slots__ = ('rate', 'routes', 'times')

    def __init__(self, now: float) -> None:
        """Start without answers."""
        self.times = MovingMedian()
        self.rate = SettlingRate(now)
        # By address and port.
        self.routes: dict[tuple[int, int], RouteAnswers] = {}

    def record(
        self,
        endpoint: tuple[int, int],
        seconds: float,
        size: int,
        usual_size: float,
        now: float,
    ) -> float:
        """Record one answer; return its time, 0 for an error.

        The times of all routes are made alike, so that it does not matter which
        upstream got the requests of which route.
        """
        self.rate.record(now)
        seconds = max(seconds, MIN_ANSWER_SECONDS)
        route = self.routes.setdefault(endpoint, RouteAnswers(usual_size))
        if route.record(seconds, size):
            return 0
        self.times.record(seconds)
        return seconds * self.times.seconds / route.times.seconds


class RecentAnswers:
    """Hold the recent answer times and rate of errors of one upstream."""

    __slots__ = ('errors', 'latest_at', 'times', 'upstream')

    def __init__(self, upstream: KnownUpstream) -> None:
        """Store the upstream and start without answers."""
        self.upstream = upstream
        self.errors = DecayingRate(RATE_SECONDS)
        self.latest_at = float('-inf')
        # Time of each answer, and how long it took.
        self.times: deque[tuple[float, float]] = deque(maxlen=MAX_TIMES)

    def record(self, seconds: float, now: float) -> None:
        """Record the time of one answer, 0 for an error."""
        self.latest_at = now
        if seconds:
            self.times.append((now, seconds))
        else:
            self.errors.count(now)

    def is_reported(self, now: float) -> bool:
        """Return True when an answer or recent errors are reported."""
        return (
            now - self.latest_at <= ANSWER_SECONDS
            or self.errors.at(now) >= MIN_ERRORS_PER_SECOND
        )

    def answer_seconds(self, now: float, within: float) -> float:
        """Return the least recent answer time, 0 if there is none."""
        return min(
            (seconds for at, seconds in self.times if now - at <= within),
            default=0,
        )


class LocalLoad:
    """Sum this node's flows and answers for each upstream."""

    __slots__ = ('answers', 'flows', 'services')

    def __init__(self, flows: FlowTable) -> None:
        """Store the flows and start without answers."""
        self.flows = flows
        self.answers: dict[int, RecentAnswers] = {}
        self.services: dict[str, ServiceAnswers] = {}

    def record_answer(
        self,
        upstream: KnownUpstream,
        seconds: float,
        size: int,
        now: float,
        endpoint: tuple[int, int] = NO_ENDPOINT,
    ) -> None:
        """Record an answer; a much shorter one than usual is an error."""
        service = self.services.setdefault(
            upstream.record.service, ServiceAnswers(now)
        )
        found = service.record(
            endpoint, seconds, size, upstream.limiter.usual_size, now
        )
        answers = self.answers.setdefault(
            upstream.echo, RecentAnswers(upstream)
        )
        answers.record(found, now)

    def latest_seconds(self, upstream: KnownUpstream, now: float) -> float:
        """Return this node's last answer time of an upstream, 0 if none."""
        answers = self.answers.get(upstream.echo)
        if answers is None:
            return 0
        return answers.answer_seconds(now, ANSWER_LIFE_SECONDS)

    def answers_per_second(self, service: str, now: float) -> float:
        """Return the rate of a service's answers that this node sees."""
        answers = self.services.get(service)
        return answers.rate.at(now) if answers else 0

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
        self.add_answered(flows, now)
        rows = [
            self.row(upstream, count, waiting.get(upstream, 0), now)
            for upstream, count in flows.items()
            if upstream.record.domain == domain
        ]
        return rows, sum_groups(waiting)

    def add_answered(self, flows: dict[KnownUpstream, int], now: float) -> None:
        """Add the upstreams without open flows that answered recently."""
        for answers in self.answers.values():
            if answers.is_reported(now):
                flows.setdefault(answers.upstream, 0)

    def row(
        self, upstream: KnownUpstream, flows: int, waiting: int, now: float
    ) -> UpstreamLoad:
        """Return the load of one upstream."""
        answers = self.answers.get(upstream.echo) or RecentAnswers(upstream)
        return UpstreamLoad(
            echo=upstream.echo,
            flows=flows,
            in_progress=waiting,
            answer_seconds=answers.answer_seconds(now, ANSWER_SECONDS),
            errors_per_second=answers.errors.at(now),
        )

    def remove_old_answers(self, now: float) -> None:
        """Remove answers that are not reported any more."""
        for echo, answers in list(self.answers.items()):
            if now - answers.latest_at > ANSWER_LIFE_SECONDS:
                del self.answers[echo]


def sum_groups(waiting: dict[KnownUpstream, int]) -> dict[int, int]:
    """Return the sums of requests in progress by service and domain."""
    groups: dict[int, int] = {}
    for upstream, count in waiting.items():
        record = upstream.record
        group = group_number(record.service, record.domain)
        groups[group] = groups.get(group, 0) + count
    return groups
