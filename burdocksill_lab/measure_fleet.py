"""Measure what the fleet's control costs each VM, at several sizes."""

import json
import resource
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Final

import attrs
import click
import trio

from burdocksill.documents.acceptance import put_document
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world

SEED: Final = 1
SIZES: Final = (8, 16, 32, 64, 128, 256)
DOCUMENTS: Final = (10, 100, 1000)
UPSTREAMS_PER_DOCUMENT: Final = 10
CHANGES: Final = 10
RESTARTS: Final = 10
RESTART_SIZES: Final = (16, 64)
VMS: Final = 16
START_SECONDS: Final = 4.0
MEASURED_SECONDS: Final = 15.0
KILOBYTE: Final = 1024
NEAR: Final = 'near'
FAR: Final = 'far'


@attrs.frozen(kw_only=True)
class Usage:
    """Hold what all VMs have used so far."""

    sent: float
    received: float
    cpu: float
    calls: int
    at: float


@attrs.frozen(kw_only=True)
class Row:
    """Hold the figures of one size."""

    kind: str
    size: int
    # Of one VM in a second.
    bytes_sent: float
    bytes_sent_most: float
    cpu_seconds: float
    store_calls: float
    # Of one VM for one change or restart, beyond a quiet fleet.
    bytes_each: float = 0
    cpu_each: float = 0
    seconds_each: float = 0
    resident_kilobytes: float = 0


def usage(world: World) -> Usage:
    """Read all VMs' counters and this process's CPU time."""
    counters = [running.node.counters for running in world.nodes.values()]
    return Usage(
        sent=sum(counter.value('peer_bytes_sent') for counter in counters),
        received=sum(
            counter.value('peer_bytes_received') for counter in counters
        ),
        cpu=time.process_time(),
        calls=world.platform.reads,
        at=trio.current_time(),
    )


def sent_by(world: World) -> dict[str, float]:
    """Return what each VM has sent."""
    return {
        name: running.node.counters.value('peer_bytes_sent')
        for name, running in world.nodes.items()
    }


def resident() -> float:
    """Return this process's largest resident size in kilobytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


async def start(world: World, vms: int) -> None:
    """Start VMs in one failure domain and a few in another."""
    for number in range(vms):
        world.begin_node(f'{NEAR}-{number}', NEAR)
    for number in range(4):
        world.begin_node(f'{FAR}-{number}', FAR)
    for running in world.nodes.values():
        await running.node.serving.wait()
    await trio.sleep(START_SECONDS)


async def quiet(world: World, kind: str, size: int) -> Row:
    """Measure a fleet in which nothing happens."""
    before = usage(world)
    sent = sent_by(world)
    await trio.sleep(MEASURED_SECONDS)
    after = usage(world)
    most = max(
        (total - sent.get(name, 0)) / MEASURED_SECONDS
        for name, total in sent_by(world).items()
    )
    shared = MEASURED_SECONDS * len(world.nodes)
    return Row(
        kind=kind,
        size=size,
        bytes_sent=(after.sent - before.sent) / shared,
        bytes_sent_most=most,
        cpu_seconds=(after.cpu - before.cpu) / shared,
        store_calls=(after.calls - before.calls) / MEASURED_SECONDS,
    )


async def measure_size(vms: int) -> Row:
    """Measure heartbeats against the VMs of a failure domain."""
    before = resident()
    async with open_world(SEED) as world:
        await start(world, vms)
        row = await quiet(world, 'nodes', vms)
        grown = (resident() - before) / len(world.nodes)
    return attrs.evolve(row, resident_kilobytes=grown)


def document(number: int, edit: int) -> ServiceDocument:
    """Make one of many documents."""
    return ServiceDocument(
        service=f'service-{number}',
        team='team',
        deadline_seconds=1 + edit,
        upstreams=tuple(
            Upstream(
                name=f'service-{number}-{index}',
                domain=FAR,
                host=f'10.{number // 250}.{number % 250}.{index + 1}',
                port=8080,
                slots=2,
                connections=2000,
                draining=True,
            )
            for index in range(UPSTREAMS_PER_DOCUMENT)
        ),
    )


async def measure_documents(count: int) -> Row:
    """Measure edits against the number of documents."""
    async with open_world(SEED) as world:
        for number in range(count):
            await put_document(world.platform, document(number, 0))
        await start(world, VMS)
        row = await quiet(world, 'documents', count)
        before = usage(world)
        slowest: float = 0
        for edit in range(1, CHANGES + 1):
            slowest = max(slowest, await change(world, edit))
            await trio.sleep(1)
        return each(world, row, before, CHANGES, slowest)


def in_force(world: World, edited: ServiceDocument) -> bool:
    """Return True when every VM has an edit in force."""
    found = (
        running.node.store.services[edited.service]
        for running in world.nodes.values()
    )
    return all(
        held.deadline_seconds == edited.deadline_seconds for held in found
    )


async def change(world: World, edit: int) -> float:
    """Accept an edit and wait until it is in force on every VM."""
    edited = document(0, edit)
    await put_document(world.platform, edited)
    started = trio.current_time()
    while not in_force(world, edited):  # noqa: ASYNC110
        await trio.sleep(0.05)
    return trio.current_time() - started


async def measure_restarts(vms: int) -> Row:
    """Measure what a VM's replacement costs the others."""
    async with open_world(SEED) as world:
        await start(world, vms)
        row = await quiet(world, 'restarts', vms)
        before = usage(world)
        for number in range(RESTARTS):
            name = f'{NEAR}-{number % vms}'
            lost = world.nodes[name].node.counters.value('peer_bytes_sent')
            world.kill_node(name)
            await trio.sleep(3)
            world.begin_node(f'{name}', NEAR)
            before = attrs.evolve(before, sent=before.sent - lost)
            await trio.sleep(2)
        return each(world, row, before, RESTARTS, 0)


