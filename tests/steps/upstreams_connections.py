"""Steps about connections to upstreams."""

from collections.abc import Awaitable, Callable
from random import Random

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.models import Upstream
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.upstreams.client import VerifiedClient
from burdocksill.upstreams.limits import make_limiter
from burdocksill.upstreams.messages import UpstreamAnswer, UpstreamRequest
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import FakeHost, FakeNetwork
from burdocksill_lab.stand_ins.upstream import Fault, StandInUpstream

COUNT = UpstreamRequest(method='POST', path='/returns', payload=b'7')
PLACE = Upstream(
    name='ledger-1',
    domain='cz-a',
    host='10.0.0.9',
    port=8080,
    slots=2,
    connections=10,
)

Act = Callable[[VerifiedClient, StandInUpstream], Awaitable[None]]


async def with_client(context: Context, act: Act) -> None:
    """Run something with a client that has had time to connect."""
    network = FakeNetwork(rng=Random(context.seed))
    stand_in = context.stand_in
    network.listeners[PLACE.address] = stand_in.serve_stream
    client = VerifiedClient(
        service='kiosk-ledger',
        upstream=PLACE,
        network=FakeHost(network=network, host='10.0.0.1'),
        limiter=make_limiter(
            name='ledger-1',
            slots=2,
            cold_limit=1,
            rng=Random(context.seed),
        ),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(network.run)
        nursery.start_soon(client.run)
        await trio.sleep(0.1)
        await act(client, stand_in)
        nursery.cancel_scope.cancel()


async def send(context: Context, client: VerifiedClient) -> None:
    """Send a count and remember its answer or failure."""
    context.failure = None
    context.started = trio.current_time()
    try:
        context.answer = await client.exchange(COUNT)
    except RequestFailedError as failure:
        context.failure = failure
    context.took = trio.current_time() - context.started


def play(context: Context) -> None:
    """Run all acts that were planned."""
    acts = context.acts
    context.acts = []

    async def story() -> None:
        async def run_acts(
            client: VerifiedClient,
            stand_in: StandInUpstream,
        ) -> None:
            for act in acts:
                await act(client, stand_in)

        await with_client(context, run_acts)

    if acts:
        run_seeded(context.seed, story)


@given('a connected upstream with the fault "{fault}"')
def plan_fault(context: Context, fault: str) -> None:
    """Make the upstream."""
    context.acts = []
    context.stand_in = StandInUpstream(
        service='kiosk-ledger',
        name='ledger-1',
        fault=Fault(fault),
    )


@given('a connected upstream that names another service')
def plan_foreign(context: Context) -> None:
    """Make an upstream of another service at the address."""
    context.acts = []
    context.stand_in = StandInUpstream(
        service='statement-desk',
        name='ledger-1',
    )


@when('a count goes over the connection')
def plan_count(context: Context) -> None:
    """Send a count."""

    async def act(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        await send(context, client)
        context.times = [*getattr(context, 'times', []), context.took]

    context.acts.append(act)


@when('the connection breaks and a count goes over it at once')
def plan_break(context: Context) -> None:
    """Break the connection at this end and send before anyone notices."""

    async def act(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        connection = client.require()
        with trio.CancelScope() as scope:
            scope.cancel()
            await connection.stream.aclose()
        await send(context, client)

    context.acts.append(act)


@when('the upstream works again and {seconds:g} s pass')
def plan_recovery(context: Context, seconds: float) -> None:
    """Let new connections work."""

    async def act(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        stand_in.fault = Fault.NONE
        await trio.sleep(seconds)

    context.acts.append(act)


@when('GOAWAY comes between two counts on the connection')
def plan_goaway(context: Context) -> None:
    """Send a count, let the upstream go away, and send another at once."""

    async def act(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        stand_in.work_seconds = 0.5
        connection = client.require()

        async def first() -> None:
            context.first: UpstreamAnswer = await connection.exchange(COUNT)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.1)
            stand_in.send_goaway()
            await send(context, client)

    context.acts.append(act)


@then('the connection\'s verdict is "{verdict}" for "{reason}"')
def check_verdict(context: Context, verdict: str, reason: str) -> None:
    """Compare what was raised."""
    play(context)
    assert context.failure is not None, context.answer
    found = (context.failure.verdict.value, context.failure.reason.value)
    assert found == (verdict, reason), found


@then("the upstream's ledger has {count:d} counts")
def check_ledger(context: Context, count: int) -> None:
    """Check what ran."""
    play(context)
    assert len(context.stand_in.ledger) == count, context.stand_in.ledger


@then('the count was answered')
def check_answered(context: Context) -> None:
    """Check the last answer."""
    play(context)
    assert context.failure is None, context.failure
    assert context.answer.status == 200


@then('the first count was answered')
def check_first(context: Context) -> None:
    """Check the answer of the request in progress."""
    play(context)
    assert context.first.status == 200


@then('the silent connection was given up within {seconds:g} s')
def check_silent(context: Context, seconds: float) -> None:
    """Check how long the silence lasted."""
    assert context.times[0] <= seconds, context.times
