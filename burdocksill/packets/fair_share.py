"""Weighted fair share: divide the room of an overloaded service by route.

Only openings can be refused, and each brings the requests of its flow with it.
So a route's use is what its open flows are expected to have in progress, not
only what they have at the moment.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from burdocksill.packets.admission import (
    DECREASE_EXPONENT,
    MAX_LIMIT,
    QUEUED_FACTOR,
    RECENT_SMOOTHING,
    SIZE_SMOOTHING,
    AnswerSample,
    ConcurrencyLimiter,
    next_baseline,
)
from burdocksill.packets.header import format_ipv4
from burdocksill.packets.rates import DecayingRate

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.messages import Route
    from burdocksill.packets.routing import RoutingTable

# Address and port of a route.
Endpoint = tuple[int, int]

# Time constant of the rates of requests and refusals. An owner that returns is
# admitted at once, and the borrower is refused as far as its demand is known.
RATE_SECONDS: Final = 0.5
# Time constant of the rate of answers, which needs more of them.
ANSWER_RATE_SECONDS: Final = 0.5
# A service is overloaded when answers are expected to take this many times the
# longest time, and for this long after that.
ENTRY_FACTOR: Final = 1.2
OVERLOADED_SECONDS: Final = 2.0
# While it is overloaded, routes that want more than their share get at least
# this fraction of it, so that the queues empty.
DRAIN_FRACTION: Final = 0.5
# A route whose excess, the ratio of its demand to its share, is below this
# fraction of the largest one is not refused up to this many times its share. A
# node sees few requests, so that demands and shares vary by as much by chance.
MINOR_FRACTION: Final = 0.7
MINOR_USE: Final = 1.5
# Fraction by which the unqueued answer time rises in a second. While open flows
# fill all queues there is no unqueued answer, so it has to rise slowly.
UNQUEUED_GROWTH_PER_SECOND: Final = 0.02
# Fraction of the room that is divided evenly between all routes with demand
# before their priorities count, so that no route is starved.
LEAST_FRACTION: Final = 0.1
# An answer is in time within this fraction of the objective. Open flows ask for
# no admission, so that queues still grow when openings are refused: the other
# half is for that.
OBJECTIVE_FRACTION: Final = 0.5
# An answer in time raises the limit by this fraction. With the step of a late
# one the limit rests where few answers are late.
INCREASE_FRACTION: Final = 0.004
# An upstream without room refuses with an answer below this fraction of the
# route's usual size, in less than this fraction of its unqueued answer time.
REFUSAL_SIZE_FRACTION: Final = 0.5
REFUSAL_TIME_FRACTION: Final = 0.5
# Other errors are short and quick too. They count as refusals only while full
# answers of the route take this many times as long as unqueued ones.
REFUSAL_QUEUED_FACTOR: Final = 3.0
# A refusal shows that at most this fraction of the requests fits.
REFUSAL_FITTING_FRACTION: Final = 0.5
# A route is forgotten below this rate, this long after its last answer.
NEGLIGIBLE_RATE: Final = 0.001
MEMORY_SECONDS: Final = 60.0
# Number of routes that one log line names.
MAX_LOGGED_ROUTES: Final = 3
# Urgency of a flow that its route's share admits: no limit is below it.
ADMITTED_URGENCY: Final = 1_000_000


class RouteLoad:
    """Hold the requests of one route on one service, as this node sees them."""

    __slots__ = (
        'answer_seconds',
        'answered_at',
        'answers',
        'in_progress',
        'longest_seconds',
        'priority',
        'refused',
        'requests',
        'unqueued_seconds',
        'usual_size',
    )

    def __init__(self) -> None:
        """Start without requests."""
        # 0 is the most urgent.
        self.priority = 0
        self.in_progress = 0
        # Requests that were sent, and openings that were refused.
        self.requests: DecayingRate = DecayingRate(RATE_SECONDS)
        self.refused: DecayingRate = DecayingRate(RATE_SECONDS)
        # Moving averages of full answers; 0 while unknown.
        self.answer_seconds: float = 0
        self.unqueued_seconds: float = 0
        self.usual_size: float = 0
        self.answered_at: float = 0
        self.answers: DecayingRate = DecayingRate(ANSWER_RATE_SECONDS)
        # Longest answer time that is in time.
        self.longest_seconds: float = 0

    def use(self, now: float) -> float:
        """Return the requests that its open flows have in progress."""
        return max(
            self.in_progress, self.requests.at(now) * self.answer_seconds
        )

    def work(self, now: float) -> float:
        """Return the slots that the requests of its open flows need.

        Unlike the requests in progress, it does not grow with the queues.
        """
        if not self.unqueued_seconds:
            return self.in_progress
        return self.requests.at(now) * self.unqueued_seconds

    def demand(self, now: float) -> float:
        """Return the slots that the requests of all its callers need."""
        return self.work(now) + self.refused.at(now) * self.unqueued_seconds

    def answered_work(self, now: float) -> float:
        """Return the slots that its answered requests needed."""
        return self.answers.at(now) * self.unqueued_seconds

    def one_more(self) -> float:
        """Return by how much one more request raises its work."""
        return self.unqueued_seconds / RATE_SECONDS or 1

    def is_idle(self, now: float) -> bool:
        """Return True when it has nothing in progress and no recent demand."""
        return (
            not self.in_progress
            and self.requests.at(now) < NEGLIGIBLE_RATE
            and self.refused.at(now) < NEGLIGIBLE_RATE
            and now - self.answered_at > MEMORY_SECONDS
        )

    def proven_room(self, now: float) -> float:
        """Return the requests in progress that are answered in time.

        By Little's law, it is their number if each takes the longest time.
        """
        return self.answers.at(now) * self.longest_seconds

    def is_refusal(self, sample: AnswerSample) -> bool:
        """Return True for an answer of an upstream that lacked room."""
        return (
            sample.size < self.usual_size * REFUSAL_SIZE_FRACTION
            and sample.seconds < self.unqueued_seconds * REFUSAL_TIME_FRACTION
            and self.answer_seconds
            > self.unqueued_seconds * REFUSAL_QUEUED_FACTOR
        )

    def record_full(self, sample: AnswerSample, now: float) -> None:
        """Update the averages by an answer that is no refusal."""
        if not self.answer_seconds:
            self.answer_seconds = sample.seconds
            self.unqueued_seconds = sample.seconds
            self.usual_size = sample.size
        self.usual_size += (sample.size - self.usual_size) * SIZE_SMOOTHING
        change = sample.seconds - self.answer_seconds
        self.answer_seconds += change * RECENT_SMOOTHING
        self.unqueued_seconds = next_baseline(
            self.unqueued_seconds,
            sample.seconds,
            now - self.answered_at,
            UNQUEUED_GROWTH_PER_SECOND,
        )
        self.answered_at = now
        self.answers.count(now)
        self.longest_seconds = max(
            sample.objective_seconds * OBJECTIVE_FRACTION,
            self.unqueued_seconds * QUEUED_FACTOR,
        )


class ShareState:
    """Hold the share of a route and what decided it."""

    __slots__ = ('borrowers', 'demand', 'largest_excess', 'share', 'use')

    def __init__(
        self,
        *,
        share: float,
        demand: float,
        use: float,
        borrowers: tuple[Endpoint, ...],
        largest_excess: float,
    ) -> None:
        """Store the arguments, in slots."""
        # Highest ratio of a route's demand to its share.
        self.largest_excess = largest_excess
        self.share = share
        self.demand = demand
        self.use = use
        # Routes whose open flows use more than their own shares.
        self.borrowers = borrowers


class FairShareLimiter(ConcurrencyLimiter):
    """Limit the requests on a service, and divide the limit by route."""

    __slots__ = ('overloaded_until', 'routes', 'state')

    def __init__(self) -> None:
        """Start without routes."""
        super().__init__()
        self.routes: dict[Endpoint, RouteLoad] = {}
        # Until when openings are refused to let the queues empty.
        self.overloaded_until: float = 0
        # What decided about the latest opening.
        self.state: ShareState | None = None

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Count one more request in progress."""
        super().begin(endpoint, now)
        load = self.load_of(endpoint)
        load.in_progress += 1
        load.requests.count(now)

    def end(self, endpoint: Endpoint) -> None:
        """Count one request in progress less."""
        super().end(endpoint)
        self.load_of(endpoint).in_progress -= 1

    def load_of(self, endpoint: Endpoint) -> RouteLoad:
        """Return the load of a route."""
        return self.routes.setdefault(endpoint, RouteLoad())

    def has_room(self, route: Route, now: float) -> bool:
        """Return True when one more flow of a route would be served in time.

        Always True while this node has no request in progress. Without answers
        the limit would never change again. Without slots there is no share to
        compute, and placement tells that there is no upstream.
        """
        if not self.waiting or not self.slots:
            return True
        loads = self.routes.values()
        room = self.limit * self.slots
        proven = sum(load.proven_room(now) for load in loads)
        wanted = sum(load.demand(now) for load in loads)
        answered = sum(load.answered_work(now) for load in loads)
        if (
            self.waiting > max(room, proven * ENTRY_FACTOR)
            and wanted > answered * ENTRY_FACTOR
        ):
            self.overloaded_until = now + OVERLOADED_SECONDS
        used = sum(load.use(now) for load in loads)
        if now > self.overloaded_until or used < room:
            return True
        state = self.state_of(route, now)
        self.state = state
        # The queues empty at the expense of the routes that want far more than
        # their shares.
        excess = state.demand / state.share if state.share else 1
        if (
            excess < state.largest_excess * MINOR_FRACTION
            and state.use < state.share * MINOR_USE
        ):
            return True
        fraction = max(room / used, 1 / excess, DRAIN_FRACTION)
        return state.use < state.share * fraction

    def record_refused(self, route: Route, now: float) -> None:
        """Count a refused opening as demand of its route."""
        self.load_of((route.address, route.port)).refused.count(now)

    def update_routes(self, table: RoutingTable, now: float) -> None:
        """Take the priorities in force, and forget routes without demand."""
        for endpoint, load in list(self.routes.items()):
            route = table.find(endpoint)
            load.priority = route.priority if route else table.least_urgent
            if load.is_idle(now):
                del self.routes[endpoint]

    def log_fields(self) -> dict[str, object]:
        """Return the load for log lines, with the share last computed."""
        fields = super().log_fields()
        if self.state is not None:
            fields['share'] = round(self.state.share, 2)
            fields['use'] = round(self.state.use, 2)
            fields['demand'] = round(self.state.demand, 2)
            fields['borrowers'] = [
                f'{format_ipv4(address)}:{port}'
                for address, port in self.state.borrowers[:MAX_LOGGED_ROUTES]
            ]
        return fields

    def state_of(self, route: Route, now: float) -> ShareState:
        """Return the share of a route in the work that is answered."""
        own = (route.address, route.port)
        self.load_of(own).priority = route.priority
        work = {one: load.work(now) for one, load in self.routes.items()}
        wants = {
            one: (load.priority, load.demand(now))
            for one, load in self.routes.items()
        }
        wants[own] = (
            route.priority,
            wants[own][1] + self.routes[own].one_more(),
        )
        answered = sum(load.answered_work(now) for load in self.routes.values())
        room = answered or self.limit * self.slots
        shares = dict(
            zip(wants, divide(room, list(wants.values())), strict=True)
        )
        return ShareState(
            share=shares[own],
            demand=wants[own][1],
            use=work[own],
            largest_excess=max(
                wants[one][1] / shares[one] for one in wants if shares[one]
            ),
            borrowers=tuple(
                one for one in wants if one != own and work[one] > shares[one]
            ),
        )

    def record_answer(self, sample: AnswerSample, now: float) -> None:
        """Adjust the limit by the time that an answer took."""
        load = self.load_of(sample.endpoint)
        if load.is_refusal(sample):
            self.lower(sample.in_progress * REFUSAL_FITTING_FRACTION)
            return
        load.record_full(sample, now)
        self.update_baseline(sample.seconds, now)
        if not sample.objective_seconds:
            return
        longest = load.longest_seconds
        if sample.seconds <= longest:
            self.limit = min(MAX_LIMIT, self.limit * (1 + INCREASE_FRACTION))
        else:
            self.lower(sample.in_progress * longest / sample.seconds)

    def lower(self, fitting_limit: float) -> None:
        """Move the limit towards a lower one that would have fitted.

        Ignore 0, of a request that was sent while no slots were known.
        """
        if fitting_limit:
            ratio = min(1, fitting_limit / self.limit)
            self.limit *= ratio**DECREASE_EXPONENT


