"""Steps that put load on nodes with fair admission."""

import zlib

from behave import given, then, when
from behave.runner import Context

from burdocksill.packets.features import Feature
from burdocksill.packets.messages import Route, WeightedService
from burdocksill_lab.packets.deployment import (
    CALM_SECONDS,
    FEED_PORT,
    LONG_FLOWS,
    OBJECTIVES,
    OFFER_PORT,
    LoadedDeployment,
)
from burdocksill_lab.packets.load import Call, count_served
from burdocksill_lab.packets.world import Objective, PacketWorld

FAIR = frozenset({Feature.FAIR_ADMISSION})
NO_FEATURES: frozenset[Feature] = frozenset()
BURST_PORT = 8444
FRACTIONS = {BURST_PORT: 0.3, FEED_PORT: 0.48, OFFER_PORT: 0.22}
THREE_ROUTES = OBJECTIVES | {BURST_PORT: Objective(seconds=0.25, priority=2)}


def make_fair(
    seed: int,
    features: frozenset[Feature] = FAIR,
    *,
    max_idle: int | None = LONG_FLOWS,
    **fields: object,
) -> LoadedDeployment:
    """Build a deployment of nodes with features."""
    deployment = LoadedDeployment(
        world=PacketWorld(seed=seed, features=features),
        max_idle=max_idle,
        **fields,  # type: ignore[arg-type]
    )
    deployment.build()
    return deployment


def in_time(deployment: LoadedDeployment, *ports: int) -> int:
    """Count the calls of the burst that were served in time."""
    return sum(deployment.in_burst(port).in_time for port in ports)


@given('fair admission for long flows with seed {seed:d}')
def with_long_flows(context: Context, seed: int) -> None:
    """Build the deployment under test."""
    context.seed = seed
    context.deployment = make_fair(seed)


@given('a deployment under load with fair admission')
def with_short_flows(context: Context) -> None:
    """Build a deployment whose callers keep few flows."""
    context.deployment = make_fair(context.seed, max_idle=None)


@given('{count:d} of 9 upstreams end at second {at:d}')
def end_upstreams(context: Context, count: int, at: int) -> None:
    """End one upstream of each domain as planned, without their flows."""
    world = context.deployment.world

    def end_some() -> None:
        for upstream in list(world.upstreams.values())[:: 9 // count]:
            world.deregister(upstream)
            upstream.condition = type(upstream.condition).REFUSING

    world.timeline.after(at, end_some)


@given('a route of two services with even weights, of which one has no room')
def fill_one_service(context: Context) -> None:
    """Fill the slots of one of two services."""
    world = PacketWorld(seed=context.seed, features=FAIR)
    node = world.add_node('a')
    for service in ('ledger', 'desk'):
        world.add_upstream('a', service)
    context.placer = node.core.forwarder.placer
    known = node.core.updater.upstreams.by_name.values()
    full = next(one for one in known if one.record.service == 'ledger')
    full.limiter.limit = 1
    for _ in range(4):
        full.begin_request((1, 1), 0)


@when('{count:d} of its flows are placed')
def place_flows(context: Context, count: int) -> None:
    """Place flows of a route of both services."""
    route = Route(
        name='r',
        address=1,
        port=1,
        weighted_services=(
            WeightedService(service='ledger'),
            WeightedService(service='desk'),
        ),
    )
    context.placed = [context.placer.place(route, 0) for _ in range(count)]


@then('all are on upstreams of the service with room')
def check_services(context: Context) -> None:
    """Check the service of each upstream."""
    services = {one.record.service for one in context.placed}
    assert services == {'desk'}, services


@then('the results of all calls have checksum {checksum:d}')
def check_results(context: Context, checksum: int) -> None:
    """Compare with the results before the feature existed."""
    results = [
        (call.asked_at, call.tries, call.ended_by_node, call.served_at)
        for one in context.deployment.callers
        for call in one.calls
    ]
    assert zlib.crc32(repr(results).encode()) == checksum


@then(
    'at least {feeds:f} of the feeds and {offers:f} of the offers are in time'
)
def check_both(context: Context, feeds: float, offers: float) -> None:
    """Check the calls of the burst."""
    for port, least in ((FEED_PORT, feeds), (OFFER_PORT, offers)):
        share = context.deployment.in_burst(port).in_time_share
        assert share >= least, (port, share)


def used_in_time(deployment: LoadedDeployment) -> float:
    """Return the part of the capacity whose answers are in time."""
    runs = deployment.capacity * deployment.burst_seconds
    return in_time(deployment, *deployment.objectives) / runs


@then('at least {least:f} of the capacity is served in time')
def check_capacity(context: Context, least: float) -> None:
    """Check the calls of the burst against all that the slots can run."""
    share = used_in_time(context.deployment)
    assert share >= least, share


@then('more of the capacity is served in time than without the feature')
def check_gain(context: Context) -> None:
    """Play the same load on nodes without the feature."""
    control = make_fair(context.seed, NO_FEATURES)
    control.play(*context.load)
    shares = used_in_time(context.deployment), used_in_time(control)
    assert shares[0] > shares[1], shares


@given('fair admission for {flows} flows of three routes')
def with_three_routes(context: Context, flows: str) -> None:
    """Build the same deployment twice, for a burst and without one."""
    context.played = [
        make_fair(
            context.seed,
            max_idle=LONG_FLOWS if flows == 'long' else 0,
            objectives=THREE_ROUTES,
            fractions=FRACTIONS,
            bursts=bursts,
        )
        for bursts in ({}, {BURST_PORT: 3})
    ]


@when('the first route calls {factor:d} times as often for {seconds:d} seconds')
def play_burst(context: Context, factor: int, seconds: int) -> None:
    """Play both deployments at the same load of the other routes."""
    for deployment in context.played:
        deployment.play(0.8, 0.8, seconds)


@then('the others get at least {least:f} of what they got without the burst')
def check_others(context: Context, least: float) -> None:
    """Compare the shares of calls in time."""
    for port in (FEED_PORT, OFFER_PORT):
        calm, burst = (
            one.in_burst(port).in_time_share for one in context.played
        )
        assert burst >= calm * least, (port, burst, calm)


@then(
    'at least {least:f} of the offers asked from second {at:d} on are in time'
)
def check_late_offers(context: Context, least: float, at: int) -> None:
    """Check the urgent calls after the loss up to the end of the burst."""
    deployment = context.deployment
    end = CALM_SECONDS + deployment.burst_seconds
    calls: list[Call] = deployment.calls(at, end, OFFER_PORT)
    served = count_served(calls, OBJECTIVES[OFFER_PORT].seconds)
    assert served.in_time_share >= least, served


@then(
    'each refused opening has a line with route, share, use, demand '
    'and borrowers'
)
def check_share_lines(context: Context) -> None:
    """Check the fields of the lines against the refusals of callers."""
    lines = [one for one in context.lines if one['message'] == 'overloaded']
    refused = context.deployment.refused_in(0, float('inf'))
    assert 0 < len(lines) == refused, (len(lines), refused)
    for line in lines:
        load = line['services']['ledger']
        assert line['route'] in {'r-8443', 'r-8080'}, line
        assert load['demand'] > 0 <= load['share'], line
        assert load['use'] >= 0 <= len(load['borrowers']) <= 3, line
