"""Steps that put load on a deployment and check the results of calls."""

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


def make_deployment(context: Context, *, admission: bool) -> LoadedDeployment:
    """Build a deployment with the scenario's seed."""
    deployment = LoadedDeployment(
        world=PacketWorld(seed=context.seed),
        admission=admission,
    )
    deployment.build()
    return deployment


@given('a deployment under load with admission')
def with_admission(context: Context) -> None:
    """Build the deployment under test."""
    context.deployment = make_deployment(context, admission=True)


@given('a deployment under load with admission and seed {seed:d}')
def with_admission_and_seed(context: Context, seed: int) -> None:
    """Build the deployment under test with another seed."""
    context.seed = seed
    with_admission(context)


@given('a deployment under load with no admission')
def without_admission(context: Context) -> None:
    """Build the control deployment."""
    context.deployment = make_deployment(context, admission=False)


@given('one upstream works {factor:d} times as long')
def slow_down_one(context: Context, factor: int) -> None:
    """Increase the service time of one upstream."""
    upstreams = list(context.deployment.world.upstreams.values())
    upstreams[0].work_seconds *= factor


@given('all upstreams work {factor:d} times as long')
def slow_down_all(context: Context, factor: int) -> None:
    """Increase the service time of all upstreams."""
    for upstream in context.deployment.world.upstreams.values():
        upstream.work_seconds *= factor


@when(
    'calls come at {calm:f} of its capacity, '
    'and at {burst:f} for {seconds:d} seconds',
)
def run_load(context: Context, calm: float, burst: float, seconds: int) -> None:
    """Run the load."""
    context.load = (calm, burst, float(seconds))
    context.deployment.play(*context.load)


@then('at least {least:f} and at most {most:f} of the offers are in time')
def check_offers(context: Context, least: float, most: float) -> None:
    """Check the urgent calls of the burst."""
    share = context.deployment.in_burst(OFFER_PORT).in_time_share
    assert least <= share <= most, share


def upstream_refusals(deployment: LoadedDeployment) -> float:
    """Return the part of the tries that upstreams refused."""
    tries = sum(call.tries for one in deployment.callers for call in one.calls)
    refused = sum(one.refused for one in deployment.world.upstreams.values())
    return refused / tries


@then('upstreams refused less than {most:f} of the tries')
def check_low_refusals(context: Context, most: float) -> None:
    """Check the share of tries that full upstreams refused."""
    share = upstream_refusals(context.deployment)
    assert share < most, share


@then('upstreams refused more than {least:f} of the tries')
def check_high_refusals(context: Context, least: float) -> None:
    """Check that full upstreams refuse many tries in the control."""
    share = upstream_refusals(context.deployment)
    assert share > least, share


@then('no call ran that was not served')
def check_not_run(context: Context) -> None:
    """Compare the requests that ran with the calls that were served."""
    ran = sum(one.ran for one in context.deployment.world.upstreams.values())
    served = sum(
        call.served_at is not None
        for one in context.deployment.callers
        for call in one.calls
    )
    assert ran == served, (ran, served)


@then('more feeds are in time than with no admission')
def check_feeds(context: Context) -> None:
    """Run the control deployment and compare."""
    control = make_deployment(context, admission=False)
    control.play(*context.load)
    control_share = control.in_burst(FEED_PORT).in_time_share
    share = context.deployment.in_burst(FEED_PORT).in_time_share
    assert share > control_share, (share, control_share)


@then('each domain has at least half of the mean of feeds in time')
def check_domains(context: Context) -> None:
    """Check that no domain is starved."""
    deployment = context.deployment
    mean = deployment.in_burst(FEED_PORT).in_time_share
    for number in range(deployment.domains):
        share = deployment.in_burst(FEED_PORT, f'd{number}').in_time_share
        assert share >= mean / 2, (number, share, mean)


@then('no try was ended by a node')
def check_none_refused(context: Context) -> None:
    """Check that nodes refused nothing during the whole run."""
    refused = context.deployment.refused_in(0, float('inf'))
    assert refused == 0, refused


@then(
    'in each half second between {least:f} and {most:f} '
    'of the calls had a refused try',
)
def check_steady(context: Context, least: float, most: float) -> None:
    """Check the refusals over time, from a second after the burst began."""
    shares = context.deployment.refused_shares()
    assert all(least <= share <= most for share in shares), shares


@then('from {after:f} seconds after the burst on no try is ended by a node')
def check_no_later_refusals(context: Context, after: float) -> None:
    """Check for refusals after the burst."""
    deployment = context.deployment
    begin = CALM_SECONDS + deployment.burst_seconds + after
    refused = deployment.refused_in(begin, float('inf'))
    assert refused == 0, refused


@then('at most {most:f} of the calls had a refused try')
def check_refused_share(context: Context, most: float) -> None:
    """Check the share of calls with a try that a node refused."""
    calls = context.deployment.calls(0, float('inf'))
    share = sum(call.ended_by_node > 0 for call in calls) / len(calls)
    assert share <= most, share


@then('at least {least:f} of the calls are served')
def check_served(context: Context, least: float) -> None:
    """Check the share of calls that were served, late or in time."""
    calls = context.deployment.calls(0, float('inf'))
    share = 1 - count_served(calls, float('inf')).never_share
    assert share >= least, share


@given('a node for which one upstream is ejected and all others are full')
def fill_all_but_one(context: Context) -> None:
    """Eject one upstream and fill the slots of the others."""
    context.core = context.deployment.world.nodes[0].core
    now = context.deployment.world.timeline.now
    candidates = list(context.core.updater.upstreams.by_name.values())
    candidates[0].health.eject(now)
    for one in candidates[1:]:
        for _ in range(one.record.slots):
            one.begin_request()
    candidates[0].limiter.limit = 0.9


@then('an opening on that node is refused for load')
def check_overloaded(context: Context) -> None:
    """Place a new flow."""
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
def run_logged(context: Context, burst: float) -> None:
    """Run a burst with the log lines of all nodes in one file."""
    with tempfile.TemporaryFile() as kept:
        writer = LineWriter(node='all', descriptor=kept.fileno())
        early_lines.writer = writer
        # The run takes less real than virtual time; no line may be dropped.
        try:
            with mock.patch(LINES_BOUND, 1_000_000):
                context.deployment.play(0.5, burst, 2.0)
        finally:
            early_lines.writer = None
        kept.seek(0)
        context.lines = [json.loads(line) for line in kept]


@then('each refused opening has a line with priority, objective and load')
def check_lines(context: Context) -> None:
    """Compare the log lines with the refusals of callers."""
    lines = [one for one in context.lines if one['message'] == 'overloaded']
    refused = context.deployment.refused_in(0, float('inf'))
    assert 0 < len(lines) == refused, (len(lines), refused)
    for line in lines:
        assert line['priority'] in {1, 2}, line
        assert line['objective_s'] in {0.25, 0.3}, line
        load = line['services']['ledger']
        assert load['waiting'] > 0, line
        assert load.keys() == {'waiting', 'slots', 'limit', 'usual_s'}, line


@then('the metrics of the nodes count the same refusals by priority')
def check_counts(context: Context) -> None:
    """Compare the sum of all nodes' counters with the refusals."""
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
                load_rows={},
                silence_reports={},
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
    refused = context.deployment.refused_in(0, float('inf'))
    assert counted == refused, (counted, refused)
    assert all('waiting_limit_per_slot{service="ledger"}' in p for p in pages)