def each(
    world: World,
    row: Row,
    before: Usage,
    events: int,
    slowest: float,
) -> Row:
    """Return a row with what each event cost beyond a quiet fleet."""
    after = usage(world)
    vms = len(world.nodes)
    seconds = after.at - before.at
    sent = (after.sent - before.sent) / vms - row.bytes_sent * seconds
    cpu = (after.cpu - before.cpu) / vms - row.cpu_seconds * seconds
    return attrs.evolve(
        row,
        bytes_each=sent / events,
        cpu_each=cpu / events,
        seconds_each=slowest,
    )


def measure(call: Callable[[int], Awaitable[Row]], size: int) -> Row:
    """Measure one size on a virtual clock of its own."""
    return run_seeded(SEED, partial(call, size))


def measure_all(sizes: tuple[int, ...]) -> list[Row]:
    """Measure every size, one after the other."""
    return [
        *(measure(measure_size, vms) for vms in sizes),
        *(measure(measure_documents, count) for count in DOCUMENTS),
        *(measure(measure_restarts, vms) for vms in RESTART_SIZES),
    ]


def plot(rows: list[Row], path: Path) -> None:
    """Draw bytes and CPU against the VMs of a failure domain."""
    from matplotlib import pyplot  # noqa: PLC0415

    nodes = [row for row in rows if row.kind == 'nodes']
    sizes = [row.size for row in nodes]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.plot(sizes, [row.bytes_sent for row in nodes], 'o-', label='mean')
    left.plot(sizes, [row.bytes_sent_most for row in nodes], 's-', label='most')
    left.set_ylabel('bytes sent by a VM in a second')
    right.plot(sizes, [100 * row.cpu_seconds for row in nodes], 'o-')
    right.set_ylabel('% of a core for a VM, fakes included')
    for axes in (left, right):
        axes.set_xscale('log', base=2)
        axes.set_xlabel('VMs in the failure domain')
        axes.set_ylim(bottom=0)
    left.legend()
    figure.tight_layout()
    figure.savefig(path)


@click.command('measure-fleet')
@click.option('--json', 'as_json', is_flag=True, help='Print the table.')
@click.option('--largest', default=max(SIZES), show_default=True)
@click.option('--out', type=click.Path(path_type=Path), help='Table to write.')
@click.option('--plot', 'drawing', type=click.Path(path_type=Path))
def measure_fleet(
    *,
    as_json: bool,
    largest: int,
    out: Path | None,
    drawing: Path | None,
) -> None:
    """Measure heartbeats, edits and restarts at several sizes."""
    rows = measure_all(tuple(size for size in SIZES if size <= largest))
    table = json.dumps([attrs.asdict(row) for row in rows], indent=1)
    if as_json:
        click.echo(table)
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(f'{table}\n')
    if drawing is not None:
        plot(rows, drawing)
