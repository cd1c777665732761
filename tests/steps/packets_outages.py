"""Steps in which upstreams of a failure domain fail together."""

import json
import tempfile
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.observe.early import early_lines
from burdocksill.observe.writer import LineWriter
from burdocksill.packets.header import read_packet
from burdocksill.packets.verdicts import Reason
from burdocksill.readers.messages import Observation
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

# A share of fewer flows says little about the placement.
MIN_OPENED = 100
LINES_BOUND = 'burdocksill.observe.writer.LINES_PER_SECOND'


def deployment_of(context: Context) -> OutageDeployment:
    """Return the deployment, built on the first call."""
    deployment: OutageDeployment = context.deployment
    if not deployment.callers:
        deployment.build()
    return deployment


def first_upstreams(context: Context) -> list[LabUpstream]:
    """Return the upstreams of the first domain."""
    return deployment_of(context).in_domain('d0')


@given(
    '{domains:d} domains of {nodes:d} nodes and {upstreams:d} upstreams, '
    'with {rate:d} calls a second each',
)
def prepare(
    context: Context,
    domains: int,
    nodes: int,
    upstreams: int,
    rate: int,
) -> None:
    """Configure a deployment that is built later."""
    world = PacketWorld(seed=context.seed)
    world.put_manifest(5, {ROUTE_PORT: 'ledger'})
    context.deployment = OutageDeployment(
        world=world,
        domains=domains,
        nodes=nodes,
        upstreams=upstreams,
        rate=rate,
    )


@given('world seed {seed:d}')
def set_seed(context: Context, seed: int) -> None:
    """Use another seed than the default."""
    context.seed = seed


@given('callers that open a flow for each call')
def keep_no_flows(context: Context) -> None:
    """Let callers close each flow after its call."""
    context.deployment.kept_flows = 0


@given('nodes ignore missed openings')
def ignore_missed_openings(context: Context) -> None:
    """Select the control run without outage detection."""
    context.deployment.detects_outages = False


@given('nodes tell each other nothing')
def disable_sharing(context: Context) -> None:
    """Share no observations between nodes."""
    context.deployment.shares_observations = False


@when('all upstreams of the first domain die for {seconds:d} seconds')
def fail_all(context: Context, seconds: int) -> None:
    """Stop the processes, then advance the time."""
    deployment_of(context).fail(first_upstreams(context))
    context.deployment.world.run(seconds)


@when('half of the upstreams of the first domain die for {seconds:d} seconds')
def fail_half(context: Context, seconds: int) -> None:
    """Stop every second process, then advance the time."""
    context.resets = count_resets(context)
    deployment_of(context).fail(first_upstreams(context)[::2])
    context.deployment.world.run(seconds)


@when('they are started again as other processes')
def restart_failed(context: Context) -> None:
    """Start new processes, then advance the time."""
    context.deployment.restart_failed()
    context.deployment.world.run(4)


@when(
    'all upstreams of the first domain refuse openings for {seconds:d} second'
)
def refuse_openings(context: Context, seconds: int) -> None:
    """Refuse openings for a time, then continue with the same processes."""
    fail_all(context, seconds)
    for upstream in first_upstreams(context):
        upstream.condition = Condition.HEALTHY
        upstream.running = 0
    context.deployment.world.run(5)


@when(
    'a node reports each {gap:f} s that all upstreams of its domain '
    'missed an opening',
)
def send_false_reports(context: Context, gap: float) -> None:
    """Send false reports from a follower for two seconds."""
    deployment = deployment_of(context)
    faulty = deployment.peers[1]
    deployment.failed_at = deployment.world.timeline.now
    for _ in range(round(2 / gap)):
        now = deployment.world.timeline.now
        faulty.send_forged(
            [
                Observation(
                    echo=upstream.tag & 0xFFFFFFFF,
                    answered=False,
                    at=now,
                    reporter=number,
                )
                for number, upstream in enumerate(first_upstreams(context))
            ],
        )
        deployment.world.run(gap)


@when('a node is partitioned from all upstreams for {seconds:d} seconds')
def partition_node(context: Context, seconds: int) -> None:
    """Drop the packets of a follower to all upstreams."""
    deployment = deployment_of(context)
    context.partitioned = deployment.world.nodes[1]
    for upstream in deployment.world.upstreams.values():
        pair = frozenset((context.partitioned.address[0], upstream.address[0]))
        deployment.world.network.cuts.add(pair)
    deployment.world.run(seconds)


@when('a twentieth of all openings is lost for {seconds:d} seconds')
def lose_openings(context: Context, seconds: int) -> None:
    """Drop one of twenty openings on the way to an upstream."""
    deployment = deployment_of(context)
    deployment.failed_at = deployment.world.timeline.now
    rng = deployment.world.rng
    for upstream in deployment.world.upstreams.values():
        original = upstream.receive

        def receive(
            payload: bytes,
            source: tuple[str, int],
            original=original,  # noqa: ANN001
        ) -> None:
            packet = read_packet(payload[8:])
            if packet is None or not packet.is_syn or rng.random() > 1 / 20:
                original(payload, source)

        deployment.world.network.receivers[upstream.address] = receive
    deployment.world.run(seconds)


