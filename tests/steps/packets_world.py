"""Steps that simulate clients, upstreams and nodes of the packet path."""

import json
from collections import Counter
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from burdocksill.packets.header import FIN
from burdocksill.platform.records import (
    DOMAINS_OUT,
    MANIFEST,
    UPSTREAMS,
)
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill_lab.packets.client import ClientFlow, Outcome
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT, LabNode, PacketWorld

# Longer than the deadline of any client.
SETTLE_SECONDS = 1.5


def world_of(context: Context) -> PacketWorld:
    """Return the scenario's world; create it at the first call."""
    if not hasattr(context, 'packets'):
        world = PacketWorld(seed=context.seed)
        world.put_manifest(5, {ROUTE_PORT: 'ledger'})
        context.packets = world
        context.flows = []
        context.fresh = []
        context.selected = None
        context.since = 0.0
    return context.packets


def upstreams_of(context: Context, domain: str) -> list[LabUpstream]:
    """Return the upstreams of a failure domain."""
    world = world_of(context)
    return [one for one in world.upstreams.values() if one.domain == domain]


def node_of(context: Context, domain: str) -> LabNode:
    """Return the first node of a failure domain."""
    return next(one for one in world_of(context).nodes if one.domain == domain)


def open_flows(
    context: Context,
    count: int,
    domain: str,
    *,
    port: int = ROUTE_PORT,
    gap: float = 0.0,
) -> None:
    """Open flows and send a request on each, `gap` seconds apart."""
    world = world_of(context)
    context.fresh = [world.open_flow(domain, port) for _ in range(count)]
    for flow in context.fresh:
        flow.request()
        world.timeline.run(gap)


def flows_on_selected(context: Context) -> list[ClientFlow]:
    """Return the open flows on the scenario's selected upstream."""
    return [
        flow
        for flow in context.flows
        if flow.echo == context.selected.tag & 0xFFFFFFFF
    ]


def select_upstream(context: Context, upstream: LabUpstream) -> None:
    """Select the upstream that the next steps refer to."""
    context.selected = upstream
    context.since = world_of(context).timeline.now


def busiest(context: Context) -> LabUpstream:
    """Return the upstream with the most flows."""
    return max(
        world_of(context).upstreams.values(),
        key=lambda one: len(one.flows),
    )


@given('a domain "{domain}" with {nodes:d} node and {count:d} upstreams')
@given('a domain "{domain}" with {nodes:d} nodes and {count:d} upstreams')
@given('a domain "{domain}" with {nodes:d} node and {count:d} upstream')
def make_domain(context: Context, domain: str, nodes: int, count: int) -> None:
    """Start nodes and upstreams."""
    world = world_of(context)
    for _ in range(count):
        world.add_upstream(domain)
    for _ in range(nodes):
        world.add_node(domain)


@given('a domain "{domain}" with {nodes:d} node and no upstreams')
@given('a domain "{domain}" with {nodes:d} nodes and no upstreams')
def make_empty_domain(context: Context, domain: str, nodes: int) -> None:
    """Start nodes without upstreams."""
    make_domain(context, domain, nodes, 0)


@given(
    'a domain "{domain}" with 1 node and 1 upstream '
    'that works {work:f} seconds',
)
def make_slow_domain(context: Context, domain: str, work: float) -> None:
    """Start an upstream that takes some seconds for each request."""
    world = world_of(context)
    world.add_upstream(domain, work_seconds=work, slots=8)
    world.add_node(domain)


@given('an upstream of service "{service}" in "{domain}"')
def make_other(context: Context, service: str, domain: str) -> None:
    """Start an upstream of another service."""
    context.other = world_of(context).add_upstream(domain, service)


@given('two upstreams in "{domain}" whose names end alike')
def make_colliding(context: Context, domain: str) -> None:
    """Start two upstreams with the same echo (the low 32 bits of the tag)."""
    world = world_of(context)
    world.fresh_names = iter(('i-1100000007', 'i-2200000007'))
    context.twins = [world.add_upstream(domain) for _ in range(2)]


