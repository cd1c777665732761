"""Steps that load a deployment and count what callers got."""

import json
import tempfile
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.observe.early import early_lines
from burdocksill.observe.writer import LineWriter
from burdocksill.packets.metrics import MetricsPage
from burdocksill.packets.verdicts import Reason
from burdocksill_lab.packets.deployment import (
    CALM_SECONDS,
    FEED_PORT,
    OFFER_PORT,
    LoadedDeployment,
)
from burdocksill_lab.packets.load import count_served
from burdocksill_lab.packets.world import PacketWorld

LINES_BOUND = 'burdocksill.observe.writer.LINES_PER_SECOND'


def make(context: Context, *, admission: bool) -> LoadedDeployment:
    """Build a deployment from the scenario's seed."""
    deployment = LoadedDeployment(
        world=PacketWorld(seed=context.seed),
        admission=admission,
    )
    deployment.build()
    return deployment


@given('a deployment under load with admission')
def with_admission(context: Context) -> None:
    """Build what the product is."""
    context.deployment = make(context, admission=True)


@given('a deployment under load with no admission')
def without_admission(context: Context) -> None:
    """Build the control."""
    context.deployment = make(context, admission=False)


@given('one upstream works {factor:d} times as long')
def slow_one(context: Context, factor: int) -> None:
    """Slow one upstream down."""
    upstreams = list(context.deployment.world.upstreams.values())
    upstreams[0].work_seconds *= factor


@given('all upstreams work {factor:d} times as long')
def slow_all(context: Context, factor: int) -> None:
    """Slow all upstreams down."""
    for upstream in context.deployment.world.upstreams.values():
        upstream.work_seconds *= factor


@when(
    'calls come at {calm:f} of its capacity, '
    'and at {burst:f} for {seconds:d} seconds',
)
def play(context: Context, calm: float, burst: float, seconds: int) -> None:
    """Play the load."""
    context.load = (calm, burst, float(seconds))
    context.deployment.play(*context.load)


@then('at least {least:f} and at most {most:f} of the offers are in time')
def check_offers(context: Context, least: float, most: float) -> None:
    """Count the urgent calls of the burst."""
    share = context.deployment.in_burst(OFFER_PORT).in_time_share
    assert least <= share <= most, share


def upstream_refusals(deployment: LoadedDeployment) -> float:
    """Return the part of the tries that upstreams refused."""
    tries = sum(call.tries for one in deployment.callers for call in one.calls)
    refused = sum(one.refused for one in deployment.world.upstreams.values())
    return refused / tries


@then('upstreams refused less than {most:f} of the tries')
def check_few_refusals(context: Context, most: float) -> None:
    """Count what full upstreams refused."""
    share = upstream_refusals(context.deployment)
    assert share < most, share


@then('upstreams refused more than {least:f} of the tries')
def check_many_refusals(context: Context, least: float) -> None:
    """See the harm without admission."""
    share = upstream_refusals(context.deployment)
    assert share > least, share


@then('no call ran that was not served')
def check_not_run(context: Context) -> None:
    """Compare what ran with what callers got."""
    ran = sum(one.ran for one in context.deployment.world.upstreams.values())
    served = sum(
        call.served_at is not None
        for one in context.deployment.callers
        for call in one.calls
    )
    assert ran == served, (ran, served)


@then('more feeds are in time than with no admission')
def check_feeds(context: Context) -> None:
    """Play the control and compare."""
    control = make(context, admission=False)
    control.play(*context.load)
    without = control.in_burst(FEED_PORT).in_time_share
    share = context.deployment.in_burst(FEED_PORT).in_time_share
    assert share > without, (share, without)


@then('each domain has at least half of the mean of feeds in time')
def check_domains(context: Context) -> None:
    """Look for a domain that is starved."""
    deployment = context.deployment
    mean = deployment.in_burst(FEED_PORT).in_time_share
    for number in range(deployment.domains):
        share = deployment.in_burst(FEED_PORT, f'd{number}').in_time_share
        assert share >= mean / 2, (number, share, mean)


@then('no try was ended by a node')
def check_none_refused(context: Context) -> None:
    """Count refusals over the whole play."""
    refused = context.deployment.refused_in(0, float('inf'))
    assert refused == 0, refused


