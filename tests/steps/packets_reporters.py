"""Steps in which nodes share observations, some of them false."""

import json
import tempfile
from contextlib import ExitStack
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from packets_outages import deployment_of, first_upstreams

from burdocksill.observe.early import early_lines
from burdocksill.observe.writer import LineWriter
from burdocksill.packets.messages import UpstreamRecord, UpstreamState
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.readers.messages import Observation
from burdocksill_lab.packets.network import AheadTimeline
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.sharing import ObservationPeer

DOMAIN = 'd0'
STEP_SECONDS = 0.1
AHEAD_SECONDS = 3600.0
FAULTY_REPORTER = 7
# Positions of the faulty nodes in the first domain; its reader is correct.
FAULTY_POSITIONS = {
    'a node with false reports': 1,
    'a partitioned node': 2,
    'a node whose clock is ahead': 3,
}


def local_peers(context: Context) -> list[ObservationPeer]:
    """Return the nodes of the first domain, its reader first."""
    return [
        peer
        for peer in deployment_of(context).peers
        if peer.node.domain == DOMAIN
    ]


def faulty_peer(context: Context, fault: str) -> ObservationPeer:
    """Return the node with one kind of fault."""
    peers = local_peers(context)
    return peers[min(FAULTY_POSITIONS[fault], len(peers) - 1)]


def send_false_reports(peer: ObservationPeer, context: Context) -> None:
    """Send false reports about three upstreams."""
    now = peer.exchange.clock()
    peer.send_forged(
        [
            Observation(
                echo=one.tag & 0xFFFFFFFF, answered=False, at=now, reporter=1
            )
            for one in first_upstreams(context)[:3]
        ],
    )


def partition_peer(peer: ObservationPeer, deployment: OutageDeployment) -> None:
    """Drop the packets of a node to all upstreams."""
    for one in deployment.world.upstreams.values():
        pair = frozenset((peer.node.address[0], one.address[0]))
        deployment.world.network.cuts.add(pair)


def set_clock_ahead(peer: ObservationPeer) -> None:
    """Set a node's monotonic clock ahead."""
    node = peer.node
    ahead = AheadTimeline(
        timeline=node.timeline,
        ahead_seconds=AHEAD_SECONDS,
    )
    node.timeline = ahead
    node.core.store_cache.clock = lambda: ahead.now
    peer.exchange.clock = lambda: ahead.now


@when(
    'for {seconds:d} seconds one of {many:d} packets is lost, with {faults}',
)
def run_with_faults(
    context: Context,
    seconds: int,
    many: int,
    faults: str,
) -> None:
    """Run with loss and faulty nodes, and sample the suspicions of others."""
    deployment = deployment_of(context)
    world = deployment.world
    context.faulty = {
        fault: faulty_peer(context, fault) for fault in faults.split(', ')
    }
    if 'a partitioned node' in context.faulty:
        partition_peer(context.faulty['a partitioned node'], deployment)
    if 'a node whose clock is ahead' in context.faulty:
        set_clock_ahead(context.faulty['a node whose clock is ahead'])
    world.network.loses = lambda: world.rng.random() < 1 / many
    record_openings(context)
    context.samples = []
    for step in range(round(seconds / STEP_SECONDS)):
        if 'a node with false reports' in context.faulty and step % 10 == 0:
            send_false_reports(
                context.faulty['a node with false reports'],
                context,
            )
        world.run(STEP_SECONDS)
        context.samples.extend(
            any(outages_of(peer).suspected_domains(world.timeline.now))
            for peer in correct_peers(context)
        )


def record_openings(context: Context) -> None:
    """Open a flow for each call from now on."""
    deployment = deployment_of(context)
    for one in deployment.callers:
        one.max_idle = 0
    context.recorded_at = deployment.world.timeline.now


def outages_of(peer: ObservationPeer) -> DomainOutageDetector:
    """Return the outage detector of a node."""
    return peer.node.core.updater.placer.outages


def correct_peers(context: Context) -> list[ObservationPeer]:
    """Return the nodes of the first domain without a fault."""
    faulty = [id(peer) for peer in context.faulty.values()]
    return [peer for peer in local_peers(context) if id(peer) not in faulty]


@then('no other node suspects a domain for more than {most:f} of the time')
def check_suspicions(context: Context, most: float) -> None:
    """Check the share of the samples with a suspicion."""
    assert context.samples
    share = sum(context.samples) / len(context.samples)
    assert share <= most, share


@then(
    'at least {least:f} of the flows of its callers '
    'are opened in their own domain',
)
def check_home(context: Context, least: float) -> None:
    """Check the domains of the upstreams that flows were opened on."""
    opened = context.deployment.home_flows(DOMAIN, context.recorded_at)
    assert opened
    share = sum(opened) / len(opened)
    assert share >= least, share


