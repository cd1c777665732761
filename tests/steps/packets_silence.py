"""Steps in which upstreams fall silent and nodes tell each other."""

import itertools
from collections import Counter
from collections.abc import Callable
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.flows import FlowTable
from burdocksill.packets.header import (
    ACK,
    HEADER,
    Packet,
    format_ipv4,
    read_packet,
)
from burdocksill.packets.messages import UpstreamRecord, UpstreamState
from burdocksill.packets.silence import (
    Evidence,
    SilenceDetector,
    SilenceJudge,
    SilenceNotice,
    SilenceReport,
)
from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.sharing import PEER_PORT
from burdocksill_lab.packets.silence import SilenceTrial, make_deployment
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

REPORTS = frozenset((Feature.SILENCE_REPORTS,))
NAME_NUMBERS = 'burdocksill_lab.packets.upstream.NAME_NUMBERS'
SLOW_FACTOR = 8
PAUSE_SECONDS = 0.9
NOW = 100.0


def make_world(context: Context, features: frozenset[Feature]) -> PacketWorld:
    """Return a world whose nodes have features."""
    world = PacketWorld(seed=context.seed, features=features)
    world.put_manifest(5, {ROUTE_PORT: 'ledger'})
    return world


def prepare(
    context: Context, features: frozenset[Feature], *numbers: int
) -> None:
    """Build a deployment and run its calm phase."""
    context.numbers = numbers
    world = make_world(context, features)
    domains, nodes, upstreams, rate = numbers
    deployment = make_deployment(world, domains, nodes, upstreams, rate)
    # Names of upstreams influence placement; other scenarios take names, too.
    with mock.patch(NAME_NUMBERS, itertools.count(1)):
        deployment.build()
    for peer in deployment.peers:
        peer.sent_bytes = 0
    context.trial = SilenceTrial(deployment=deployment)
    context.trial.watch()
    context.trials = [context.trial]


@given(
    '{domains:d} domains of {nodes:d} nodes and {upstreams:d} upstreams '
    'that report silence, with {rate:d} calls a second each',
)
def prepare_reporting(context: Context, **numbers: int) -> None:
    """Build a deployment with the feature."""
    prepare(context, REPORTS, *numbers.values())


@given(
    '{domains:d} domains of {nodes:d} nodes and {upstreams:d} upstreams, '
    'with {rate:d} calls a second each, and random flows',
)
def prepare_control(context: Context, **numbers: int) -> None:
    """Build a deployment without the feature."""
    prepare(context, NO_FEATURES, *numbers.values())


@when('every fourth upstream falls silent for {seconds:g} s')
def silence(context: Context, seconds: float) -> None:
    """Let them fall silent, then advance the time."""
    context.trial.silence_quarter()
    context.trial.deployment.world.run(seconds)
    context.seconds = seconds


@when(
    'every fourth upstream falls silent for {seconds:g} s, on {seeds:d} seeds'
)
def silence_on_seeds(context: Context, seconds: float, seeds: int) -> None:
    """Let them fall silent in as many deployments."""
    silence(context, seconds)
    trials = [context.trial]
    for _ in range(seeds - 1):
        context.seed += 1
        prepare(context, REPORTS, *context.numbers)
        silence(context, seconds)
        trials.append(context.trial)
    context.trials = trials


@when(
    'the store is {state} while every fourth upstream falls silent '
    'for {seconds:g} s',
)
def silence_without_store(context: Context, state: str, seconds: float) -> None:
    """Take the store from all nodes before; let it return in the middle."""
    world: PacketWorld = context.trial.deployment.world
    for node in world.nodes:
        node.receives_updates = False
        node.core.updater.mark_store_unavailable(world.timeline.now)
    world.run(0.5)
    context.trial.silence_quarter()
    world.run(0.3)
    if state == 'restored':
        for node in world.nodes:
            node.receives_updates = True
            node.core.updater.mark_store_available(world.timeline.now)
    world.run(seconds)


@when('every fourth upstream falls silent and all readers die 0.3 s later')
def lose_readers(context: Context) -> None:
    """Stop the reader of each domain; routers then use other nodes."""
    context.trial.silence_quarter()
    world: PacketWorld = context.trial.deployment.world
    world.run(0.3)
    for peer in context.trial.deployment.peers:
        peer.node.alive = not peer.exchange.is_reader
    world.run(2)


