"""Steps that let upstreams of a failure domain die together."""

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

LINES_BOUND = 'burdocksill.observe.writer.LINES_PER_SECOND'


def deployment_of(context: Context) -> OutageDeployment:
    """Return the deployment, built when it is first asked for."""
    deployment: OutageDeployment = context.deployment
    if not deployment.callers:
        deployment.build()
    return deployment


def first(context: Context) -> list[LabUpstream]:
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
    """Describe a deployment."""
    world = PacketWorld(seed=context.seed)
    world.put_manifest(5, {ROUTE_PORT: 'ledger'})
    context.deployment = OutageDeployment(
        world=world,
        domains=domains,
        nodes=nodes,
        upstreams=upstreams,
        rate=rate,
    )


@given('no node draws conclusions from missed openings')
def blind(context: Context) -> None:
    """Choose the control."""
    context.deployment.sees_outages = False


@given('nodes tell each other nothing')
def alone(context: Context) -> None:
    """Leave each node with what it sees."""
    context.deployment.shares = False


@when('all upstreams of the first domain die for {seconds:d} seconds')
def die(context: Context, seconds: int) -> None:
    """End them, and let time pass."""
    deployment_of(context).fail(first(context))
    context.deployment.world.run(seconds)


@when('half of the upstreams of the first domain die for {seconds:d} seconds')
def half_die(context: Context, seconds: int) -> None:
    """End every second one, and let time pass."""
    context.resets = resets_elsewhere(context)
    deployment_of(context).fail(first(context)[::2])
    context.deployment.world.run(seconds)


@when('they come back as other processes')
def come_back(context: Context) -> None:
    """Start them, and let time pass."""
    context.deployment.come_back()
    context.deployment.world.run(4)


@when(
    'all upstreams of the first domain refuse openings for {seconds:d} second'
)
def refuse(context: Context, seconds: int) -> None:
    """Let them refuse, and go on as the same processes."""
    die(context, seconds)
    for upstream in first(context):
        upstream.condition = Condition.WELL
        upstream.running = 0
    context.deployment.world.run(5)


@when(
    'a node claims each {gap:f} s that all upstreams of its domain '
    'missed an opening',
)
def lie(context: Context, gap: float) -> None:
    """Let a node that follows tell lies for two seconds."""
    deployment = deployment_of(context)
    liar = deployment.peers[1]
    deployment.failed_at = deployment.world.timeline.now
    for _ in range(round(2 / gap)):
        now = deployment.world.timeline.now
        liar.claim(
            [
                Observation(
                    echo=one.tag & 0xFFFFFFFF,
                    answered=False,
                    at=now,
                    reporter=number,
                )
                for number, one in enumerate(first(context))
            ],
        )
        deployment.world.run(gap)


@when('a node is cut off from all upstreams for {seconds:d} seconds')
def cut_off(context: Context, seconds: int) -> None:
    """Drop what a node that follows sends to upstreams."""
    deployment = deployment_of(context)
    context.cut = deployment.world.nodes[1]
    for one in deployment.world.upstreams.values():
        pair = frozenset((context.cut.address[0], one.address[0]))
        deployment.world.network.cuts.add(pair)
    deployment.world.run(seconds)


@when('a twentieth of all openings is lost for {seconds:d} seconds')
def lose_openings(context: Context, seconds: int) -> None:
    """Drop one opening of twenty on its way to an upstream."""
    deployment = deployment_of(context)
    deployment.failed_at = deployment.world.timeline.now
    rng = deployment.world.rng
    for one in deployment.world.upstreams.values():
        whole = one.receive

        def receive(
            payload: bytes,
            source: tuple[str, int],
            whole=whole,  # noqa: ANN001
        ) -> None:
            packet = read_packet(payload[8:])
            if packet is None or not packet.is_syn or rng.random() > 1 / 20:
                whole(payload, source)

        deployment.world.network.receivers[one.address] = receive
    deployment.world.run(seconds)


@when('the log lines are kept while all upstreams of the first domain die')
def die_with_log(context: Context) -> None:
    """Keep what the nodes write."""
    deployment_of(context)
    with tempfile.TemporaryFile() as kept:
        writer = LineWriter(node='all', descriptor=kept.fileno())
        with (
            mock.patch.object(early_lines, 'writer', writer),
            mock.patch(LINES_BOUND, 1_000_000),
        ):
            die(context, 1)
        kept.seek(0)
        context.lines = [json.loads(line) for line in kept]


@then('of its calls from {since:f} s on at most {most:f} are never served')
def check_served(context: Context, since: float, most: float) -> None:
    """Count what callers got until two seconds after the failure."""
    context.deployment.settle()
    share = context.deployment.served('d0', since, 2.0).never_share
    assert share <= most, share


@then('of its calls from {since:f} s on at least {least:f} are never served')
def check_lost(context: Context, since: float, least: float) -> None:
    """See the harm."""
    context.deployment.settle()
    share = context.deployment.served('d0', since, 2.0).never_share
    assert share >= least, share


@then('at least {least:f} of its flows from {since:f} s on are opened at home')
def check_home(context: Context, least: float, since: float) -> None:
    """Compare the first domain's openings with its calls' new flows."""
    deployment = context.deployment
    at = deployment.failed_at + since
    home = {one.name for one in first(context)}
    opened: list[bool] = []
    for node in deployment.world.nodes:
        if node.domain == 'd0':
            opened.extend(
                flow.upstream.record.name in home
                for key, flow in node.core.forwarder.flows.flows.items()
                if context.deployment.opened_at(key) >= at
            )
    assert opened
    assert sum(opened) / len(opened) >= least, sum(opened) / len(opened)


@then('no node suspects a domain')
def check_no_suspicion(context: Context) -> None:
    """Ask all nodes."""
    check_no_other_suspects(context)


@then('no other node suspects a domain')
def check_no_other_suspects(context: Context) -> None:
    """Ask all nodes but the one that is cut off."""
    world = context.deployment.world
    cut = getattr(context, 'cut', None)
    suspecting = [
        node.name
        for node in world.nodes
        if node is not cut
        and any(
            node.core.updater.placer.outages.suspected_domains(
                world.timeline.now
            )
        )
    ]
    assert not suspecting, suspecting


def resets_elsewhere(context: Context) -> int:
    """Count the flows that nodes have ended."""
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
    """Compare the counts of resets; those of dead hosts aren't among them."""
    assert resets_elsewhere(context) == context.resets


@then('its nodes sent at most {most:d} bytes a second each on average')
def check_bytes(context: Context, most: int) -> None:
    """Count what the nodes of the first domain sent in two seconds."""
    sent = [
        peer.sent_bytes
        for peer in context.deployment.peers
        if peer.node.domain == 'd0'
    ]
    assert 0 < sum(sent) / len(sent) / 2 <= most, sum(sent)


@then('no node of another domain sent any')
def check_others_quiet(context: Context) -> None:
    """Count what the rest sent."""
    for peer in context.deployment.peers:
        assert peer.node.domain == 'd0' or not peer.sent_bytes, peer.node.name


@then(
    'lines tell of missed openings, and of the suspected domain',
)
def check_lines(context: Context) -> None:
    """Look for both."""
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
