"""Steps about verdicts after an owner is lost."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import attrs
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session
from burdocksill.documents.models import ServiceDocument
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world

SERVICE = 'rounds'
UPSTREAM = 'rounds-1'
HOME = 'quito-a'


class RefusingDispatcher:
    """Refuse every request before it is sent."""

    async def dispatch(self, request: object, **options: object) -> None:
        """Raise a refusal as "not run"."""
        raise RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.OVERLOADED,
        )


@given("a lost owner's upstream that takes {seconds:g} s for each request")
def set_up_upstream(context: Context, seconds: float) -> None:
    """Set the duration of each request at the upstream."""
    context.work_seconds = seconds
    context.successors = 0


@given(
    'a successor in its failure domain whose dispatcher refuses all requests'
)
def set_up_successor(context: Context) -> None:
    """Start one more entry VM in the domain of the owner."""
    context.successors = 1


@asynccontextmanager
async def open_fleet(context: Context) -> AsyncGenerator[World, None]:
    """Start one upstream, its owner, successors and a remote VM."""
    async with open_world(context.seed) as world:
        upstream = world.start_upstream(SERVICE, UPSTREAM, HOME)
        world.upstreams[UPSTREAM].work_seconds = context.work_seconds
        document = ServiceDocument(
            service=SERVICE,
            team='vecinas',
            upstreams=(attrs.evolve(upstream, cold_limit=2),),
        )
        await world.put_document(document)
        for number in range(1 + context.successors):
            await world.start_node(f'{HOME}-{number}', HOME)
        await world.start_node('quito-b-0', 'quito-b')
        await trio.sleep(6)
        yield world


async def send_put(context: Context, session: Session) -> None:
    """Send one PUT and store the reported verdict."""
    try:
        await session.request('PUT', ('portions',), timeout_seconds=20)
    except CallFailedError as error:
        context.reported_verdict = error.verdict.value
    else:
        context.reported_verdict = 'done'


async def kill_owner(world: World, seconds: float) -> None:
    """Kill the owner; all other VMs refuse requests from then on."""
    await trio.sleep(seconds)
    owners = [
        name
        for name, running in world.nodes.items()
        if running.node.owners.owned
    ]
    for name, running in world.nodes.items():
        if name not in owners:
            running.node.owners.build = with_refusing_dispatcher(
                running.node.owners.build
            )
    world.kill_node(owners[0])


def with_refusing_dispatcher(build: object) -> object:
    """Wrap a factory so that its dispatchers refuse all requests."""

    def build_refusing(*parts: object) -> object:
        owned = build(*parts)
        owned.dispatcher = RefusingDispatcher()
        return owned

    return build_refusing


@when('its owner dies {seconds:g} s after a caller sent a PUT')
def send_and_kill_owner(context: Context, seconds: float) -> None:
    """Send a PUT and kill the owner before the answer."""

    async def script() -> None:
        async with (
            open_fleet(context) as world,
            world.session(SERVICE) as session,
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(kill_owner, world, seconds)
                await send_put(context, session)
            context.ledger = world.upstreams[UPSTREAM].ledger

    run_seeded(context.seed, script)


@then('the lost owner\'s caller gets the verdict "{verdict}"')
def check_verdict(context: Context, verdict: str) -> None:
    """Check the verdict."""
    assert context.reported_verdict == verdict, context.reported_verdict


@then("the lost owner's upstream has run the request")
def check_ran(context: Context) -> None:
    """Check the requests that the upstream has run."""
    assert len(context.ledger) == 1, context.ledger
