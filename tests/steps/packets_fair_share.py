"""Steps that divide the room of a service between routes."""

import heapq

from behave import given, then, when
from behave.runner import Context

from burdocksill.packets.admission import (
    NO_ENDPOINT,
    AnswerSample,
    ConcurrencyLimiter,
)
from burdocksill.packets.fair_share import (
    FairShareLimiter,
    divide,
    lacking_room,
)
from burdocksill.packets.messages import Manifest, Route, WeightedService
from burdocksill.packets.routing import RoutingTable


@when('room for {room:d} requests is divided by {wants}')
def divide_room(context: Context, room: int, wants: str) -> None:
    """Divide room by a text of priorities and demands."""
    pairs = [one.split(':') for one in wants.split()]
    context.shares = divide(room, [(int(a), float(b)) for a, b in pairs])


@then('the shares are {shares}')
def check_shares(context: Context, shares: str) -> None:
    """Compare the shares."""
    wanted = [float(one) for one in shares.split()]
    assert [round(one, 6) for one in context.shares] == wanted, context.shares


def make_route(number: int, priority: int) -> Route:
    """Return a route of the service under test."""
    return Route(
        name=f'r-{number}',
        address=1,
        port=number,
        weighted_services=(WeightedService(service='ledger'),),
        objective_seconds=1,
        priority=priority,
    )


@given('a service with room for {room:d} requests of {seconds:f} seconds')
def make_service(context: Context, room: int, seconds: float) -> None:
    """Create a limiter at its limit, and routes of two priorities."""
    context.limiter = FairShareLimiter()
    context.limiter.slots = room
    context.limiter.limit = 1
    context.seconds = seconds
    context.routes = {1: make_route(1, 0), 2: make_route(2, 0)}
    context.loads = {}


@given('{kind} limiter whose upstreams are unknown')
def make_without_slots(context: Context, kind: str) -> None:
    """Create a limiter without slots, which has requests in progress."""
    is_fair = kind.endswith('fair')
    context.limiter = FairShareLimiter() if is_fair else ConcurrencyLimiter()
    context.limiter.begin(NO_ENDPOINT, 0)


@when('3 late answers of older requests arrive')
def answer_late(context: Context) -> None:
    """Record answers of requests that were sent without known slots."""
    for number, seconds in enumerate((0.1, 9, 9, 9)):
        sample = AnswerSample(
            seconds=seconds, size=600, in_progress=0, objective_seconds=1
        )
        context.limiter.record_answer(sample, 1 + number / 10)


@when('its upstreams are known again')
def add_slots(context: Context) -> None:
    """Give the limiter its slots."""
    context.limiter.slots = 8


@then('it admits one more request')
def check_admits(context: Context) -> None:
    """Ask the limiter for room beside its request in progress."""
    context.routes = {1: make_route(1, 0)}
    if isinstance(context.limiter, FairShareLimiter):
        assert ask(context, 1, 4.0)
    assert context.limiter.admits(0)


def ask(context: Context, number: int, now: float) -> bool:
    """Ask for an opening of a route."""
    table = RoutingTable()
    table.adopt(
        Manifest(version=1, routes=tuple(context.routes.values()), services={})
    )
    route = context.routes[number]
    limiters = {'ledger': context.limiter}
    return not lacking_room(limiters, ['ledger'], route, table, now)


@when('route 1 calls {rate:d} times a second for {seconds:d} seconds')
def call_first(context: Context, rate: int, seconds: int) -> None:
    """Set the load of the first route."""
    context.loads[1] = (0, rate)
    context.until = seconds


@when('route 2 of {kind} priority does so from second {begin:d} on')
def call_second(context: Context, kind: str, begin: int) -> None:
    """Set the load of the second route and run both."""
    context.routes[2] = make_route(2, int(kind == 'a less urgent'))
    rate = context.loads[1][1]
    context.loads[2] = (begin, rate)
    limiter, events = context.limiter, []
    context.counts = []
    for number, (first, each) in context.loads.items():
        count = (context.until - first) * each
        events += [(first + one / each, number, False) for one in range(count)]
    heapq.heapify(events)
    while events:
        now, number, ends = heapq.heappop(events)
        endpoint = (1, number)
        if ends:
            limiter.end(endpoint)
            sample = AnswerSample(
                seconds=context.seconds,
                size=100,
                in_progress=1,
                objective_seconds=1,
                endpoint=endpoint,
            )
            # The limit is given, and only the averages are wanted.
            limiter.load_of(endpoint).record_full(sample, now)
        elif ask(context, number, now):
            limiter.begin(endpoint, now)
            heapq.heappush(events, (now + context.seconds, number, True))
        counts = [limiter.load_of((1, one)).in_progress for one in (1, 2)]
        context.counts.append((now, counts))


@then(
    'route {number:d} has at least {least:d} requests in progress '
    'at second {at:f}'
)
def check_progress(
    context: Context, number: int, least: int, at: float
) -> None:
    """Check the mean of a tenth of a second."""
    found = [c[number - 1] for now, c in context.counts if at <= now < at + 0.1]
    assert sum(found) / len(found) >= least, found


@then(
    'route {number:d} had on average at least {least:f} requests in progress '
    'from second {at:f}'
)
def check_mean(context: Context, number: int, least: float, at: float) -> None:
    """Check the mean up to the end of the calls."""
    found = [
        c[number - 1] for now, c in context.counts if at <= now < context.until
    ]
    assert sum(found) / len(found) >= least, sum(found) / len(found)


@when(
    'open flows of route 2 of a less urgent priority have {count:d} requests '
    'in progress'
)
def begin_requests(context: Context, count: int) -> None:
    """Begin requests of flows that another node has placed."""
    context.routes[2] = make_route(2, 1)
    for _ in range(count):
        context.limiter.begin((1, 2), 1)


@then('an opening of route {number:d} is {verdict}')
def check_opening(context: Context, number: int, verdict: str) -> None:
    """Ask for an opening."""
    assert ask(context, number, 1) == (verdict == 'admitted')


@given('a service whose answers take {seconds:f} seconds')
def make_answering(context: Context, seconds: float) -> None:
    """Record quick answers, and then answers of the given time."""
    context.limiter = FairShareLimiter()
    context.limiter.slots = 10
    context.limiter.limit = 2
    for taken in [0.02] * 50 + [seconds] * 50:
        record(context, taken, 1000)
    context.limiter.limit = 2


def record(context: Context, seconds: float, size: int) -> None:
    """Record one answer."""
    sample = AnswerSample(
        seconds=seconds,
        size=size,
        in_progress=1,
        objective_seconds=1,
        endpoint=(1, 1),
    )
    context.limiter.record_answer(sample, 1)


@when('upstreams send {count:d} short answers at once')
def record_short(context: Context, count: int) -> None:
    """Record answers of a few bytes."""
    for _ in range(count):
        record(context, 0.002, 100)


@then('its limit {result}')
def check_limit(context: Context, result: str) -> None:
    """Compare the limit with the one before the short answers."""
    least, most = (0, 1) if result == 'falls below half' else (2, 3)
    assert least < context.limiter.limit <= most, context.limiter.limit