def divide(room: float, wants: list[tuple[int, float]]) -> list[float]:
    """Divide room over priorities and demands; return the shares.

    Each gets a least share, then the most urgent priority gets what it wants,
    evenly where that is too much, then the next. Room that nobody wants is
    divided evenly over all.
    """
    least = room * LEAST_FRACTION / max(1, len(wants))
    shares = [min(demand, least) for _, demand in wants]
    left = room - sum(shares)
    # Within a priority the smallest demands come first: what they leave is lent
    # to the others.
    order = sorted(range(len(wants)), key=wants.__getitem__)
    members = Counter(priority for priority, _ in wants)
    for number in order:
        priority, demand = wants[number]
        given = min(demand - shares[number], left / members[priority])
        members[priority] -= 1
        shares[number] += given
        left -= given
    return [share + left / len(wants) for share in shares]


def lacking_room(
    limiters: Mapping[str, ConcurrencyLimiter],
    services: list[str],
    route: Route,
    table: RoutingTable,
    now: float,
) -> set[str]:
    """Return the services without room for one more flow of a route.

    If none has room, the refusal counts as demand on the first service.
    """
    lacking: list[FairShareLimiter] = []
    names: set[str] = set()
    for service in services:
        limiter = limiters.get(service)
        if not isinstance(limiter, FairShareLimiter):
            continue
        limiter.update_routes(table, now)
        if not limiter.has_room(route, now):
            lacking.append(limiter)
            names.add(service)
    if lacking and len(lacking) == len(services):
        lacking[0].record_refused(route, now)
    return names