@then(
    'in each half second between {least:f} and {most:f} '
    'of the calls met a refusal',
)
def check_steady(context: Context, least: float, most: float) -> None:
    """Look at the refusals over time, from a second after the burst began."""
    shares = context.deployment.refused_shares()
    assert all(least <= share <= most for share in shares), shares


@then('from {after:f} seconds after the burst on no try is ended by a node')
def check_forgotten(context: Context, after: float) -> None:
    """Count refusals after the burst."""
    deployment = context.deployment
    begin = CALM_SECONDS + deployment.burst_seconds + after
    refused = deployment.refused_in(begin, float('inf'))
    assert refused == 0, refused


@then('at most {most:f} of the calls met a refusal')
def check_few_refused(context: Context, most: float) -> None:
    """Count the calls that a node refused a try of."""
    calls = context.deployment.calls(0, float('inf'))
    share = sum(call.ended_by_node > 0 for call in calls) / len(calls)
    assert share <= most, share


@then('at least {least:f} of the calls are served')
def check_served(context: Context, least: float) -> None:
    """Count the calls that were served, late or not."""
    calls = context.deployment.calls(0, float('inf'))
    share = 1 - count_served(calls, float('inf')).never_share
    assert share >= least, share


@given('a node that sees all upstreams full but one that it put aside')
def fill_all_but_one(context: Context) -> None:
    """Let a node see much in progress, and one upstream silent."""
    context.core = context.deployment.world.nodes[0].core
    now = context.deployment.world.timeline.now
    known = list(context.core.updater.upstreams.by_name.values())
    known[0].health.eject(now)
    for one in known[1:]:
        for _ in range(one.record.slots):
            one.begin_request()
    known[0].limiter.limit = 0.9


@then('an opening there is refused for load')
def check_overloaded(context: Context) -> None:
    """Ask for a place."""
    world = context.deployment.world
    route = next(
        one
        for one in context.core.updater.table.routes.values()
        if one.port == FEED_PORT
    )
    placer = context.core.forwarder.placer
    chosen = placer.place(route, world.timeline.now)
    assert chosen is Reason.OVERLOADED, chosen


@when('its log lines are kept while calls come at {burst:f} of its capacity')
def play_logged(context: Context, burst: float) -> None:
    """Play a burst with the lines of all nodes in one file."""
    with tempfile.TemporaryFile() as kept:
        writer = LineWriter(node='all', descriptor=kept.fileno())
        early_lines.writer = writer
        # The play takes less real time than virtual; no line may be left out.
        try:
            with mock.patch(LINES_BOUND, 1_000_000):
                context.deployment.play(0.5, burst, 2.0)
        finally:
            early_lines.writer = None
        kept.seek(0)
        context.lines = [json.loads(line) for line in kept]


@then('each refused opening has a line with priority, objective and load')
def check_lines(context: Context) -> None:
    """Compare the lines with what callers met."""
    lines = [one for one in context.lines if one['message'] == 'overloaded']
    met = context.deployment.refused_in(0, float('inf'))
    assert 0 < len(lines) == met, (len(lines), met)
    for line in lines:
        assert line['priority'] in {1, 2}, line
        assert line['objective_s'] in {0.25, 0.3}, line
        load = line['services']['ledger']
        assert load['waiting'] > 0, line
        assert load.keys() == {'waiting', 'slots', 'limit', 'usual_s'}, line


@then('the metrics of the nodes count the same refusals by priority')
def check_counts(context: Context) -> None:
    """Add up the counters of all nodes."""
    world = context.deployment.world
    pages = [
        MetricsPage(
            core=node.core,
            store_sync=SimpleNamespace(
                calls=Counter(),
                is_reader=False,
                received_bytes=0,
                truncated=0,
                observations={},
            ),
        ).render(world.timeline.now)
        for node in world.nodes
    ]
    counted = sum(
        float(line.rpartition(' ')[2])
        for page in pages
        for line in page.splitlines()
        if line.startswith('burdocksill_refused_for_load_total{priority=')
    )
    met = context.deployment.refused_in(0, float('inf'))
    assert counted == met, (counted, met)
    assert all('waiting_limit_per_slot{service="ledger"}' in p for p in pages)
