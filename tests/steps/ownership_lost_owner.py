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
        """Say that nothing was sent."""
        raise RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.OVERLOADED,
        )


@given("a lost owner's upstream that works {seconds:g} s on each request")
def plan_upstream(context: Context, seconds: float) -> None:
    """Remember how long the upstream works."""
    context.work_seconds = seconds
    context.heirs = 0


@given('an heir in its failure domain whose dispatcher refuses everything')
def plan_heir(context: Context) -> None:
    """Remember to start an heir."""
    context.heirs = 1


@asynccontextmanager
async def fleet(context: Context) -> AsyncGenerator[World, None]:
    """Start one upstream, its owner, heirs and a VM of another domain."""
    async with open_world(context.seed) as world:
        upstream = world.start_upstream(SERVICE, UPSTREAM, HOME)
        world.upstreams[UPSTREAM].work_seconds = context.work_seconds
        document = ServiceDocument(
            service=SERVICE,
            team='vecinas',
            upstreams=(attrs.evolve(upstream, cold_limit=2),),
        )
        await world.put_document(document)
        for number in range(1 + context.heirs):
            await world.start_node(f'{HOME}-{number}', HOME)
        await world.start_node('quito-b-0', 'quito-b')
        await trio.sleep(6)
        yield world


async def put(context: Context, session: Session) -> None:
    """Put once and remember what was told."""
    try:
        await session.request('PUT', ('portions',), timeout_seconds=20)
    except CallFailedError as error:
        context.told = error.verdict.value
    else:
        context.told = 'done'


async def lose_owner(world: World, seconds: float) -> None:
    """Kill the owner; every other VM of the domain refuses from then on."""
    await trio.sleep(seconds)
    owners = [
        name
        for name, running in world.nodes.items()
        if running.node.owners.owned
    ]
    for name, running in world.nodes.items():
        if name not in owners:
            running.node.owners.build = refusing(running.node.owners.build)
    world.kill_node(owners[0])


def refusing(build: object) -> object:
    """Make owned upstreams whose dispatcher refuses everything."""

    def build_refusing(*parts: object) -> object:
        owned = build(*parts)
        owned.dispatcher = RefusingDispatcher()
        return owned

    return build_refusing


@when('its owner dies {seconds:g} s after a caller sent a PUT')
def lose(context: Context, seconds: float) -> None:
    """Run the story."""

    async def story() -> None:
        async with fleet(context) as world, world.session(SERVICE) as session:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lose_owner, world, seconds)
                await put(context, session)
            context.ledger = world.upstreams[UPSTREAM].ledger

    run_seeded(context.seed, story)


@then('the lost owner\'s caller is told "{verdict}"')
def check_told(context: Context, verdict: str) -> None:
    """Check the verdict."""
    assert context.told == verdict, context.told


@then("the lost owner's upstream has run the request")
def check_ran(context: Context) -> None:
    """Check the ledger."""
    assert len(context.ledger) == 1, context.ledger