@given('a cold upstream in "{domain}" that bears {count:d} flows a second')
def make_cold(context: Context, domain: str, count: int) -> None:
    """Start an upstream that reports a warm-up time."""
    world = world_of(context)
    world.put_manifest(6, {ROUTE_PORT: 'ledger'}, cold_per_second=count)
    upstream = world.add_upstream(domain)
    entry = {**upstream.entry('ready'), 'WarmupMs': 5000}
    world.put(UPSTREAMS + upstream.name, json.dumps(entry).encode())
    context.selected = upstream


@given(
    'port {port:d} goes to "{one}" and "{two}" with weights {w1:d} and {w2:d}'
)
def split_route(
    context: Context,
    port: int,
    one: str,
    two: str,
    w1: int,
    w2: int,
) -> None:
    """Write a manifest with a traffic split over two services."""
    world = world_of(context)
    world.put_manifest(6, {port: one})
    manifest = json.loads(world.store[MANIFEST])
    route = manifest['Routes'][0]
    del route['Service']
    route['TrafficSplit'] = [
        {'Service': one, 'Weight': w1},
        {'Service': two, 'Weight': w2},
    ]
    manifest['Version'] = 7
    world.put(MANIFEST, json.dumps(manifest).encode())


@given('{count:d} open flows in "{domain}"')
def make_flows(context: Context, count: int, domain: str) -> None:
    """Open flows and send a few requests on each."""
    world = world_of(context)
    open_flows(context, count, domain)
    world.run(SETTLE_SECONDS)
    for _ in range(3):
        for flow in context.fresh:
            flow.request()
        world.run(SETTLE_SECONDS)
    context.flows = context.fresh
    context.fresh = []
    assert all(flow.open and not flow.ended for flow in context.flows)


@given(
    '{count:d} open flows in "{domain}" whose clients wait {seconds:d} seconds'
)
def make_patient(
    context: Context,
    count: int,
    domain: str,
    seconds: int,
) -> None:
    """Open flows with a longer deadline."""
    make_flows(context, count, domain)
    for flow in context.flows:
        flow.deadline = seconds


@when(
    'every flow sends a request, every {gap:f} seconds for {seconds:f} seconds'
)
def all_send_again(context: Context, gap: float, seconds: float) -> None:
    """Send periodically on each flow without a request in progress."""
    for _ in range(round(seconds / gap)):
        all_send(context)
        world_of(context).run(gap)


@given(
    'version {version:d} sends port 8443 to "ledger" and port 8080 to "ledger"'
)
def put_two_routes(context: Context, version: int) -> None:
    """Write a manifest with two routes."""
    world_of(context).put_manifest(version, {8443: 'ledger', 8080: 'ledger'})


@when('version {version:d} sends port {port:d} to "{service}"')
def put_route(context: Context, version: int, port: int, service: str) -> None:
    """Write a manifest with one route."""
    world_of(context).put_manifest(version, {port: service})


@when('version {version:d} with no route for port 8080 arrives late')
def put_late(context: Context, version: int) -> None:
    """Deliver an older manifest to the nodes."""
    world = world_of(context)
    text = json.loads(world.store[MANIFEST])
    text['Version'] = version
    text['Routes'] = [
        route for route in text['Routes'] if route['Prefix'] != '/8080/'
    ]
    late = StoredValue(
        key=MANIFEST,
        value=json.dumps(text).encode(),
        revision=world.revision - 1,
    )
    found = Snapshot(values=(late,), revision=world.revision)
    for node in world.nodes:
        node.core.updater.apply_values(found, world.timeline.now)


@when('the manifest {text} is written')
def put_invalid_manifest(context: Context, text: str) -> None:
    """Write an invalid manifest."""
    world_of(context).put(MANIFEST, text.encode())


