"""Steps in which a failure domain loses power."""

import json
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from packets_outages import deployment_of
from packets_world import busiest, mark, world_of

from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.load import Served
from burdocksill_lab.packets.power import PowerLoss
from burdocksill_lab.packets.upstream import Condition
from burdocksill_lab.packets.world import ROUTE_PORT, Objective

DOMAIN = 'd0'
OBJECTIVE_SECONDS = 0.6
DEADLINE_SECONDS = 3.0


@given('callers that use {count:d} open flows alike')
def keep_flows(context: Context, count: int) -> None:
    """Let callers hold flows that they use rarely."""
    deployment = context.deployment
    deployment.kept_flows = count
    deployment.alike = True
    deployment.world.put_manifest(
        6,
        {ROUTE_PORT: 'ledger'},
        objectives={ROUTE_PORT: Objective(seconds=OBJECTIVE_SECONDS)},
    )


@given('entries that vanish are waited for as if the store had lost them')
def wait_for_entries(context: Context) -> None:
    """Choose the control for the time without power."""
    patch = mock.patch.object(
        UpstreamRegistry, 'stopped_renewing', return_value=False
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given('nodes that start hear nothing of readers')
def hear_nothing(context: Context) -> None:
    """Choose the control for the time after it."""
    context.hears_readers = False


@when('the first domain loses power for {seconds:d} seconds')
def lose_power(context: Context, seconds: int) -> None:
    """Take the power away, give it back, and let callers end."""
    deployment = deployment_of(context)
    for one in deployment.callers:
        one.deadline_seconds = DEADLINE_SECONDS
        for flow in one.idle:
            flow.deadline = DEADLINE_SECONDS
    loss = PowerLoss(
        deployment=deployment,
        domain=DOMAIN,
        hears_readers=getattr(context, 'hears_readers', True),
    )
    loss.begin()
    deployment.world.run(seconds)
    loss.end()
    deployment.world.run(seconds)
    deployment.settle()


def served(context: Context, begin: float, end: float) -> Served:
    """Return what callers of the domain got."""
    counted: Served = context.deployment.served(DOMAIN, begin, end)
    assert counted.asked
    return counted


@then(
    'of its calls from {begin:f} s to {end:f} s '
    'at most {most:f} are never served',
)
def check_never(
    context: Context,
    begin: float,
    end: float,
    most: float,
) -> None:
    """Count the calls that nobody answered."""
    share = served(context, begin, end).never_share
    assert share <= most, share


@then('of its calls from {begin:f} s to {end:f} s at most {most:f} are late')
def check_late(
    context: Context,
    begin: float,
    end: float,
    most: float,
) -> None:
    """Count the calls that were answered late."""
    counted = served(context, begin, end)
    share = counted.late / counted.asked
    assert share <= most, share


@then(
    'of its calls from {begin:f} s to {end:f} s '
    'at least {least:f} are late or never served',
)
def check_harm(
    context: Context,
    begin: float,
    end: float,
    least: float,
) -> None:
    """See the harm."""
    share = 1 - served(context, begin, end).in_time_share
    assert share >= least, share


@given("the route's callers want answers within {seconds:f} seconds")
def want_answers(context: Context, seconds: float) -> None:
    """Write a manifest with an objective."""
    world_of(context).put_manifest(
        6,
        {ROUTE_PORT: 'ledger'},
        objectives={ROUTE_PORT: Objective(seconds=seconds)},
    )


@when('all upstreams come to work {seconds:f} seconds')
def slow_down(context: Context, seconds: float) -> None:
    """Let all requests take longer."""
    for upstream in world_of(context).upstreams.values():
        upstream.work_seconds = seconds


@when('an upstream crashes and another process registers at its address')
def replace(context: Context) -> None:
    """Start another process before the entry of the old one has lapsed."""
    world = world_of(context)
    mark(context, busiest(context))
    context.marked.condition = Condition.DARK
    world.run(0.1)
    world.replace_upstream(context.marked)


@when("another entry of an upstream's address is read together with its own")
def read_both(context: Context) -> None:
    """Let a node that starts find both entries."""
    world = world_of(context)
    mark(context, busiest(context))
    name = 'i-00000000ff'
    entry = {**context.marked.entry('ready'), 'born': 2}
    world.store[UPSTREAMS + name] = json.dumps(entry).encode()
    node = world.nodes.pop()
    node.alive = False
    world.add_node(node.domain)