@when(
    'every fourth upstream falls silent and all readers are cut off '
    '0.3 s later',
)
def cut_readers(context: Context) -> None:
    """Lose what other nodes send to the readers."""
    context.trial.silence_quarter()
    world: PacketWorld = context.trial.deployment.world
    world.run(0.3)
    for peer in context.trial.deployment.peers:
        if peer.exchange.is_reader:
            host = peer.exchange.local_node.address.host
            del world.network.receivers[host, PEER_PORT]
    world.run(2)


@when('for {seconds:g} s {trouble}')
def make_trouble(context: Context, seconds: float, trouble: str) -> None:
    """Bring the trouble about and repeat its part of each tenth second."""
    context.trouble = TROUBLES[trouble](context.trial)
    for _ in range(round(seconds * 10)):
        context.trouble()
        context.trial.deployment.world.run(0.1)


def nothing() -> None:
    """Do nothing each tenth second."""


def slow_down(trial: SilenceTrial, step: int = 1) -> Callable[[], None]:
    """Let each `step`-th upstream take longer."""
    for upstream in list(trial.deployment.world.upstreams.values())[::step]:
        upstream.work_seconds *= SLOW_FACTOR
    return nothing


def lie(trial: SilenceTrial) -> Callable[[], None]:
    """Let a follower accuse all upstreams of its domain."""
    return lambda: trial.accuse(1)


def lose(trial: SilenceTrial, share: float) -> Callable[[], None]:
    """Lose a share of all datagrams."""
    world = trial.deployment.world
    world.network.loses = lambda: world.rng.random() < share
    return nothing


def slow_lie_lose(trial: SilenceTrial) -> Callable[[], None]:
    """Combine three troubles."""
    slow_down(trial, 3)
    lose(trial, 1 / 1000)
    return lie(trial)


def cut_nodes(
    trial: SilenceTrial, numbers: range, step: int = 1
) -> Callable[[], None]:
    """Cut nodes off from each `step`-th upstream."""
    world = trial.deployment.world
    for node in world.nodes[numbers.start : numbers.stop]:
        for upstream in list(world.upstreams.values())[::step]:
            pair = frozenset((node.address[0], upstream.address[0]))
            world.network.cuts.add(pair)
    return nothing


def lie_and_cut(trial: SilenceTrial) -> Callable[[], None]:
    """Cut one node off from half of all upstreams while another lies."""
    cut_nodes(trial, range(2, 3), 2)
    return lie(trial)


def cut_domain(trial: SilenceTrial) -> Callable[[], None]:
    """Take a domain out, so that its flows cross over; then cut its nodes."""
    trial.deployment.world.take_out('d0')
    trial.deployment.world.run(1)
    trial.deployment.cut('d0')
    return nothing


def client_hosts(world: PacketWorld) -> list[str]:
    """Return the addresses of all clients so far."""
    return sorted({format_ipv4(flow[0]) for flow in world.clients})


def deafen(trial: SilenceTrial) -> Callable[[], None]:
    """Cut a third of the clients off from all answers of upstreams."""
    world = trial.deployment.world
    for client in client_hosts(world)[::3]:
        for upstream in world.upstreams.values():
            world.network.cuts.add(frozenset((client, upstream.address[0])))
    return nothing


def mute(trial: SilenceTrial) -> Callable[[], None]:
    """Lose what a third of the clients sends to nodes, for 0.3 s of 0.6 s."""
    world = trial.deployment.world
    pairs = {
        frozenset((client, node.address[0]))
        for client in client_hosts(world)[::3]
        for node in world.nodes
    }
    steps = itertools.count()

    def toggle() -> None:
        if next(steps) % 6 < 3:
            world.network.cuts |= pairs
        else:
            world.network.cuts -= pairs

    return toggle


def pause(trial: SilenceTrial, numbers: range) -> Callable[[], None]:
    """Let nodes stand still and go on in turn."""
    nodes = trial.deployment.world.nodes[numbers.start : numbers.stop]
    steps = itertools.count()
    period = round(PAUSE_SECONDS * 10)

    def toggle() -> None:
        step = next(steps)
        for node in nodes:
            if step % (period + 2) == 0:
                node.is_paused = True
            elif step % (period + 2) == period:
                node.resume()

    return toggle