@when('operators take "{domain}" out')
def take_out(context: Context, domain: str) -> None:
    """Take a failure domain out of service."""
    world = world_of(context)
    world.take_out(domain)
    context.since = world.timeline.now


@when(
    'the node of "{domain}" misses that "{out}" is put back '
    'and does a full read',
)
def miss_and_read(context: Context, domain: str, out: str) -> None:
    """Put the domain back while the node receives no changes."""
    world = world_of(context)
    node = node_of(context, domain)
    node.receives_updates = False
    world.remove(DOMAINS_OUT + out)
    world.run(1.0)
    node.receives_updates = True
    world.read_store(node)


@when('the node of "{domain}" is partitioned from the store')
def partition_from_store(context: Context, domain: str) -> None:
    """Stop the changes of the store to a node, and fail its calls."""
    world = world_of(context)
    node = node_of(context, domain)
    node.receives_updates = False
    node.core.updater.mark_store_unavailable(world.timeline.now)


@when('the node of "{domain}" is restarted')
def restart_node(context: Context, domain: str) -> None:
    """Replace a node by one that has only read the current store."""
    world = world_of(context)
    old = node_of(context, domain)
    old.alive = False
    world.nodes.remove(old)
    world.add_node(domain)


@when('a node of "{domain}" loses power')
def lose_node(context: Context, domain: str) -> None:
    """Kill a node; routers use the others."""
    node_of(context, domain).alive = False


@when('an upstream stops answering')
def fall_silent(context: Context) -> None:
    """Make the upstream with the most flows unresponsive."""
    select_upstream(context, busiest(context))
    context.selected.condition = Condition.UNRESPONSIVE


@when('all upstreams stop answering and their entries are removed')
def all_gone(context: Context) -> None:
    """Make all upstreams unresponsive and remove their entries."""
    world = world_of(context)
    for upstream in world.upstreams.values():
        upstream.condition = Condition.UNRESPONSIVE
        world.deregister(upstream)


@when('its entry is removed')
def remove_entry(context: Context) -> None:
    """Remove the entry of the selected upstream."""
    world_of(context).deregister(context.selected)


@when('its entry is removed for one upstream')
def remove_one_entry(context: Context) -> None:
    """Remove the entry of a healthy upstream."""
    select_upstream(context, busiest(context))
    world_of(context).deregister(context.selected)


@when('all entries lapse')
def lapse(context: Context) -> None:
    """Remove all entries, as after an outage of the store."""
    world = world_of(context)
    for node in world.nodes:
        node.core.updater.mark_store_unavailable(world.timeline.now)
    for upstream in world.upstreams.values():
        del world.store[UPSTREAMS + upstream.name]
    for node in world.nodes:
        world.read_store(node)


@when('a call of the node of "{domain}" to the store fails')
def fail_call(context: Context, domain: str) -> None:
    """Record a failure that no other node has noticed."""
    updater = node_of(context, domain).core.updater
    updater.mark_store_unavailable(world_of(context).timeline.now)


@when('a peer tells that the store has worked for {seconds:d} seconds')
def adopt(context: Context, seconds: int) -> None:
    """Tell the first node what a peer without a call in progress knows."""
    world = world_of(context)
    updater = world.nodes[0].core.updater
    updater.adopt_healthy_since(world.timeline.now - seconds)


@then('its entry may have lapsed in an outage')
def check_lapsed(context: Context) -> None:
    """Check that the removal does not show that the upstream has stopped."""
    known = world_of(context).nodes[0].core.updater.upstreams
    upstream = known.by_name[context.selected.name]
    assert upstream.absent_since
    assert not known.stopped_renewing(upstream)


@when('all entries are written again')
def write_again(context: Context) -> None:
    """Register every upstream again."""
    world = world_of(context)
    for upstream in world.upstreams.values():
        world.register(upstream)


@when('an upstream drains')
def drain(context: Context) -> None:
    """Set the state of an upstream to draining."""
    select_upstream(context, busiest(context))
    world_of(context).register(context.selected, 'draining')