@when('the log lines are kept while all upstreams of the first domain die')
def fail_with_log(context: Context) -> None:
    """Store the log lines of all nodes."""
    deployment_of(context)
    with tempfile.TemporaryFile() as kept:
        writer = LineWriter(node='all', descriptor=kept.fileno())
        with (
            mock.patch.object(early_lines, 'writer', writer),
            mock.patch(LINES_BOUND, 1_000_000),
        ):
            fail_all(context, 1)
        kept.seek(0)
        context.lines = [json.loads(line) for line in kept]


@then('of its calls from {since:f} s on at most {most:f} are never served')
def check_served(context: Context, since: float, most: float) -> None:
    """Check the calls until two seconds after the failure."""
    context.deployment.settle()
    share = context.deployment.served('d0', since, 2.0).never_share
    assert share <= most, share


@then(
    'of its calls from {begin:f} s to {end:f} s '
    'at most {most:f} need a second try',
)
def check_tries(
    context: Context,
    begin: float,
    end: float,
    most: float,
) -> None:
    """Check the share of calls whose first try failed."""
    deployment = context.deployment
    failed = [
        call.tries > 1
        for one in deployment.callers
        if one.domain == 'd0'
        for call in one.calls
        if begin <= call.asked_at - deployment.failed_at < end
    ]
    assert failed
    assert sum(failed) / len(failed) <= most, (sum(failed), len(failed))


@then('of its calls from {since:f} s on at least {least:f} are never served')
def check_control_loses(context: Context, since: float, least: float) -> None:
    """Check that calls are lost in the control run."""
    context.deployment.settle()
    share = context.deployment.served('d0', since, 2.0).never_share
    assert share >= least, share


@then(
    'at least {least:f} of its flows from {since:f} s on '
    'are opened in their own domain',
)
def check_home(context: Context, least: float, since: float) -> None:
    """Check on which domain's upstreams new flows were opened."""
    deployment = context.deployment
    opened = deployment.home_flows('d0', deployment.failed_at + since)
    assert len(opened) >= MIN_OPENED, len(opened)
    share = sum(opened) / len(opened)
    assert share >= least, (share, len(opened))


@then('no node suspects a domain')
def check_no_suspicion(context: Context) -> None:
    """Check all nodes."""
    check_no_other_suspicion(context)


@then('no other node suspects a domain')
def check_no_other_suspicion(context: Context) -> None:
    """Check all nodes but the partitioned one."""
    world = context.deployment.world
    partitioned = getattr(context, 'partitioned', None)
    suspecting = [
        node.name
        for node in world.nodes
        if node is not partitioned
        and any(
            node.core.updater.placer.outages.suspected_domains(
                world.timeline.now
            )
        )
    ]
    assert not suspecting, suspecting


def count_resets(context: Context) -> int:
    """Count the flows that nodes have reset."""
    deployment = deployment_of(context)
    return sum(
        node.core.counts[reason.value]
        for node in deployment.world.nodes
        for reason in (
            Reason.UPSTREAM_DARK,
            Reason.FLOW_SILENT,
            Reason.UPSTREAM_GONE,
            Reason.UNKNOWN_ECHO,
        )
    )


@then('no flow on another upstream was reset')
def check_no_reset(context: Context) -> None:
    """Compare the counts of resets by nodes, without those of the hosts."""
    assert count_resets(context) == context.resets


@then('its nodes sent at most {most:d} bytes a second each on average')
def check_bytes(context: Context, most: int) -> None:
    """Check the bytes that the first domain's nodes sent in two seconds."""
    sent = [
        peer.sent_bytes
        for peer in context.deployment.peers
        if peer.node.domain == 'd0'
    ]
    assert 0 < sum(sent) / len(sent) / 2 <= most, sum(sent)


@then('no node of another domain sent anything')
def check_others_send_nothing(context: Context) -> None:
    """Check that the nodes of other domains sent nothing."""
    for peer in context.deployment.peers:
        assert peer.node.domain == 'd0' or not peer.sent_bytes, peer.node.name


@then(
    'log lines show missed openings and the suspected domain',
)
def check_lines(context: Context) -> None:
    """Check the fields of both kinds of log lines."""
    missed = [
        line
        for line in context.lines
        if line['message'] == Reason.OPENING_MISSED.value
    ]
    suspected = [
        line for line in context.lines if line['message'] == 'domain suspected'
    ]
    assert missed
    assert all(line['domain'] == 'd0' for line in missed)
    assert suspected
    for line in suspected:
        assert line['domain'] == 'd0'
        assert line['missed'] > line['answered']
