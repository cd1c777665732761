"""Steps about the limits of an upstream."""

from random import Random

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.models import ServiceDocument
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.exceptions import ConnectionSilentError
from burdocksill.upstreams.flows import FlowCounter
from burdocksill.upstreams.limits import AdaptiveLimiter, make_limiter
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.stand_ins.upstream import LoadLie
from burdocksill_lab.workload import Workload

SLOTS = 2
WORK_SECONDS = 0.1


async def run_request(
    context: Context, deadline: float, seconds: float
) -> None:
    """Run one request in a slot and record a refusal with its time."""
    started = trio.current_time()
    try:
        async with context.limiter.slot(deadline=deadline):
            context.most = max(context.most, context.limiter.busy)
            await trio.sleep(seconds)
    except RequestFailedError as failure:
        context.refusals.append((trio.current_time() - started, failure))


async def warm(context: Context) -> None:
    """Run requests until the limiter allows all slots."""
    while context.limiter.cold:
        await run_request(context, trio.current_time() + 60, context.work)


@given('a limiter of {slots:d} slots whose answers take {work:g} s')
def plan_limiter(context: Context, slots: int, work: float) -> None:
    """Start a list of actions that begins with making a limiter."""
    context.work = work
    context.most = 0
    context.refusals = []
    context.actions = []

    async def make() -> None:
        context.limiter = make_limiter(
            name='ledger-1',
            slots=slots,
            cold_limit=1,
            rng=Random(context.seed),
        )

    context.actions.append(make)


@when('{count:d} requests with {seconds:g} s each reach the limiter')
def plan_burst(context: Context, count: int, seconds: float) -> None:
    """Warm the limiter, then send many requests at once."""

    async def action() -> None:
        await warm(context)
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(run_request, context, deadline, context.work)

    context.actions.append(action)
    run_actions(context)


def run_actions(context: Context) -> None:
    """Run the planned actions."""

    async def script() -> None:
        for action in context.actions:
            await action()

    run_seeded(context.seed, script)


@when('the limiter has been warmed')
def plan_warm(context: Context) -> None:
    """Grow the limit to all slots."""

    async def action() -> None:
        await warm(context)

    context.actions.append(action)


@when('a limited request is shed for {seconds:g} s')
def plan_shed(context: Context, seconds: float) -> None:
    """Make one request fail as shed by the upstream."""

    async def action() -> None:
        try:
            async with context.limiter.slot(deadline=trio.current_time() + 9):
                raise RequestFailedError(
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.UPSTREAM_SHED,
                    retry_after_seconds=seconds,
                )
        except RequestFailedError:
            return

    context.actions.append(action)


@when(
    '{count:d} limited requests of {longest:g} s lose their connection '
    'silently after {at:g} s'
)
def plan_silence(
    context: Context, count: int, longest: float, at: float
) -> None:
    """Make the connection of some requests unresponsive."""

    async def lose(deadline: float) -> None:
        try:
            async with context.limiter.slot(deadline=deadline):
                await trio.sleep(at)
                raise ConnectionSilentError(
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=Reason.UPSTREAM_LOST,
                )
        except RequestFailedError:
            return

    async def action() -> None:
        deadline = trio.current_time() + longest
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(lose, deadline)

    context.actions.append(action)


@when("the limiter's answers take {work:g} s for {count:d} requests")
def plan_slow(context: Context, work: float, count: int) -> None:
    """Run requests at the usual speed, then slower ones."""

    async def action() -> None:
        for _ in range(40):
            await run_request(context, trio.current_time() + 60, context.work)
        context.limits = []
        for _ in range(count):
            await run_request(context, trio.current_time() + 60, work)
            context.limits.append(context.limiter.limit)

    context.actions.append(action)


@when("the limiter's connection is lost after each increase")
def plan_losses(context: Context) -> None:
    """Start cold again after every increase of the limit."""

    async def ramp(limiter: AdaptiveLimiter) -> float:
        started = trio.current_time()
        while limiter.limit < 2:
            await run_request(context, trio.current_time() + 60, context.work)
        limiter.start_cold(cause='connection-lost')
        return trio.current_time() - started

    async def action() -> None:
        context.ramps = [await ramp(context.limiter) for _ in range(3)]

    context.actions.append(action)


@then('the limiter admitted at most {count:d} at once')
def check_most(context: Context, count: int) -> None:
    """Check the highest number of concurrent requests."""
    assert context.most == count, context.most


@then(
    'every limiter refusal was "{verdict}" for "{reason}" within {limit:g} ms'
)
def check_refusals(
    context: Context, verdict: str, reason: str, limit: float
) -> None:
    """Check the verdict, reason and time of each refusal."""
    assert context.refusals
    for seconds, failure in context.refusals:
        assert seconds * 1000 < limit, seconds
        assert failure.verdict.value == verdict, failure
        assert failure.reason.value == reason, failure


@then("the limiter's retry-after times differ and grow from {least:g} s")
def check_times(context: Context, least: float) -> None:
    """Check that late refusals get longer times than early ones."""
    times = [failure.retry_after_seconds for _, failure in context.refusals]
    half = len(times) // 2
    assert min(times) >= least, times
    assert len(set(times)) == len(times), times
    assert sum(times[half:]) > 1.5 * sum(times[:half]), times