@when('it starts again under its name')
def start_again(context: Context) -> None:
    """Start a new process under the name of the old one."""
    world = world_of(context)
    upstream = context.selected
    upstream.restart()
    upstream.condition = Condition.HEALTHY
    value = json.dumps(upstream.entry('ready', born=2)).encode()
    world.put(UPSTREAMS + upstream.name, value)


@when('somebody writes the entry {entry}')
def write_entry(context: Context, entry: str) -> None:
    """Write an invalid entry."""
    world_of(context).put(f'{UPSTREAMS}i-00000000ff', entry.encode())


@when('the entry of one upstream is overwritten with invalid bytes')
def overwrite(context: Context) -> None:
    """Overwrite the entry of an upstream with invalid bytes."""
    select_upstream(context, busiest(context))
    world_of(context).put(UPSTREAMS + context.selected.name, b'\xff\x00')


@when('the answers to one client are lost')
def cut_client(context: Context) -> None:
    """Drop all packets to one client."""
    flow = context.flows[0]
    context.cut = flow
    del world_of(context).clients[flow.key]


@when('that client sends a request')
def cut_client_sends(context: Context) -> None:
    """Send a request on the flow that gets no answers."""
    context.cut.request()


@when('every flow sends a request')
def all_send(context: Context) -> None:
    """Send a request on each open flow."""
    for flow in [*context.flows, *context.fresh]:
        if flow.waiting is None:
            flow.request()
    world_of(context).timeline.run(0.001)


@when('{count:d} flows on it send a request')
@when('{count:d} flow on it sends a request')
def some_send(context: Context, count: int) -> None:
    """Send on a few flows of the selected upstream."""
    flows = flows_on_selected(context)
    assert len(flows) > count, len(flows)
    for flow in flows[:count]:
        flow.request()
        world_of(context).timeline.run(0.01)


@when('{count:d} new flows in "{domain}" send a request')
def new_flows(context: Context, count: int, domain: str) -> None:
    """Open flows with a request each."""
    open_flows(context, count, domain, gap=0.01)


@when(
    '{count:d} new flows in "{domain}" send a request, one each {gap:f} seconds'
)
def paced_flows(context: Context, count: int, domain: str, gap: float) -> None:
    """Open flows at a fixed interval."""
    open_flows(context, count, domain, gap=gap)


@when('{count:d} new flows in "{domain}" to port {port:d} send a request')
def flows_to_port(context: Context, count: int, domain: str, port: int) -> None:
    """Open flows to another port."""
    open_flows(context, count, domain, port=port)


@when('{seconds:f} seconds pass')
@when('{seconds:d} seconds pass')
def wait(context: Context, seconds: float) -> None:
    """Let time pass."""
    world_of(context).run(seconds)


@then('every request is served')
def check_all_served(context: Context) -> None:
    """Check the outcome of each request."""
    world_of(context).run(SETTLE_SECONDS)
    outcomes = Counter(
        request.outcome
        for flow in [*context.flows, *context.fresh]
        for request in flow.requests
    )
    assert set(outcomes) == {Outcome.SERVED}, outcomes


@then('every new request is served within {limit:f} seconds')
@then('every new request is served within {limit:d} seconds')
def check_new_served(context: Context, limit: float) -> None:
    """Check the outcome and duration of the requests on new flows."""
    world_of(context).run(SETTLE_SECONDS)
    for flow in context.fresh:
        request = flow.requests[0]
        took = request.ended_at - request.sent_at
        assert request.outcome is Outcome.SERVED, request
        assert took <= limit, took


@then('the last {count:d} requests are served')
def check_last_served(context: Context, count: int) -> None:
    """Check the outcomes on the new flows."""
    world_of(context).run(SETTLE_SECONDS)
    found = [flow.requests[0].outcome for flow in context.fresh]
    assert found == [Outcome.SERVED] * count, found


