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
UPSTREAM = Upstream(
    name='ledger-1',
    domain='cz-a',
    host='10.0.0.9',
    port=8080,
    slots=2,
    connections=10,
)

Action = Callable[[VerifiedClient, StandInUpstream], Awaitable[None]]


async def with_client(context: Context, action: Action) -> None:
    """Run an action with a client that has had time to connect."""
    network = FakeNetwork(rng=Random(context.seed))
    stand_in = context.stand_in
    network.listeners[UPSTREAM.address] = stand_in.serve_stream
    client = VerifiedClient(
        service='kiosk-ledger',
        upstream=UPSTREAM,
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
        await action(client, stand_in)
        nursery.cancel_scope.cancel()


async def send(context: Context, client: VerifiedClient) -> None:
    """Send a count and store its answer or failure."""
    context.failure = None
    context.started = trio.current_time()
    try:
        context.answer = await client.exchange(COUNT)
    except RequestFailedError as failure:
        context.failure = failure
    context.took = trio.current_time() - context.started


def run_actions_once(context: Context) -> None:
    """Run the planned actions; later calls run nothing."""
    actions = context.actions
    context.actions = []

    async def script() -> None:
        async def run_actions(
            client: VerifiedClient,
            stand_in: StandInUpstream,
        ) -> None:
            for action in actions:
                await action(client, stand_in)

        await with_client(context, run_actions)

    if actions:
        run_seeded(context.seed, script)


@given('a connected upstream with the fault "{fault}"')
def plan_fault(context: Context, fault: str) -> None:
    """Make an upstream with a fault."""
    context.actions = []
    context.stand_in = StandInUpstream(
        service='kiosk-ledger',
        name='ledger-1',
        fault=Fault(fault),
    )


@given('a connected upstream that identifies as another service')
def plan_other_service(context: Context) -> None:
    """Make an upstream of another service at the address."""
    context.actions = []
    context.stand_in = StandInUpstream(
        service='statement-desk',
        name='ledger-1',
    )


@when('a count is sent on the connection')
def plan_count(context: Context) -> None:
    """Send a count."""

    async def action(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        await send(context, client)
        context.times = [*getattr(context, 'times', []), context.took]

    context.actions.append(action)


@when('the connection breaks and a count is sent at once')
def plan_break(context: Context) -> None:
    """Close the stream and send before the client has noticed."""

    async def action(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        connection = client.require_connection()
        with trio.CancelScope() as scope:
            scope.cancel()
            await connection.stream.aclose()
        await send(context, client)

    context.actions.append(action)


@when('the upstream works again and {seconds:g} s pass')
def plan_recovery(context: Context, seconds: float) -> None:
    """End the fault, so that new connections work, and wait."""

    async def action(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        stand_in.fault = Fault.NONE
        await trio.sleep(seconds)

    context.actions.append(action)


@when('GOAWAY arrives between two counts on the connection')
def plan_goaway(context: Context) -> None:
    """Send a count, make the upstream send GOAWAY, and send another count."""

    async def action(client: VerifiedClient, stand_in: StandInUpstream) -> None:
        stand_in.work_seconds = 0.5
        connection = client.require_connection()

        async def first() -> None:
            context.first: UpstreamAnswer = await connection.exchange(COUNT)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(first)
            await trio.sleep(0.1)
            stand_in.send_goaway()
            await send(context, client)

    context.actions.append(action)


@then('the connection\'s verdict is "{verdict}" for "{reason}"')
def check_verdict(context: Context, verdict: str, reason: str) -> None:
    """Check the verdict and reason of the failure."""
    run_actions_once(context)
    assert context.failure is not None, context.answer
    found = (context.failure.verdict.value, context.failure.reason.value)
    assert found == (verdict, reason), found


@then("the upstream's ledger has {count:d} counts")
def check_ledger(context: Context, count: int) -> None:
    """Check how many counts ran."""
    run_actions_once(context)
    assert len(context.stand_in.ledger) == count, context.stand_in.ledger


@then('the count was answered')
def check_answered(context: Context) -> None:
    """Check the last answer."""
    run_actions_once(context)
    assert context.failure is None, context.failure
    assert context.answer.status == 200


@then('the first count was answered')
def check_first(context: Context) -> None:
    """Check the answer of the request in progress."""
    run_actions_once(context)
    assert context.first.status == 200


@then('the unresponsive connection was closed within {seconds:g} s')
def check_closed(context: Context, seconds: float) -> None:
    """Check how long the first count took to fail."""
    assert context.times[0] <= seconds, context.times
