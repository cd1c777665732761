"""Steps that write entries as other programs would."""

import json
from typing import Any
from unittest import mock

import trio
from behave import given, then, when
from behave.runner import Context
from hypothesis import strategies as st
from packets_world import (
    busiest,
    make_domain,
    node_of,
    open_flows,
    select_upstream,
    world_of,
)
from platform_records import values, with_drawn

from burdocksill.packets.features import ALL_FEATURES
from burdocksill.packets.messages import Manifest, Route
from burdocksill.packets.node import PacketNode
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import LEASE_SECONDS
from burdocksill.platform import records
from burdocksill.platform.records import MANIFEST, UPSTREAMS
from burdocksill_lab.packets.client import Outcome
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT

FOREIGN_NAME = 'helper-00000000ff'
LATER = 2
# Values that a table can't hold.
VALUES = {'320 nines': 10**320 - 1, '300 letters': 'x' * 300}
# JSON texts that the encoder can't write.
NINES = '9' * 5000
BRACKETS = '[' * 900 + ']' * 900
OBJECTS = '{"x":' * 900 + '1' + '}' * 900


def write_foreign(
    context: Context, upstream: LabUpstream, **fields: Any
) -> None:
    """Write an entry of a later start at an upstream's address."""
    entry = {**upstream.entry('ready', born=LATER), **fields}
    text = json.dumps({name: one for name, one in entry.items() if one != ''})
    world_of(context).put(UPSTREAMS + FOREIGN_NAME, text.encode())


@when('an entry without {field} names the address of an upstream')
def write_incomplete(context: Context, field: str) -> None:
    """Write an entry without a field under a key of its own."""
    select_upstream(context, busiest(context))
    write_foreign(context, context.selected, **{field: ''})


@then('the upstream got some of the new flows')
def check_opened(context: Context) -> None:
    """Check that new flows reach the selected upstream."""
    late = [at for at in context.selected.opened if at >= context.since]
    assert late


def value_of(text: str) -> Any:
    """Return the value that a table names, or has as JSON."""
    return VALUES[text] if text in VALUES else json.loads(text)


@when('an entry with {field} {value} names the address of an upstream')
def write_odd(context: Context, field: str, value: str) -> None:
    """Write an entry with an odd value under a key of its own."""
    select_upstream(context, busiest(context))
    write_foreign(context, context.selected, **{field: value_of(value)})


@when('somebody writes a complete entry at the address {address}')
def write_address(context: Context, address: str) -> None:
    """Write an entry with another form of an address."""
    upstream = busiest(context)
    write_foreign(context, upstream, Address=address, Slots=64)


@given(
    'a domain "{domain}" with 1 node and {count:d} upstreams, all features on'
)
def make_full_domain(context: Context, domain: str, count: int) -> None:
    """Start a node that uses all features."""
    world_of(context).features = ALL_FEATURES
    make_domain(context, domain, 1, count)


@when(
    '{count:d} random entries and manifests are written while flows are opened'
)
def write_random(context: Context, count: int) -> None:
    """Write values under the keys of an upstream, a stranger and manifests."""
    world = world_of(context)
    own = next(iter(world.upstreams))
    kept = dict(world.store)
    context.outcomes = []
    names = (UPSTREAMS + own, UPSTREAMS + FOREIGN_NAME, MANIFEST)

    @with_drawn(context, count, st.sampled_from(names), values())
    def one(key: str, value: bytes) -> None:
        world.put(key, value)
        open_flows(context, 1, 'a', gap=0.05)
        world.run(0.1)
        world.put(UPSTREAMS + own, kept[UPSTREAMS + own])
        if UPSTREAMS + FOREIGN_NAME in world.store:
            world.remove(UPSTREAMS + FOREIGN_NAME)
        manifest = json.loads(kept[MANIFEST])
        node = node_of(context, 'a')
        manifest['Version'] = node.core.updater.table.version + 1
        world.put(MANIFEST, json.dumps(manifest).encode())
        open_flows(context, 1, 'a')
        world.run(1.0)
        context.outcomes.append(context.fresh[0].requests[0].outcome)

    one()


@then('the node has served after each of them')
def check_random(context: Context) -> None:
    """Check the requests that were sent when all entries were sound again."""
    found = set(context.outcomes)
    assert found == {Outcome.SERVED}, found


