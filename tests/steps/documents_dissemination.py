"""Steps about dissemination."""

import attrs
import trio
from behave import then, when
from behave.runner import Context
from fleet_script import add_check, add_step, wait_for

from burdocksill.documents.acceptance import delete_document, put_document
from burdocksill.documents.models import (
    ServiceDocument,
    Upstream,
    encode_document,
)
from burdocksill.flows.keys import decode_ring, encode_ring, rotate
from burdocksill.platform import keys
from burdocksill_lab.fakes.world import World

SERVICE = 'kiosk-ledger'
DOCUMENT = ServiceDocument(
    service=SERVICE,
    team='vratka',
    upstreams=(
        Upstream(
            name='ledger-1',
            domain='cz-a',
            host='192.0.2.7',
            port=8080,
            slots=2,
            connections=2000,
        ),
    ),
)


def deadlines(world: World) -> dict[str, float]:
    """Return the deadline in force on each VM, 0 without a document."""
    found = {}
    for name, running in world.nodes.items():
        document = running.node.store.services.get(SERVICE)
        found[name] = document.deadline_seconds if document else 0
    return found


@when('the store accepts a deadline of {seconds:g} s')
def accept_deadline(context: Context, seconds: float) -> None:
    """Accept an edit."""

    async def step(world: World) -> None:
        document = attrs.evolve(DOCUMENT, deadline_seconds=seconds)
        await put_document(world.platform, document)

    add_step(context, step)


@when('the store accepts a deadline of {seconds:g} s over it')
def accept_over(context: Context, seconds: float) -> None:
    """Overwrite an invalid record without acceptance."""

    async def step(world: World) -> None:
        document = attrs.evolve(DOCUMENT, deadline_seconds=seconds)
        key = keys.document_key(SERVICE)
        world.platform.put(key, encode_document(document))

    add_step(context, step)


@when('the store accepts a deletion')
def accept_deletion(context: Context) -> None:
    """Delete the document."""

    async def step(world: World) -> None:
        await delete_document(world.platform, SERVICE)

    add_step(context, step)


@when('the store is given an invalid document')
def put_unreadable(context: Context) -> None:
    """Write an invalid record."""

    async def step(world: World) -> None:
        world.platform.put(keys.document_key(SERVICE), b'{"service": 1}')

    add_step(context, step)


@when('the store goes down')
def store_down(context: Context) -> None:
    """Begin an outage."""

    async def step(world: World) -> None:
        world.platform.set_down(down=True)

    add_step(context, step)


@when('the store comes back')
def store_up(context: Context) -> None:
    """End an outage."""

    async def step(world: World) -> None:
        world.platform.set_down(down=False)

    add_step(context, step)


@when(
    'the fleet\'s "{name}" is replaced with the fleet\'s keys in its settings'
)
def replace_with_keys(context: Context, name: str) -> None:
    """Start a VM that has keys and its peers' addresses."""

    async def step(world: World) -> None:
        running = world.nodes[name]
        world.kill_node(name)
        world.begin_node(
            name,
            running.node.settings.domain,
            seeds=tuple(
                other.node.settings.peer for other in world.nodes.values()
            ),
            ring=running.node.keys.ring,
        )

    add_step(context, step)


@when('the fleet\'s "{name}" is cut off from all others and the store')
def cut_off_store(context: Context, name: str) -> None:
    """Partition a VM from all others and from the store."""

    async def step(world: World) -> None:
        others = [
            running.host for key, running in world.nodes.items() if key != name
        ]
        host = world.nodes[name].host
        world.network.cut([host], [*others, 'platform'])

    add_step(context, step)


@when("the fleet's keys rotate")
def rotate_keys(context: Context) -> None:
    """Rotate the keys in the store."""

    async def step(world: World) -> None:
        stored = world.platform.current[keys.FLEET_KEYS]
        ring = rotate(decode_ring(stored.value))
        world.platform.put(keys.FLEET_KEYS, encode_ring(ring))

    add_step(context, step)


@then(
    'within {seconds:g} s a deadline of {value:g} s is in force on the whole '
    'fleet'
)
def check_deadline(context: Context, seconds: float, value: float) -> None:
    """Check the deadline in force on every VM."""

    async def step(world: World) -> None:
        await wait_for(
            seconds,
            lambda: set(deadlines(world).values()) == {value},
            lambda: deadlines(world),
        )

    add_check(context, step)


@then('within {seconds:g} s no service is in force on the whole fleet')
def check_deleted(context: Context, seconds: float) -> None:
    """Check that no service is in force on any VM."""
    check_deadline(context, seconds, 0)


@then('the store gets at most {limit:g} calls a second from the fleet')
def check_calls(context: Context, limit: float) -> None:
    """Count the store's calls."""

    async def step(world: World) -> None:
        before = world.platform.reads
        await trio.sleep(20)
        calls = world.platform.reads - before
        assert calls / 20 <= limit, calls

    add_check(context, step)


@then('within {seconds:g} s the fleet\'s "{name}" serves')
def check_serves(context: Context, seconds: float, name: str) -> None:
    """Check that a VM serves."""

    async def step(world: World) -> None:
        serving = world.nodes[name].node.serving
        await wait_for(seconds, serving.is_set, lambda: name)

    add_check(context, step)


@then('the fleet\'s "{name}" does not serve')
def check_silent(context: Context, name: str) -> None:
    """Check that a VM does not serve."""

    async def step(world: World) -> None:
        assert not world.nodes[name].node.serving.is_set()

    add_check(context, step)


@then("the fleet's VMs all sign with the new key")
def check_keys(context: Context) -> None:
    """Check that every VM uses the new key."""

    async def step(world: World) -> None:
        rings = [running.node.keys.ring for running in world.nodes.values()]
        assert {ring.current for ring in rings if ring} == {2}, rings

    add_check(context, step)