@then('the limiter refuses for "{reason}" until {seconds:g} s have passed')
def check_shed(context: Context, reason: str, seconds: float) -> None:
    """Send requests just before and just after the retry-after time."""

    async def send_both() -> None:
        await trio.sleep(seconds - 0.1)
        await run_request(context, trio.current_time() + 9, context.work)
        context.before = list(context.refusals)
        await trio.sleep(0.2)
        await run_request(context, trio.current_time() + 9, context.work)

    context.actions.append(send_both)
    run_actions(context)
    found = [failure.reason.value for _, failure in context.refusals]
    assert found == [reason], found


@then("the limiter's limit is {limit:d}")
def check_limit(context: Context, limit: int) -> None:
    """Check the limit."""
    assert context.limiter.limit == limit, context.limiter.limit


@then('the limiter has {none:d} free slots for {seconds:g} s more and then 2')
def check_free(context: Context, none: int, seconds: float) -> None:
    """Check the free slots just before and just after the deadline."""
    free_slots = []

    async def measure() -> None:
        await trio.sleep(seconds - 0.1)
        free_slots.append(context.limiter.free)
        await trio.sleep(0.2)
        free_slots.append(context.limiter.free)

    context.actions.append(measure)
    run_actions(context)
    assert free_slots == [none, 2], free_slots


@then('the limiter went back to its cold limit')
def check_cold(context: Context) -> None:
    """Check that the limit fell to one."""
    run_actions(context)
    assert min(context.limits) == 1, context.limits


@then("the limiter's ramps take longer each time")
def check_ramps(context: Context) -> None:
    """Compare the lengths of the ramps."""
    run_actions(context)
    first, second, third = context.ramps
    assert second > 1.5 * first, context.ramps
    assert third >= second, context.ramps


@given('an upstream whose load report is "{lie}" from its restart on')
def plan_lie(context: Context, lie: str) -> None:
    """Store the kind of wrong report."""
    context.lie = LoadLie(lie)


@when('callers keep it busy for {seconds:g} s')
def keep_busy(context: Context, seconds: float) -> None:
    """Restart the upstream and run more callers than it can handle."""

    async def script() -> None:
        async with open_world(context.seed) as world:
            await run_callers(context, world, seconds)

    run_seeded(context.seed, script)


async def run_callers(context: Context, world: World, seconds: float) -> None:
    """Run the callers against a restarted upstream."""
    upstream = world.start_upstream('kiosk-ledger', 'ledger-1', 'cz-a')
    stand_in = world.upstreams['ledger-1']
    stand_in.work_seconds = WORK_SECONDS
    stand_in.lag_seconds = 3
    await world.put_document(
        ServiceDocument(
            service='kiosk-ledger',
            team='vratka',
            upstreams=(upstream,),
        ),
    )
    await world.start_node('cz-a-entry-1', 'cz-a')
    await trio.sleep(1)
    stand_in.load_lie = context.lie
    stand_in.restart()
    await trio.sleep(1)
    workload = Workload(
        service='kiosk-ledger',
        until=trio.current_time() + seconds,
        pause_seconds=0.02,
        timeout_seconds=3,
    )
    async with trio.open_nursery() as nursery:
        workload.start(world, nursery, 4)
    context.stand_in = stand_in
    context.capacity = seconds * SLOTS / WORK_SECONDS


@then('it crashed from overload {count:d} times')
def check_crashes(context: Context, count: int) -> None:
    """Check how often the upstream crashed."""
    assert context.stand_in.falls == count, context.stand_in.falls


@then('it served at least {share:g} of its capacity')
def check_share(context: Context, share: float) -> None:
    """Check the requests served, as a share of the capacity."""
    found = len(context.stand_in.ledger) / context.capacity
    assert found >= share, found


@given('a flow counter of {connections:d} connections')
def plan_flow_counter(context: Context, connections: int) -> None:
    """Make a flow counter."""
    context.connections = connections
    context.flow_counter = FlowCounter(lifetime_seconds=300)


def admit(context: Context, *, foreign: bool) -> int:
    """Open flows until one is refused; return how many there are."""
    flow_counter = context.flow_counter
    while flow_counter.admits(
        0, connections=context.connections, foreign=foreign
    ):
        flow_counter.open(str(flow_counter.count(0)).encode(), 0)
    count: int = flow_counter.count(0)
    return count


@then('the flow counter admits {count:d} flows from other failure domains')
def check_foreign(context: Context, count: int) -> None:
    """Open flows from other failure domains until one is refused."""
    found = admit(context, foreign=True)
    assert found == count, found


@then('the flow counter admits {count:d} flows in all')
def check_all(context: Context, count: int) -> None:
    """Open flows from the same failure domain until one is refused."""
    found = admit(context, foreign=False)
    assert found == count, found


@then('an established flow of the flow counter is never refused')
def check_established(context: Context) -> None:
    """Record a request of a flow that the counter does not hold."""
    context.flow_counter.record_request(b'old', 0)
    assert context.flow_counter.established(b'old', 0)
