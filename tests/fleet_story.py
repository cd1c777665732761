"""Stories of a fleet: each check runs the story so far from its seed."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context

from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world

Act = Callable[[World], Awaitable[None]]


def tell(context: Context, act: Act) -> None:
    """Add what happens next to the story."""
    context.story = (*context.story, act)


def check(context: Context, act: Act) -> None:
    """Add a check and run the story up to it."""
    tell(context, act)

    async def run() -> None:
        async with open_world(context.seed) as world:
            for step in context.story:
                await step(world)

    run_seeded(context.seed, run)


def hosts(world: World, domain: str) -> list[str]:
    """Return the hosts of a domain's entry VMs."""
    return [
        running.host
        for running in world.nodes.values()
        if running.node.settings.domain == domain
    ]


async def wait_for(
    seconds: float, holds: Callable[[], bool], say: Callable[[], object]
) -> None:
    """Wait until something holds, or fail with what is so."""
    deadline = trio.current_time() + seconds
    while not holds():
        assert trio.current_time() < deadline, say()
        await trio.sleep(0.05)