@when('a manifest with {field} {value} is written')
def write_manifest(context: Context, field: str, value: str) -> None:
    """Write a manifest with a version out of its range."""
    world = world_of(context)
    manifest = json.loads(world.store[MANIFEST])
    context.version = manifest['Version']
    manifest['Version'] += 1
    manifest[field] = value_of(value)
    world.put(MANIFEST, json.dumps(manifest).encode())


@when('a manifest is written whose Service has a name of 300 letters')
def write_long_service(context: Context) -> None:
    """Route to a service with a long name and one upstream."""
    world = world_of(context)
    service = VALUES['300 letters']
    world.put_manifest(9, {ROUTE_PORT: service})
    world.add_upstream('a', service)


@when('a manifest is written whose {part} is {text}')
def write_part(context: Context, part: str, text: str) -> None:
    """Write a manifest with another value in one place."""
    world = world_of(context)
    manifest = json.loads(world.store[MANIFEST])
    manifest['Version'] += 1
    context.version = manifest['Version']
    marker = '@value@'
    route = manifest['Routes'][0]
    if part == 'another route':
        manifest['Routes'].append(marker)
    elif part == 'Weight':
        row = {'Service': route.pop('Service'), 'Weight': marker}
        route['TrafficSplit'] = [row, {**row, 'Weight': 0}]
    else:
        (manifest if part in {'Services', 'Limits'} else route)[part] = marker
    written = json.dumps(manifest).replace(json.dumps(marker), text_of(text))
    world.put(MANIFEST, written.encode())


def text_of(text: str) -> str:
    """Return the JSON that a table names."""
    named = {'5000 nines': NINES, '900 brackets': BRACKETS}
    if text in named:
        return named[text]
    return json.dumps(VALUES[text]) if text in VALUES else text


@then('the manifest written last is in force')
def check_newest(context: Context) -> None:
    """Check the version in force."""
    table = node_of(context, 'a').core.updater.table
    assert table.version == context.version, table.version


@then('it is told that a part is left out')
def check_faults(context: Context) -> None:
    """Check the faults of the manifest."""
    manifest = node_of(context, 'a').core.updater.table.manifest
    assert manifest.faults


@then('it is not told that a part is left out')
def check_no_faults(context: Context) -> None:
    """Check the faults of the manifest."""
    manifest = node_of(context, 'a').core.updater.table.manifest
    assert not manifest.faults, manifest.faults


@given('a manifest whose routes have the priorities {priorities}')
def make_priorities(context: Context, priorities: str) -> None:
    """Adopt a manifest with a route for each priority."""
    context.routes = [
        Route(
            name='r',
            address=1,
            port=port,
            weighted_services=(),
            priority=int(priority),
        )
        for port, priority in enumerate(priorities.split())
    ]
    context.routing = RoutingTable()
    manifest = Manifest(version=1, routes=tuple(context.routes), services={})
    context.routing.adopt(manifest)


@then('their urgencies are {urgencies}')
def check_urgencies(context: Context, urgencies: str) -> None:
    """Compare the urgency of each route."""
    found = [context.routing.urgency(route) for route in context.routes]
    assert found == [int(one) for one in urgencies.split()], found


@given('a node that has read a store without a manifest')
def make_without(context: Context) -> None:
    """Start a node before the operators have written anything."""
    world = world_of(context)
    context.written = world.store.pop(MANIFEST)
    make_domain(context, 'a', 1, 1)
    core = node_of(context, 'a').core
    assert core.progress.is_synced
    context.process = PacketNode(
        settings=mock.Mock(),
        core=core,
        store_sync=mock.Mock(),
        clock=world.time,
        probes=mock.Mock(),
    )


@when('it reads a manifest')
def read_manifest(context: Context) -> None:
    """Write the manifest."""
    world_of(context).put(MANIFEST, context.written)


@then('it is {state} for routers')
def check_ready(context: Context, state: str) -> None:
    """Check what the node answers to a readiness probe."""
    reply = trio.run(context.process.page, '/-/ready')
    assert reply.status == {'ready': 200, 'not ready': 503}[state], reply


@when('its entry is written with {count:d} slots')
def write_slots(context: Context, count: int) -> None:
    """Let an upstream write an entry with many slots."""
    select_upstream(context, busiest(context))
    entry = {**context.selected.entry('ready'), 'Slots': count}
    world_of(context).put_entry(context.selected, entry)


