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


async def hold(context: Context, deadline: float, seconds: float) -> None:
    """Take a slot, work, and note how it went."""
    started = trio.current_time()
    try:
        async with context.limiter.slot(deadline=deadline):
            context.most = max(context.most, context.limiter.busy)
            await trio.sleep(seconds)
    except RequestFailedError as failure:
        context.refusals.append((trio.current_time() - started, failure))


async def warm(context: Context) -> None:
    """Grow the limiter to all slots."""
    while context.limiter.cold:
        await hold(context, trio.current_time() + 60, context.work)


@given('a limiter of {slots:d} slots whose answers take {work:g} s')
def plan_limiter(context: Context, slots: int, work: float) -> None:
    """Make a limiter and a list of what happens to it."""
    context.work = work
    context.most = 0
    context.refusals = []
    context.acts = []

    async def make() -> None:
        context.limiter = make_limiter(
            name='ledger-1',
            slots=slots,
            cold_limit=1,
            rng=Random(context.seed),
        )

    context.acts.append(make)


@when('{count:d} requests with {seconds:g} s each reach the limiter')
def plan_burst(context: Context, count: int, seconds: float) -> None:
    """Warm it, then bring many requests at once."""

    async def act() -> None:
        await warm(context)
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(hold, context, deadline, context.work)

    context.acts.append(act)
    play(context)


def play(context: Context) -> None:
    """Run what was planned."""

    async def story() -> None:
        for act in context.acts:
            await act()

    run_seeded(context.seed, story)


@when('the limiter has been warmed')
def plan_warm(context: Context) -> None:
    """Grow it to all slots."""

    async def act() -> None:
        await warm(context)

    context.acts.append(act)


@when('a limited request is shed for {seconds:g} s')
def plan_shed(context: Context, seconds: float) -> None:
    """Let the upstream shed one request."""

    async def act() -> None:
        try:
            async with context.limiter.slot(deadline=trio.current_time() + 9):
                raise RequestFailedError(
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.UPSTREAM_SHED,
                    retry_after_seconds=seconds,
                )
        except RequestFailedError:
            return

    context.acts.append(act)


@when('{count:d} limited requests of {longest:g} s fall silent after {at:g} s')
def plan_silence(
    context: Context, count: int, longest: float, at: float
) -> None:
    """Lose the connection of some requests without a word."""

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

    async def act() -> None:
        deadline = trio.current_time() + longest
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(lose, deadline)

    context.acts.append(act)


@when("the limiter's answers take {work:g} s for {count:d} requests")
def plan_slow(context: Context, work: float, count: int) -> None:
    """Serve more slowly."""

    async def act() -> None:
        for _ in range(40):
            await hold(context, trio.current_time() + 60, context.work)
        context.limits = []
        for _ in range(count):
            await hold(context, trio.current_time() + 60, work)
            context.limits.append(context.limiter.limit)

    context.acts.append(act)


@when('the limiter falls each time it has grown')
def plan_falls(context: Context) -> None:
    """Start cold again at every second step."""

    async def ramp(limiter: AdaptiveLimiter) -> float:
        started = trio.current_time()
        while limiter.limit < 2:
            await hold(context, trio.current_time() + 60, context.work)
        limiter.start_cold(cause='connection-lost')
        return trio.current_time() - started

    async def act() -> None:
        context.ramps = [await ramp(context.limiter) for _ in range(3)]

    context.acts.append(act)


@then('the limiter admitted at most {count:d} at once')
def check_most(context: Context, count: int) -> None:
    """Check the most work at once."""
    assert context.most == count, context.most


@then(
    'every limiter refusal was "{verdict}" for "{reason}" within {limit:g} ms'
)
def check_refusals(
    context: Context, verdict: str, reason: str, limit: float
) -> None:
    """Check each refusal."""
    assert context.refusals
    for seconds, failure in context.refusals:
        assert seconds * 1000 < limit, seconds
        assert failure.verdict.value == verdict, failure
        assert failure.reason.value == reason, failure


@then("the limiter's times to come back differ and grow from {least:g} s")
def check_times(context: Context, least: float) -> None:
    """Check that late refusals are sent further away than early ones."""
    times = [failure.retry_after_seconds for _, failure in context.refusals]
    half = len(times) // 2
    assert min(times) >= least, times
    assert len(set(times)) == len(times), times
    assert sum(times[half:]) > 1.5 * sum(times[:half]), times


