"""Case 3: a machine is added, and a node resets flows of a living endpoint."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    ROUTE_COUNT,
    ROUTE_FEED,
    CannotRunError,
    ClientFlow,
    Node,
    Router,
    World,
    main,
    manifest,
    show,
)

ZONE = 'cz-central-a'
STABLE_SECONDS = 5.0
# Work of a queued request, below the 180 ms that the site file allows.
QUEUED_WORK_MS = 100
QUEUED_REQUESTS = 9
# Between the two times at which the endpoint has a queue.
QUIET_SECONDS = 3.0


def paths(flow: ClientFlow, router: Router, added: Node) -> tuple[Node, Node]:
    """Return the node of a flow before and after a machine is added."""
    before = [one for one in router.nodes if one is not added]
    return (
        router.choose_among(flow.key, before),
        router.choose_among(flow.key, [*before, added]),
    )


async def open_flows(world: World, count: int) -> list[ClientFlow]:
    """Open long flows of both routes."""
    client = world.clients[ZONE]
    opened = []
    for number in range(count):
        route = ROUTE_COUNT if number % 2 else ROUTE_FEED
        flow = client.make_flow(route)
        if not await flow.connect():
            raise CannotRunError(f'{show(flow.key)} was not opened')
        opened.append(flow)
    return opened


async def ask_each(flows: list[ClientFlow], name: str) -> None:
    """Send a usual request on each flow, one after the other."""
    for number, flow in enumerate(flows):
        prefix = 'count' if flow.key[3] == ROUTE_COUNT[1] else 'feed'
        await flow.ask(f'{prefix}-{name}-{number}', 20).done.wait()


def fill_queue(flows: list[ClientFlow], name: str) -> None:
    """Send requests at the same moment, so that the endpoint has a queue."""
    for number, flow in enumerate(flows):
        flow.ask(f'feed-{name}-{number}', QUEUED_WORK_MS)


async def play(world: World, trouble: bool) -> bool:
    """Return True if a client was reset on a flow of a living endpoint."""
    world.store.put('op/config', manifest(7))
    await world.start_store()
    for _ in range(2):
        await world.add_endpoint(ZONE)
    router = await world.start_zone(ZONE, 3)
    await world.until_ready(router.nodes)
    world.spawn(router.run())
    await asyncio.sleep(STABLE_SECONDS)

    added = world.make_node(ZONE)
    flows = await open_flows(world, 160)
    endpoint = world.endpoints[0]
    mine = [
        flow for flow in flows if flow.upstream == endpoint.tag & 0xFFFFFFFF
    ]
    world.record(f'{len(mine)} of {len(flows)} flows are on {endpoint.name}')
    unsafe = [flow for flow in mine if flow.key[3] == ROUTE_COUNT[1]]
    safe = [flow for flow in mine if flow.key[3] == ROUTE_FEED[1]]
    watched = router.nodes[0]
    # One request waits while its flow moves away from the watched node; later
    # another waits whose flow has moved there.
    away = next(
        flow
        for flow in unsafe
        if paths(flow, router, added)[0] is watched
        and paths(flow, router, added)[1] is not watched
    )
    here = next(
        flow
        for flow in unsafe
        if paths(flow, router, added)[0] is not watched
        and paths(flow, router, added)[1] is watched
    )
    others = [
        flow for flow in safe if watched not in paths(flow, router, added)
    ][:QUEUED_REQUESTS]
    if len(others) < QUEUED_REQUESTS:
        raise CannotRunError('too few flows')
    world.record(f'{show(away.key)} moves away from {watched}')
    world.record(f'{show(here.key)} moves to {watched}')
    await ask_each([away, here, *others[:4]], 'warm-a')
    await ask_each([away, here, *others[:4]], 'warm-b')
    # Usual answers of the endpoint as the watched node sees them.
    seen = [flow for flow in safe if watched is paths(flow, router, added)[0]][
        :6
    ]
    await ask_each(seen, 'warm-c')
    await asyncio.sleep(1.0)

    if trouble:
        added.start()
        await world.until_ready([added])
    # The endpoint gets a queue at the time when the machine is added.
    wait = router.next_probe_at - 0.33 - time.monotonic()
    await asyncio.sleep(wait if wait > 0 else wait + 0.5)
    fill_queue(others, 'first')
    await asyncio.sleep(0.02)
    first = away.ask('count-first', 50)
    if trouble:
        # The platform routes to the added machine from its next probe on.
        router.nodes.append(added)
    await first.done.wait()
    await asyncio.sleep(QUIET_SECONDS)
    fill_queue(others, 'second')
    await asyncio.sleep(0.02)
    second = here.ask('count-second', 50)
    await second.done.wait()
    await asyncio.sleep(1.5)

    for request in (first, second):
        ran = request.name in endpoint.ran
        world.record(
            f'{request.name}: {request.outcome}; '
            f'{"run" if ran else "not run"} by {endpoint.name}'
        )
    wrong = [flow for flow in flows if flow.reset_by_node_at]
    for flow in wrong:
        age = flow.reset_by_node_at - flow.opened_at
        world.record(
            f'{show(flow.key)} was reset by a node at an age of {age:.1f} s, '
            f'idle for at most {flow.reset_by_node_at - flow.last_seen:.1f} s; '
            f'its endpoint {endpoint.name} lives'
        )
    world.record_log('upstream-dark')
    return bool(wrong)


if __name__ == '__main__':
    main(FOLDER, play)
