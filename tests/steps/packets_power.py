"""Steps in which a failure domain loses power."""

import json
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from packets_outages import deployment_of
from packets_world import busiest, select_upstream, world_of

from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.load import Served
from burdocksill_lab.packets.power import PowerLoss
from burdocksill_lab.packets.upstream import Condition
from burdocksill_lab.packets.world import ROUTE_PORT, Objective

DOMAIN = 'd0'
OBJECTIVE_SECONDS = 0.6
DEADLINE_SECONDS = 3.0


@given('callers that use {count:d} open flows at random')
def keep_flows(context: Context, count: int) -> None:
    """Configure callers that keep flows and use each of them rarely."""
    deployment = context.deployment
    deployment.kept_flows = count
    deployment.random_reuse = True
    deployment.world.put_manifest(
        6,
        {ROUTE_PORT: 'ledger'},
        objectives={ROUTE_PORT: Objective(seconds=OBJECTIVE_SECONDS)},
    )


@given('removed entries are treated as if the store had lost them')
def treat_entries_as_lost(context: Context) -> None:
    """Select the control run for the time without power."""
    patch = mock.patch.object(
        UpstreamRegistry, 'stopped_renewing', return_value=False
    )
    patch.start()
    context.add_cleanup(patch.stop)


@given('started nodes receive no report of readers')
def disable_reports(context: Context) -> None:
    """Select the control run for the time after the power loss."""
    context.receives_from_readers = False


@when('the first domain loses power for {seconds:d} seconds')
def lose_power(context: Context, seconds: int) -> None:
    """Stop the domain, start it again, and wait for the end of all calls."""
    deployment = deployment_of(context)
    for one in deployment.callers:
        one.deadline_seconds = DEADLINE_SECONDS
        for flow in one.idle:
            flow.deadline = DEADLINE_SECONDS
    loss = PowerLoss(
        deployment=deployment,
        domain=DOMAIN,
        receives_from_readers=getattr(context, 'receives_from_readers', True),
    )
    loss.begin()
    deployment.world.run(seconds)
    loss.end()
    deployment.world.run(seconds)
    deployment.settle()


def served(context: Context, begin: float, end: float) -> Served:
    """Return the results of the domain's calls."""
    counted: Served = context.deployment.served(DOMAIN, begin, end)
    assert counted.asked
    return counted


@then(
    'of its calls from {begin:f} s to {end:f} s '
    'at most {most:f} are never served',
)
def check_never_served(
    context: Context,
    begin: float,
    end: float,
    most: float,
) -> None:
    """Check the share of calls that were never served."""
    share = served(context, begin, end).never_share
    assert share <= most, share


@then('of its calls from {begin:f} s to {end:f} s at most {most:f} are late')
def check_late(
    context: Context,
    begin: float,
    end: float,
    most: float,
) -> None:
    """Check the share of calls that were served late."""
    counted = served(context, begin, end)
    share = counted.late / counted.asked
    assert share <= most, share


@then(
    'of its calls from {begin:f} s to {end:f} s '
    'at least {least:f} are late or never served',
)
def check_control_fails(
    context: Context,
    begin: float,
    end: float,
    least: float,
) -> None:
    """Check that the control run fails calls."""
    share = 1 - served(context, begin, end).in_time_share
    assert share >= least, share


@given("the route's callers want answers within {seconds:f} seconds")
def set_objective(context: Context, seconds: float) -> None:
    """Write a manifest with an objective."""
    world_of(context).put_manifest(
        6,
        {ROUTE_PORT: 'ledger'},
        objectives={ROUTE_PORT: Objective(seconds=seconds)},
    )


@when('the service time of all upstreams becomes {seconds:f} seconds')
def set_service_time(context: Context, seconds: float) -> None:
    """Increase the service time of all upstreams."""
    for upstream in world_of(context).upstreams.values():
        upstream.work_seconds = seconds


@when('an upstream crashes and another process registers at its address')
def replace_crashed(context: Context) -> None:
    """Start another process before the entry of the old one expires."""
    world = world_of(context)
    select_upstream(context, busiest(context))
    context.selected.condition = Condition.UNRESPONSIVE
    world.run(0.1)
    world.replace_upstream(context.selected)


@when("another entry of an upstream's address is read together with its own")
def read_both_entries(context: Context) -> None:
    """Start a node that reads both entries."""
    world = world_of(context)
    select_upstream(context, busiest(context))
    name = 'i-00000000ff'
    entry = {**context.selected.entry('ready'), 'born': 2}
    world.store[UPSTREAMS + name] = json.dumps(entry).encode()
    node = world.nodes.pop()
    node.alive = False
    world.add_node(node.domain)