@then('the limiter refuses for "{reason}" until {seconds:g} s have passed')
def check_shed(context: Context, reason: str, seconds: float) -> None:
    """Ask before and after the time that the upstream asked for."""

    async def ask() -> None:
        await trio.sleep(seconds - 0.1)
        await hold(context, trio.current_time() + 9, context.work)
        context.before = list(context.refusals)
        await trio.sleep(0.2)
        await hold(context, trio.current_time() + 9, context.work)

    context.acts.append(ask)
    play(context)
    found = [failure.reason.value for _, failure in context.refusals]
    assert found == [reason], found


@then("the limiter's limit is {limit:d}")
def check_limit(context: Context, limit: int) -> None:
    """Check the limit."""
    assert context.limiter.limit == limit, context.limiter.limit


@then('the limiter has {none:d} free slots for {seconds:g} s more and then 2')
def check_free(context: Context, none: int, seconds: float) -> None:
    """Look just before and just after."""
    seen = []

    async def look() -> None:
        await trio.sleep(seconds - 0.1)
        seen.append(context.limiter.free)
        await trio.sleep(0.2)
        seen.append(context.limiter.free)

    context.acts.append(look)
    play(context)
    assert seen == [none, 2], seen


@then('the limiter went back to its cold limit')
def check_cold(context: Context) -> None:
    """Check that the limit fell to one."""
    play(context)
    assert min(context.limits) == 1, context.limits


@then("the limiter's ramps take longer each time")
def check_ramps(context: Context) -> None:
    """Compare the lengths of the ramps."""
    play(context)
    first, second, third = context.ramps
    assert second > 1.5 * first, context.ramps
    assert third >= second, context.ramps


@given('an upstream whose load report is "{lie}" from its restart on')
def plan_lie(context: Context, lie: str) -> None:
    """Remember the lie."""
    context.lie = LoadLie(lie)


@when('callers keep it busy for {seconds:g} s')
def keep_busy(context: Context, seconds: float) -> None:
    """Restart the upstream and bring more callers than it bears."""

    async def story() -> None:
        async with open_world(context.seed) as world:
            await load(context, world, seconds)

    run_seeded(context.seed, story)


async def load(context: Context, world: World, seconds: float) -> None:
    """Run the callers."""
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
    work = Workload(
        service='kiosk-ledger',
        until=trio.current_time() + seconds,
        pause_seconds=0.02,
        timeout_seconds=3,
    )
    async with trio.open_nursery() as nursery:
        work.start(world, nursery, 4)
    context.stand_in = stand_in
    context.bearable = seconds * SLOTS / WORK_SECONDS


@then('it fell over {count:d} times')
def check_falls(context: Context, count: int) -> None:
    """Check the falls."""
    assert context.stand_in.falls == count, context.stand_in.falls


@then('it served at least {share:g} of what it bears')
def check_share(context: Context, share: float) -> None:
    """Check the work done."""
    found = len(context.stand_in.ledger) / context.bearable
    assert found >= share, found


@given('a flow book of {connections:d} connections')
def plan_book(context: Context, connections: int) -> None:
    """Make a book."""
    context.connections = connections
    context.book = FlowCounter(lifetime_seconds=300)


def admit(context: Context, *, foreign: bool) -> int:
    """Open flows until one is refused; return how many there are."""
    book = context.book
    while book.admits(0, connections=context.connections, foreign=foreign):
        book.open(str(book.count(0)).encode(), 0)
    count: int = book.count(0)
    return count


@then('the flow book admits {count:d} flows from other failure domains')
def check_foreign(context: Context, count: int) -> None:
    """Fill it from elsewhere."""
    found = admit(context, foreign=True)
    assert found == count, found


@then('the flow book admits {count:d} flows in all')
def check_all(context: Context, count: int) -> None:
    """Fill it with the domain's own."""
    found = admit(context, foreign=False)
    assert found == count, found


@then('an established flow of the flow book is never refused')
def check_established(context: Context) -> None:
    """Use a flow that the book has forgotten."""
    context.book.record_request(b'old', 0)
    assert context.book.established(b'old', 0)
