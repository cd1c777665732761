"""Steps about a store that is restored from a copy."""

import json
from random import Random

import trio
from behave import given, then, when
from behave.runner import Context
from reading_script import (
    UPSTREAM_COUNT,
    SimulationScript,
    add_check,
    add_step,
    put_upstream,
    run_script,
    start_measuring,
)

from burdocksill.platform.keys import READERS
from burdocksill_lab.packets.drill import RestoreDrill
from burdocksill_lab.packets.fleet import FleetNode, SharedFleet
from burdocksill_lab.packets.restores import RestorePlay

RESTORES = 2
# Plays of different seeds of a scenario have different seeds, too.
PLAYS_PER_SEED = 100


@given('a fleet of {nodes:d} nodes in {domains:d} domains, from seed {seed:d}')
def prepare_seed(context: Context, nodes: int, domains: int, seed: int) -> None:
    """Remember the sizes and a seed of its own."""
    context.script = SimulationScript(nodes, domains)
    # Other seeds of the tests change this one, too.
    context.seed += seed - 1


@when('the store is copied')
def copy_store(context: Context) -> None:
    """Copy the store; what is written from here on is lost."""

    async def step(fleet: SharedFleet) -> None:
        context.drill = make_drill(fleet, context.seed)

    add_step(context, step)


def make_drill(fleet: SharedFleet, seed: int) -> RestoreDrill:
    """Copy the store of a fleet."""
    return RestoreDrill(
        store=fleet.store, nursery=fleet.nursery, rng=Random(seed)
    )


@when('the store is copied while {count:d} domains have no reader')
def copy_between_readers(context: Context, count: int) -> None:
    """Wait until entries of readers have expired, and copy the store."""

    async def step(fleet: SharedFleet) -> None:
        wanted = context.script.domains - count
        while (
            sum(key.startswith(READERS) for key in fleet.store.items) > wanted
        ):
            await fleet.run(0.02)
        context.drill = make_drill(fleet, context.seed)

    add_step(context, step)


@when('{count:d} changes are written')
def write_changes(context: Context, count: int) -> None:
    """Write manifests and upstreams, 0.1 s apart."""

    async def step(fleet: SharedFleet) -> None:
        for number in range(count):
            if number % 2:
                fleet.put_version()
            else:
                put_upstream(fleet, UPSTREAM_COUNT + number)
            await fleet.run(0.1)

    add_step(context, step)


@when('the store is away for {seconds:f} seconds and restored from the copy')
def restore(context: Context, seconds: float) -> None:
    """Restore the store, and count calls from then on."""

    async def step(fleet: SharedFleet) -> None:
        await context.drill.restore(seconds)
        start_measuring(context.script, fleet)

    add_step(context, step)


@when('upstream {number:d} announces that it leaves')
def leave(context: Context, number: int) -> None:
    """Write that an upstream leaves."""

    async def step(fleet: SharedFleet) -> None:
        put_upstream(fleet, number, 'draining')

    add_step(context, step)


@then('at most {count:d} full reads were made since the restore')
def check_full_reads(context: Context, count: int) -> None:
    """Count the first pages of full reads."""

    async def step(fleet: SharedFleet) -> None:
        since = fleet.store.calls[context.script.calls :]
        made = sum(
            'kv-range' in call and 'after=' not in call for call in since
        )
        assert made <= count, made

    add_check(context, step)


@then('no node sends new flows to upstream {number:d}')
def check_left(context: Context, number: int) -> None:
    """Check that no node offers the upstream new flows."""

    async def step(fleet: SharedFleet) -> None:
        name = upstream_name(number)
        wrong = [
            node.settings.name
            for node in fleet.living()
            if name in available_upstreams(node)
        ]
        assert not wrong, wrong

    add_check(context, step)


def upstream_name(number: int) -> str:
    """Return the name under which `put_upstream` writes."""
    return f'i-{number + 1:08x}'


def available_upstreams(node: FleetNode) -> set[str]:
    """Return the names of upstreams to which a node sends new flows."""
    registry = node.core.updater.upstreams
    now = trio.current_time()
    found = registry.available_in_service('ledger', now)
    return {upstream.record.name for upstream in found}


@then('each reader is the one in the store')
def check_entries(context: Context) -> None:
    """Compare the entries in the store with the nodes."""

    async def step(fleet: SharedFleet) -> None:
        readers = {
            node.settings.domain: node.settings.name
            for node in fleet.living()
            if node.is_reader
        }
        entries = {
            domain: json.loads(fleet.store.items[READERS + domain].value)
            for domain in readers
        }
        names = {domain: entry['name'] for domain, entry in entries.items()}
        assert names == readers, (names, readers)

    add_check(context, step)


@when(
    'the store is restored twice at random times, '
    'with {nodes:d} nodes in {domains:d} domains'
)
def prepare_plays(context: Context, nodes: int, domains: int) -> None:
    """Remember the sizes of the plays."""
    context.script = SimulationScript(nodes, domains)
    context.disturb = False


@when('a reader, or all nodes, are disturbed each time')
def disturb_plays(context: Context) -> None:
    """Disturb a reader around each restore."""
    context.disturb = True


@then('no promise is broken in {plays:d} plays')
def check_plays(context: Context, plays: int) -> None:
    """Run plays with different seeds, and show what each has broken."""
    first_seed = context.seed * PLAYS_PER_SEED
    broken = {
        seed: run_play(context, seed)
        for seed in range(first_seed, first_seed + plays)
    }
    assert not any(broken.values()), broken


def run_play(context: Context, seed: int) -> dict[str, int]:
    """Run one play; return the broken promises."""
    script = context.script
    broken: dict[str, int] = {}

    async def check(fleet: SharedFleet) -> None:
        play = RestorePlay(
            fleet=fleet,
            rng=Random(seed),
            domains=tuple(f'd{number}' for number in range(script.domains)),
        )
        broken.update(await play.run(RESTORES, disturb=context.disturb))

    run_script(context, check, seed)
    return broken