@then('all flows on it were ended by a node')
def check_marked_reset(context: Context) -> None:
    """Check that all flows of the selected upstream were reset."""
    flows = flows_on_selected(context)
    assert flows
    kept = [flow.key for flow in flows if not flow.system_reset]
    assert not kept, f'{len(kept)} of {len(flows)} flows still open'


@then('no flow on another upstream was ended')
def check_others_open(context: Context) -> None:
    """Check that no flow of a healthy upstream was reset."""
    selected = flows_on_selected(context)
    others = [flow for flow in context.flows if flow not in selected]
    assert others
    assert not any(flow.ended for flow in others)


@then('no flow was ended by a node')
def check_none_reset(context: Context) -> None:
    """Check that no flow was reset."""
    flows = [*context.flows, *context.fresh]
    assert not [flow.key for flow in flows if flow.system_reset]


@then('every flow was ended by a node')
def check_all_reset(context: Context) -> None:
    """Check that each open flow was reset."""
    assert all(flow.system_reset for flow in context.flows)


@then('every new flow was ended by a node')
def check_fresh_reset(context: Context) -> None:
    """Check that each new flow was reset."""
    assert all(flow.system_reset for flow in context.fresh)


@then('the draining upstream got no opening since')
@then('that upstream got no opening since')
def check_no_opening(context: Context) -> None:
    """Check the times of the selected upstream's openings."""
    late = [at for at in context.selected.opened if at > context.since]
    assert not late, late


@then('upstreams of "{domain}" got no opening since')
def check_domain_since(context: Context, domain: str) -> None:
    """Check the times of the openings in a domain."""
    for upstream in upstreams_of(context, domain):
        late = [at for at in upstream.opened if at > context.since]
        assert not late, (upstream.name, late)


@then('upstreams of "{domain}" got no opening')
def check_domain_unused(context: Context, domain: str) -> None:
    """Check that no upstream of a domain got an opening."""
    assert not any(one.opened for one in upstreams_of(context, domain))


@then('upstreams of "{domain}" got at least {count:d} openings')
def check_domain_used(context: Context, domain: str, count: int) -> None:
    """Count the openings in a domain."""
    got = sum(len(one.opened) for one in upstreams_of(context, domain))
    assert got >= count, got


@then(
    'no upstream of "{domain}" has over {factor:f} times the mean of openings'
)
def check_even(context: Context, domain: str, factor: float) -> None:
    """Compare the most openings of an upstream with the mean."""
    world_of(context).run(SETTLE_SECONDS)
    counts = [len(one.opened) for one in upstreams_of(context, domain)]
    assert max(counts) <= factor * sum(counts) / len(counts), counts


@then('it got at most {count:d} openings in any second')
def check_cold(context: Context, count: int) -> None:
    """Count the openings in each window of a second."""
    world_of(context).run(SETTLE_SECONDS)
    opened = context.selected.opened
    most = max(
        sum(1 for other in opened if at <= other < at + 1) for at in opened
    )
    assert most <= count, most


@then('it got at least {count:d} openings in all')
def check_cold_used(context: Context, count: int) -> None:
    """Count the openings: the limit must not block all of them."""
    got = len(context.selected.opened)
    assert got >= count, got


@then('"{service}" got between {low:d} and {high:d} openings')
def check_share(context: Context, service: str, low: int, high: int) -> None:
    """Count the openings of a service."""
    world = world_of(context)
    world.run(SETTLE_SECONDS)
    got = sum(
        len(one.opened)
        for one in world.upstreams.values()
        if one.service == service
    )
    assert low <= got <= high, got


@then('the upstream of "{service}" ran {count:d} requests')
def check_other_ran(context: Context, service: str, count: int) -> None:
    """Count the requests of the other service."""
    assert context.other.service == service
    assert context.other.ran == count, context.other.ran


@then('one of the two took no flow')
def check_twins(context: Context) -> None:
    """Check the two upstreams with the same echo."""
    assert sorted(bool(one.opened) for one in context.twins) == [False, True]