def pause_reader_and_lie(trial: SilenceTrial) -> Callable[[], None]:
    """Let the first domain's reader stand still while a follower lies."""
    toggle = pause(trial, range(1))

    def step() -> None:
        toggle()
        trial.accuse(1)

    return step


TROUBLES: dict[str, Callable[[SilenceTrial], Callable[[], None]]] = {
    'all upstreams take 8 times as long': slow_down,
    'a third of the upstreams takes 8 times as long': (
        lambda trial: slow_down(trial, 3)
    ),
    'a third is slow, a node lies and packets are lost': slow_lie_lose,
    'a node lies and another is cut off from half of all': lie_and_cut,
    'a node is cut off from all upstreams': (
        lambda trial: cut_nodes(trial, range(1, 2))
    ),
    'four nodes are cut off from all upstreams': (
        lambda trial: cut_nodes(trial, range(1, 5))
    ),
    'four nodes are cut off from the same upstreams': (
        lambda trial: cut_nodes(trial, range(1, 5), 4)
    ),
    'a domain that is taken out is cut off from all others': cut_domain,
    'a third of the clients hears nothing': deafen,
    'a third of the clients reaches no node half of the time': mute,
    'four nodes pause each 0.9 s': lambda trial: pause(trial, range(1, 5)),
    'all nodes pause each 0.9 s': lambda trial: pause(trial, range(66)),
    'one of 100 packets is lost': lambda trial: lose(trial, 1 / 100),
    'the reader pauses each 0.9 s while a node lies': pause_reader_and_lie,
}


@then(
    'at least {least:g} of the requests under way there are ended '
    'within {seconds:g} s',
)
def check_ended(context: Context, least: float, seconds: float) -> None:
    """Check the share of those that were sent before."""
    ended = [one for trial in context.trials for one in trial.ended_by(seconds)]
    share = sum(ended) / len(ended)
    assert share >= least, (share, len(ended))


@then(
    'at most {most:g} of the requests under way there are ended '
    'within {seconds:g} s',
)
def check_not_ended(context: Context, most: float, seconds: float) -> None:
    """Check the share of those that were sent before."""
    ended = context.trial.ended_by(seconds)
    assert sum(ended) / len(ended) <= most, (sum(ended), len(ended))


@then('no flow on another upstream is ended for silence')
def check_living(context: Context) -> None:
    """Check the decisions of all nodes."""
    living = [trial.ended_living() for trial in context.trials]
    assert not any(living), living


@then('nodes sent at most {most:d} bytes a second each on average')
def check_traffic(context: Context, most: int) -> None:
    """Check all that nodes sent each other, observations included."""
    sent = [peer.sent_bytes for peer in context.trial.deployment.peers]
    assert 0 < sum(sent) / len(sent) / context.seconds <= most, sum(sent)


@then('no node has sent a report of silence')
def check_no_reports(context: Context) -> None:
    """Check that nodes without the feature hold none of its state."""
    for peer in context.trial.deployment.peers:
        assert peer.silence is None
        assert peer.node.core.silence is None


def count_decisions(
    context: Context, features: frozenset[Feature]
) -> Counter[str]:
    """Return the counts of all nodes without an exchange of reports."""
    prepare(context, features, 3, 6, 8, 240)
    deployment: OutageDeployment = context.trial.deployment
    for node in deployment.world.nodes:
        if node.core.silence is not None:
            node.core.silence.on_report = lambda _report: None
    silence(context, 3)
    counts: Counter[str] = Counter()
    for node in deployment.world.nodes:
        counts.update(node.core.counts)
    return counts


@given('the counts of a deployment without reports of silence')
def count_without(context: Context) -> None:
    """Run it without the feature."""
    context.counts = count_decisions(context, NO_FEATURES)


@when('the same deployment runs with reports that nobody exchanges')
def count_with(context: Context) -> None:
    """Run it with the feature, on the same seed and names."""
    context.other_counts = count_decisions(context, REPORTS)


@then('both have decided the same')
def compare_counts(context: Context) -> None:
    """Compare all counts by reason."""
    assert context.counts == context.other_counts
    assert context.counts['flow-silent'] + context.counts['upstream-dark']


