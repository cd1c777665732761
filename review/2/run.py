"""Case 2: an incomplete entry ends the flows of a living endpoint."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    ROUTE_COUNT,
    ROUTE_FEED,
    CannotRunError,
    World,
    main,
    manifest,
    show,
)

ZONE = 'cz-central-a'
STABLE_SECONDS = 5.0
FLOWS = 40


async def play(world: World, trouble: bool) -> bool:
    """Return True if a client was reset on a flow of a living endpoint."""
    world.store.put('op/config', manifest(7))
    await world.start_store()
    for _ in range(3):
        await world.add_endpoint(ZONE)
    router = await world.start_zone(ZONE, 3)
    await world.until_ready(router.nodes)
    world.spawn(router.run())
    await asyncio.sleep(STABLE_SECONDS)

    client = world.clients[ZONE]
    flows = []
    for number in range(FLOWS):
        flow = client.make_flow(ROUTE_COUNT if number % 2 else ROUTE_FEED)
        if not await flow.connect():
            raise CannotRunError(f'{show(flow.key)} was not opened')
        flows.append(flow)
    endpoint = world.endpoints[0]
    mine = [one for one in flows if one.upstream == endpoint.tag & 0xFFFFFFFF]
    world.record(f'{len(mine)} of {len(flows)} flows are on {endpoint.name}')
    waiting = [
        one.ask(f'count-{number}', 120)
        for number, one in enumerate(mine)
        if one.key[3] == ROUTE_COUNT[1]
    ][:4]
    await asyncio.sleep(0.03)
    if trouble:
        # An entry without Version, Slots, WarmupMs and Seq.
        entry = {
            'Service': endpoint.service,
            'Address': f'{endpoint.address[0]}:{endpoint.address[1]}',
            'Zone': ZONE,
            'State': 'ready',
            'born': int(time.time() * 1000),
        }
        name = f'i-{random.getrandbits(40):010x}'
        world.store.put(f'servers/{name}', json.dumps(entry).encode())
        world.record(f'another writer puts servers/{name}: {entry}')
    await asyncio.gather(*(request.done.wait() for request in waiting))
    await asyncio.sleep(3.0)
    if trouble:
        # The entry goes, and the endpoint writes its own once more.
        world.store.remove(f'servers/{name}')
        world.store.put(f'servers/{endpoint.name}', endpoint.entry())
        world.record(f'servers/{name} is removed')
        await asyncio.sleep(3.0)
    for request in waiting:
        ran = request.name in endpoint.ran
        world.record(
            f'{request.name}: {request.outcome}; '
            f'{"run" if ran else "not run"} by {endpoint.name}'
        )
    later = [flow for flow in mine if not flow.closed]
    for number, flow in enumerate(later):
        await flow.ask(f'feed-later-{number}', 20).done.wait()
    opened: list[str] = []
    for _ in range(FLOWS):
        flow = client.make_flow(ROUTE_FEED)
        if await flow.connect():
            names = {one.tag & 0xFFFFFFFF: one.name for one in world.endpoints}
            opened.append(names[flow.upstream])
    world.record(
        f'{opened.count(endpoint.name)} of {len(opened)} later flows are on '
        f'{endpoint.name}'
    )
    wrong = [flow for flow in flows if flow.reset_by_node_at]
    for flow in wrong:
        age = flow.reset_by_node_at - flow.opened_at
        world.record(
            f'{show(flow.key)} was reset by a node at an age of {age:.1f} s; '
            f'its endpoint {endpoint.name} lives and is still registered'
        )
    world.record_log('upstream-replaced')
    return bool(wrong)


if __name__ == '__main__':
    main(FOLDER, play)
