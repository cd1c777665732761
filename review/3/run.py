"""Case 3: an entry with a number that is too large ends all nodes."""

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
    World,
    main,
    manifest,
)

ZONE = 'cz-central-a'
STABLE_SECONDS = 5.0
TRIES = 40


async def watch_exits(world: World, exits: dict[str, int]) -> None:
    """Start again each process that ends by itself, as the platform does."""
    while True:
        await asyncio.sleep(0.2)
        for node in world.nodes:
            if node.restart_if_ended() is not None:
                exits[node.name] = exits.get(node.name, 0) + 1


async def play(world: World, trouble: bool) -> bool:
    """Return True if two nodes or more ended by themselves three times."""
    world.store.put('op/config', manifest(7))
    await world.start_store()
    for _ in range(3):
        await world.add_endpoint(ZONE)
    router = await world.start_zone(ZONE, 3)
    await world.until_ready(router.nodes)
    world.spawn(router.run())
    exits: dict[str, int] = {}
    world.spawn(watch_exits(world, exits))
    await asyncio.sleep(STABLE_SECONDS)
    if trouble:
        entry = json.loads(world.endpoints[0].entry())
        entry['Address'] = f'127.0.2.8:{world.ports["endpoint"]}'
        entry['Slots'] = 10**320
        name = f'i-{random.getrandbits(40):010x}'
        world.store.put(f'servers/{name}', json.dumps(entry).encode())
        world.record(f'another writer puts servers/{name}')
        await asyncio.sleep(1.0)
    client = world.clients[ZONE]
    served = 0
    for number in range(TRIES):
        flow = client.make_flow(ROUTE_COUNT if number % 2 else ROUTE_FEED)
        began = time.monotonic()
        if await flow.connect():
            request = flow.ask(f'feed-{number}', 20)
            await request.done.wait()
            served += request.outcome == 'answered'
        else:
            world.record(f'feed-{number} was not opened: {flow.failure}')
        await asyncio.sleep(max(0, 0.3 - (time.monotonic() - began)))
    world.record(f'{served} of {TRIES} requests were served; exits: {exits}')
    for node in world.nodes:
        text = node.log.read_text(encoding='utf-8').splitlines()
        errors = [line for line in text if 'Error' in line]
        world.record(f'{node}: {errors[:1]}')
    return sum(count >= 3 for count in exits.values()) >= 2


if __name__ == '__main__':
    main(FOLDER, play)