def make_record(number: int) -> UpstreamRecord:
    """Return the record of a ready upstream."""
    return UpstreamRecord(
        name=f'i-{number:010x}',
        tag=number,
        host='10.2.0.1',
        port=number,
        service='ledger',
        domain='d0',
        slots=2,
        state=UpstreamState.READY,
        cold_seconds=0,
        started_at=0,
    )


def make_report(echo: int, evidence: Evidence, client: int) -> SilenceReport:
    """Return a report of evidence half a second before NOW."""
    return SilenceReport(
        echo=echo, evidence=evidence, client=client, at=NOW - 0.5
    )


@given('reports of {reporters:d} nodes of {evidence} for one upstream')
def judge_reports(context: Context, reporters: int, evidence: str) -> None:
    """Judge reports of an upstream, then again after the time to defend it."""
    upstreams = UpstreamRegistry()
    for number in range(1, 7):
        upstreams.register(make_record(number), NOW - 10)
    judge = SilenceJudge(upstreams=upstreams)
    now = NOW + 5 if 'long ago' in evidence else NOW
    kinds = kinds_of(evidence)
    echoes = range(1, 6) if 'most others' in evidence else (1,)
    notices = [
        notice
        for echo in reversed(echoes)
        for reporter in range(reporters)
        for kind in kinds
        for notice in judge.add(
            make_report(
                echo, kind, 0 if 'one client' in evidence else reporter
            ),
            reporter,
            now,
        )
    ]
    if 'with an answer' in evidence:
        answer = SilenceReport(echo=1, evidence=Evidence.ANSWERED, at=NOW)
        notices.extend(judge.add(answer, reporters, now))
    notices.extend(judge.decide_waiting(now + 0.1))
    context.confirmed = [
        notice.echo for notice in notices if notice.is_confirmed
    ]


def kinds_of(evidence: str) -> list[Evidence]:
    """Return the evidence that a phrase names."""
    kinds: list[Evidence] = []
    if 'opening' in evidence:
        kinds.append(Evidence.OPENING_REPEATED)
    if 'once' in evidence:
        kinds.append(Evidence.DATA_REPEATED)
    if 'twice' in evidence:
        kinds.append(Evidence.DATA_REPEATED_TWICE)
    return kinds


@then('it is silent')
def check_silent(context: Context) -> None:
    """Check that the nodes are told."""
    assert context.confirmed == [1], context.confirmed


@then('it is not silent')
def check_not_silent(context: Context) -> None:
    """Check that no node is told so of any upstream."""
    assert not context.confirmed, context.confirmed


def make_packet(seq: int, ack: int, length: int) -> Packet:
    """Return a packet of the client of the scenario's flow."""
    head = HEADER.pack(length, 1, seq, ack, 7, ROUTE_PORT, 8, 9, 0, ACK)
    packet = read_packet(head + bytes(length))
    assert packet is not None
    return packet


@given('a node that forwarded a request 5 s ago')
def forward_request(context: Context) -> None:
    """Track a flow with one request."""
    upstreams = UpstreamRegistry()
    upstreams.register(make_record(1), NOW - 10)
    context.detector = SilenceDetector(upstreams=upstreams)
    context.reported = []
    context.detector.on_report = context.reported.append
    context.flow_table = FlowTable(silence=context.detector)
    request = make_packet(seq=100, ack=500, length=10)
    flow = context.flow_table.start(request.flow, upstreams.by_echo[1], NOW - 6)
    flow.open = True
    flow.ack = 500
    context.flow_table.observe(request, flow, NOW - 5)


@when('its client acknowledges the answer now {how}')
def acknowledge(context: Context, how: str) -> None:
    """Handle the next packet of the client."""
    length = 10 if 'request' in how else 0
    packet = make_packet(seq=110, ack=600, length=length)
    flow = context.flow_table.find(packet.flow)
    context.flow_table.observe(packet, flow, NOW)


@then('the node denies a silence since 1 s {times:d} times')
def check_denials(context: Context, times: int) -> None:
    """Ask the node for answers of the upstream."""
    context.detector.handle_notice(
        SilenceNotice(echo=1, at=NOW - 1, is_confirmed=False)
    )
    assert len(context.reported) == times, context.reported
