"""Scripts of a fleet: each check runs the script so far from its seed."""

from collections.abc import Awaitable, Callable

import trio
from behave.runner import Context

from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world

Step = Callable[[World], Awaitable[None]]


def add_step(context: Context, step: Step) -> None:
    """Add a step to the script."""
    context.script = (*context.script, step)


def add_check(context: Context, step: Step) -> None:
    """Add a check and run the script up to it."""
    add_step(context, step)

    async def run() -> None:
        async with open_world(context.seed) as world:
            for step in context.script:
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
    seconds: float,
    condition: Callable[[], bool],
    describe: Callable[[], object],
) -> None:
    """Wait until a condition holds, or fail with a description."""
    deadline = trio.current_time() + seconds
    while not condition():
        assert trio.current_time() < deadline, describe()
        await trio.sleep(0.05)