@when('the upstream with the fewest flows refuses all openings')
def refuse_openings(context: Context) -> None:
    """Crash a process whose host still refuses connections."""
    world = world_of(context)
    upstream = min(world.upstreams.values(), key=lambda one: len(one.flows))
    # Ended flows make it the least loaded, as after a crash.
    node = node_of(context, 'a')
    flows = node.core.forwarder.flows
    for flow in context.flows:
        if flow.echo == upstream.tag & 0xFFFFFFFF:
            flow.packet(FIN, ack=flow.ack)
            world.timeline.run(0.01)
    assert not flows.keys_on(node.core.updater.upstreams.by_name[upstream.name])
    upstream.condition = Condition.REFUSING
    context.selected = upstream
    upstream.opened.clear()


@when(
    '{count:d} clients in "{domain}" send a request and try twice again '
    'when refused',
)
def try_again(context: Context, count: int, domain: str) -> None:
    """Open flows in turn, with up to two retries from a new port."""
    world = world_of(context)
    context.fresh = []
    for _ in range(count):
        for _ in range(3):
            flow = world.open_flow(domain)
            flow.request()
            world.timeline.run(0.1)
            if flow.requests[0].outcome is not Outcome.RESET:
                break
        context.fresh.append(flow)


@then('each of them is served')
def check_each_served(context: Context) -> None:
    """Check the last attempt of each client."""
    found = Counter(flow.requests[0].outcome for flow in context.fresh)
    assert set(found) == {Outcome.SERVED}, found


@then('the refusing upstream got at most {count:d} openings')
def check_refusing(context: Context, count: int) -> None:
    """Count the openings sent to the refusing upstream."""
    got = len(context.selected.opened)
    assert got <= count, got


@when(
    '{count:d} new flows in "{domain}" send a request '
    'and the network doubles each packet',
)
def doubled_flows(context: Context, count: int, domain: str) -> None:
    """Open flows whose packets are duplicated by the network."""
    world = world_of(context)
    context.fresh = [world.open_flow(domain) for _ in range(count)]
    for flow in context.fresh:
        once = flow.send

        def twice(
            payload: bytes,
            key: tuple[int, int, int, int],
            once: Callable[..., None] = once,
        ) -> None:
            once(payload, key)
            once(payload, key)

        flow.send = twice
        flow.request()
    world.run(SETTLE_SECONDS)


@when('the node of "{domain}" briefly loses its connection to the store')
def mark_store_unavailable(context: Context, domain: str) -> None:
    """Fail a call to the store, and deliver a change after it."""
    world = world_of(context)
    updater = node_of(context, domain).core.updater
    updater.mark_store_unavailable(world.timeline.now)
    world.register(next(iter(world.upstreams.values())))


@when('{count:d} flows on it send a request, one each {gap:f} seconds')
def some_send_paced(context: Context, count: int, gap: float) -> None:
    """Send on a few flows of the selected upstream, at an interval."""
    context.spread = flows_on_selected(context)[:count]
    for flow in context.spread:
        flow.request()
        world_of(context).run(gap)


@then('these {count:d} were ended by a node')
def check_spread(context: Context, count: int) -> None:
    """Check that these flows were reset."""
    ended = [flow for flow in context.spread if flow.system_reset]
    assert len(ended) == count, len(ended)


@when('the node of "{domain}" is paused')
def stand_still(context: Context, domain: str) -> None:
    """Pause a node."""
    context.still = node_of(context, domain)
    context.still.is_paused = True


@when('it is resumed')
def go_on(context: Context) -> None:
    """Resume the node with the packets that have arrived."""
    context.still.resume()


@then('no upstream is put aside')
def check_none_aside(context: Context) -> None:
    """Check that no node has ejected an upstream."""
    world = world_of(context)
    world.timeline.run(0.01)
    for node in world.nodes:
        for name, known in node.core.updater.upstreams.by_name.items():
            assert not known.health.is_ejected(world.timeline.now), name