@when('somebody writes an entry of {text}')
def write_text(context: Context, text: str) -> None:
    """Write a value that is hard to decode."""
    entry = busiest(context).entry('ready', born=LATER)
    written = {
        '100000 brackets': '[' * 100_000,
        '900 brackets': BRACKETS,
        '900 nested objects': OBJECTS,
    }.get(text)
    if written is None:
        field, _, value = text.removeprefix('a ').partition(' of ')
        digits = text_of(value)
        if field == 'port':
            entry['Address'] = f'10.2.0.99:{digits}'
        else:
            entry[field] = '@value@'
        written = json.dumps(entry).replace('"@value@"', digits)
    world_of(context).put(UPSTREAMS + FOREIGN_NAME, written.encode())


@when('somebody writes an entry that the decoder fails on')
def write_failing(context: Context) -> None:
    """Let the decoder raise an error that nobody expects."""
    with mock.patch.object(
        records, 'decode_upstream_update', side_effect=ZeroDivisionError
    ):
        world_of(context).put(UPSTREAMS + FOREIGN_NAME, b'{}')


@when('a domain "{domain}" gets an upstream')
def add_remote(context: Context, domain: str) -> None:
    """Write an entry after the odd one."""
    context.remote = world_of(context).add_upstream(domain)


@then('the node of "a" knows the upstream of "b"')
def check_followed(context: Context) -> None:
    """Check that the node has read the entry."""
    known = node_of(context, 'a').core.updater.upstreams.by_name
    assert context.remote.name in known


@then('the manifest before stays in force')
def check_version(context: Context) -> None:
    """Compare the version in force with the one before the written one."""
    table = node_of(context, 'a').core.updater.table
    assert table.version == context.version, table.version


@then('the foreign entry names no upstream')
def check_unknown(context: Context) -> None:
    """Check what the node knows."""
    known = node_of(context, 'a').core.updater.upstreams.by_name
    assert FOREIGN_NAME not in known


@given('the store of the node has been healthy for long')
def keep_healthy(context: Context) -> None:
    """Let more time pass than an entry takes to expire."""
    world = world_of(context)
    node_of(context, 'a').core.updater.mark_store_available(world.timeline.now)
    world.run(LEASE_SECONDS + 1)


@when('the entry of one upstream is overwritten without Slots')
def overwrite_incomplete(context: Context) -> None:
    """Overwrite the entry of a healthy upstream."""
    select_upstream(context, busiest(context))
    overwrite_selected(context)


@when('its entry is overwritten by another program')
def overwrite_selected(context: Context) -> None:
    """Overwrite the selected upstream's entry with an incomplete one."""
    upstream = context.selected
    entry = upstream.entry('ready')
    del entry['Slots']
    world_of(context).put(UPSTREAMS + upstream.name, json.dumps(entry).encode())


@when('an entry of an unknown service at the address of an upstream is written')
def write_unknown(context: Context) -> None:
    """Write an entry of another service under a key of its own."""
    write_foreign(context, busiest(context), Service='unknown')


@when('an entry of an unknown service under the key of an upstream is written')
def overwrite_unknown(context: Context) -> None:
    """Overwrite the entry of an upstream with one of another service."""
    upstream = busiest(context)
    entry = {**upstream.entry('ready', born=LATER), 'Service': 'unknown'}
    world_of(context).put_entry(upstream, entry)


@when('a complete entry names the address of an upstream')
def write_complete(context: Context) -> None:
    """Write an entry that can't be told from one of a new process."""
    select_upstream(context, busiest(context))
    write_foreign(context, context.selected)


@when('the foreign entry is removed')
def remove_foreign(context: Context) -> None:
    """Remove the entry of the other writer."""
    world_of(context).remove(UPSTREAMS + FOREIGN_NAME)
    context.since = world_of(context).timeline.now


@when('the foreign entry is overwritten')
def overwrite_foreign(context: Context) -> None:
    """Overwrite the entry of the other writer with bytes of no entry."""
    world_of(context).put(UPSTREAMS + FOREIGN_NAME, b'\xff')
    context.since = world_of(context).timeline.now


@when('the upstream writes its entry')
def rewrite(context: Context) -> None:
    """Write the entry of the selected upstream again."""
    world_of(context).register(context.selected)
    context.since = world_of(context).timeline.now