@given('observations of {count:d} upstreams of a domain that all answer')
def make_detector(context: Context, count: int) -> None:
    """Create an outage detector and the upstreams of a domain."""
    upstreams = UpstreamRegistry()
    for number in range(1, count + 1):
        upstreams.register(
            UpstreamRecord(
                name=f'i-{number:010x}',
                tag=number,
                host=f'10.2.0.{number}',
                port=80,
                service='ledger',
                domain=DOMAIN,
                slots=2,
                state=UpstreamState.READY,
                started_at=1,
                cold_seconds=0,
            ),
            0,
        )
    context.known = list(upstreams.by_name.values())
    context.outages = DomainOutageDetector(upstreams)
    context.now = 100.0
    stack = ExitStack()
    context.add_cleanup(stack.close)
    context.kept = stack.enter_context(tempfile.TemporaryFile())  # noqa: SIM115
    writer = LineWriter(node='one', descriptor=context.kept.fileno())
    stack.enter_context(mock.patch.object(early_lines, 'writer', writer))


def report(context: Context, known: KnownUpstream, reporter: int) -> None:
    """Merge another node's observation of a missed opening."""
    context.outages.merge(
        Observation(
            echo=known.echo,
            answered=False,
            at=context.now,
            reporter=reporter,
        ),
        context.now,
    )


@when('a node reports that {count:d} of them missed an opening')
def report_some(context: Context, count: int) -> None:
    """Report missed openings of some upstreams by one node."""
    for known in context.known[:count]:
        report(context, known, FAULTY_REPORTER)


@when('this node misses an opening of a fourth')
def miss_fourth(context: Context) -> None:
    """Record a missed opening of another upstream."""
    context.outages.record_missed(context.known[3], context.now)


@when('this node misses openings of {count:d} of them')
def miss_some(context: Context, count: int) -> None:
    """Record missed openings of this node."""
    for known in context.known[:count]:
        context.outages.record_missed(known, context.now)


@when('one of the others answers')
def answer_one(context: Context) -> None:
    """Record an answer of the last upstream."""
    context.now += STEP_SECONDS
    known = context.known[-1]
    known.health.record_answer(context.now)
    context.outages.record_answered(known, context.now)


@when(
    'this node misses an opening whenever it may test the domain, '
    'for {seconds:d} s',
)
def miss_all_tests(context: Context, seconds: int) -> None:
    """Miss an opening in each step in which the domain is not avoided."""
    context.missed = 0
    for _ in range(round(seconds / STEP_SECONDS)):
        context.now += STEP_SECONDS
        if not context.outages.is_domain_avoided(DOMAIN, context.now):
            context.outages.record_missed(context.known[0], context.now)
            context.missed += 1


@then('it misses at most {most:d} openings')
def check_missed(context: Context, most: int) -> None:
    """Check the number of missed openings."""
    assert 0 < context.missed <= most, context.missed


@then('new flows avoid {count:d} of them')
def check_avoided(context: Context, count: int) -> None:
    """Check how many upstreams new flows avoid."""
    avoided = sum(
        context.outages.is_upstream_suspected(known, context.now)
        for known in context.known
    )
    assert avoided == count, avoided


@when(
    'all answer each {gap:f} s while a node reports a missed opening '
    'each second, for {seconds:d} s',
)
def answer_with_false_reports(
    context: Context,
    gap: float,
    seconds: int,
) -> None:
    """Record answers of all upstreams and false reports of one node."""
    context.samples = []
    for step in range(round(seconds / gap)):
        context.now += gap
        if step % round(1 / gap) == 0:
            report(context, context.known[0], FAULTY_REPORTER)
        for known in context.known:
            known.health.record_answer(context.now)
            context.outages.record_answered(known, context.now)
        context.samples.append(
            context.outages.is_domain_suspected(DOMAIN, context.now)
        )


@when('nothing more is observed for {seconds:d} s')
def wait(context: Context, seconds: int) -> None:
    """Advance the time, with the periodic expiry each second."""
    for _ in range(seconds):
        context.now += 1
        context.outages.expire_suspicions(context.now)


@then('the domain is suspected')
def check_suspected(context: Context) -> None:
    """Check the detector of this node."""
    assert context.outages.is_domain_suspected(DOMAIN, context.now)


@then('the domain is not suspected')
def check_trusted(context: Context) -> None:
    """Check the detector of this node."""
    assert not context.outages.is_domain_suspected(DOMAIN, context.now)


@then('the domain is suspected in at most {most:d} of {steps:d} steps')
def check_steps(context: Context, most: int, steps: int) -> None:
    """Check the number of steps with a suspicion."""
    assert len(context.samples) == steps, len(context.samples)
    assert sum(context.samples) <= most, sum(context.samples)


@then('log lines show that it was suspected and is trusted again')
def check_messages(context: Context) -> None:
    """Check for both log lines, in this order."""
    context.kept.seek(0)
    lines = [json.loads(line) for line in context.kept]
    messages = [line['message'] for line in lines if line['domain'] == DOMAIN]
    assert messages == ['domain suspected', 'domain trusted'], messages
