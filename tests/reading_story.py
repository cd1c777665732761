"""Stories of nodes that share the reading of the store."""

import json
from collections.abc import Awaitable, Callable

import attrs
import trio
from behave.runner import Context

from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.packets.fleet import FleetNode, SharedFleet, open_fleet

# Until each domain has a reader and everyone has asked it.
SETTLE_SECONDS = 7.0
UPSTREAM_COUNT = 20

Act = Callable[[SharedFleet], Awaitable[None]]


@attrs.define
class Story:
    """Hold a fleet's size and the steps to play on it."""

    nodes: int
    domains: int
    acts: list[Act] = attrs.field(factory=list)
    chosen: FleetNode | None = None
    calls: int = 0
    peer_bytes: int = 0
    began: float = 0


def play(context: Context, check: Act) -> None:
    """Play the story so far, then a check; all of it on virtual time."""
    story = context.story

    async def main() -> None:
        async with open_fleet(context.seed) as fleet:
            await add_upstreams(fleet)
            for number in range(story.nodes):
                await fleet.add_node(f'd{number % story.domains}', cores=0.5)
            await fleet.run(SETTLE_SECONDS)
            mark(story, fleet)
            for act in story.acts:
                await act(fleet)
            await check(fleet)

    run_seeded(context.seed, main)


def act(context: Context, step: Act) -> None:
    """Remember a step; it is played by each check that follows."""
    context.story.acts.append(step)


def check(context: Context, step: Act) -> None:
    """Play the story with a check, which later steps come after."""
    play(context, step)
    act(context, step)


def mark(story: Story, fleet: SharedFleet) -> None:
    """Count calls, bytes and ages from now on."""
    story.calls = len(fleet.store.calls)
    story.peer_bytes = fleet.peer_bytes
    story.began = trio.current_time()
    fleet.oldest = 0


async def add_upstreams(fleet: SharedFleet) -> None:
    """Write the entries of some upstreams."""
    for number in range(UPSTREAM_COUNT):
        put_upstream(fleet, number)


def put_upstream(
    fleet: SharedFleet,
    number: int,
    state: str = 'ready',
) -> None:
    """Write one upstream's entry."""
    entry = {
        'Service': 'ledger',
        'Address': f'10.2.0.{number + 1}:8080',
        'Zone': 'd0',
        'Slots': 2,
        'State': state,
    }
    key = f'{UPSTREAMS}i-{number + 1:08x}'
    fleet.store.put(key, json.dumps(entry).encode())
