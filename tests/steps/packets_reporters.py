"""Steps in which nodes report what other nodes do not see."""

import json
import tempfile
from contextlib import ExitStack
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from packets_outages import deployment_of, first

from burdocksill.observe.early import early_lines
from burdocksill.observe.writer import LineWriter
from burdocksill.packets.header import Packet, parse_ipv4
from burdocksill.packets.messages import UpstreamRecord, UpstreamState
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.readers.messages import Observation
from burdocksill_lab.packets.load import ADDRESSES
from burdocksill_lab.packets.network import AheadTimeline
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.sharing import ObservationPeer
from burdocksill_lab.packets.upstream import LabUpstream

DOMAIN = 'd0'
STEP_SECONDS = 0.1
AHEAD_SECONDS = 3600.0
LIAR = 7
# Nodes of the first domain; its reader reports rightly.
WRONG = {
    'a node that lies': 1,
    'a node that is cut off': 2,
    'a clock that is ahead': 3,
}


def peers_at_home(context: Context) -> list[ObservationPeer]:
    """Return the nodes of the first domain, its reader first."""
    return [
        peer
        for peer in deployment_of(context).peers
        if peer.node.domain == DOMAIN
    ]


def wrong_peer(context: Context, wrong: str) -> ObservationPeer:
    """Return the node that reports wrongly in one way."""
    peers = peers_at_home(context)
    return peers[min(WRONG[wrong], len(peers) - 1)]


def claim(liar: ObservationPeer, context: Context) -> None:
    """Let a node report that three upstreams missed an opening."""
    now = liar.exchange.clock()
    liar.claim(
        [
            Observation(
                echo=one.tag & 0xFFFFFFFF, answered=False, at=now, reporter=1
            )
            for one in first(context)[:3]
        ],
    )


def cut_off(peer: ObservationPeer, deployment: OutageDeployment) -> None:
    """Drop what a node sends to upstreams."""
    for one in deployment.world.upstreams.values():
        pair = frozenset((peer.node.address[0], one.address[0]))
        deployment.world.network.cuts.add(pair)


def put_ahead(peer: ObservationPeer) -> None:
    """Move a node's steady clock."""
    node = peer.node
    ahead = AheadTimeline(
        timeline=node.timeline,
        ahead_seconds=AHEAD_SECONDS,
    )
    node.timeline = ahead
    node.core.store_cache.clock = lambda: ahead.now
    peer.exchange.clock = lambda: ahead.now


@when(
    'for {seconds:d} seconds one of {many:d} packets is lost, beside {wrongs}',
)
def report_wrongly(
    context: Context,
    seconds: int,
    many: int,
    wrongs: str,
) -> None:
    """Play loss and wrong reports, and look at all other nodes."""
    deployment = deployment_of(context)
    world = deployment.world
    context.wrong = {
        wrong: wrong_peer(context, wrong) for wrong in wrongs.split(', ')
    }
    if 'a node that is cut off' in context.wrong:
        cut_off(context.wrong['a node that is cut off'], deployment)
    if 'a clock that is ahead' in context.wrong:
        put_ahead(context.wrong['a clock that is ahead'])
    world.network.loses = lambda: world.rng.random() < 1 / many
    note_openings(context)
    context.looks = []
    for step in range(round(seconds / STEP_SECONDS)):
        if 'a node that lies' in context.wrong and step % 10 == 0:
            claim(context.wrong['a node that lies'], context)
        world.run(STEP_SECONDS)
        context.looks.extend(
            any(outages_of(peer).suspected_domains(world.timeline.now))
            for peer in honest(context)
        )


def note_openings(context: Context) -> None:
    """Open a flow for each call, and keep the domain that it reaches."""
    deployment = deployment_of(context)
    for one in deployment.callers:
        one.most_idle = 0
    home = parse_ipv4(f'100.65.{sum(DOMAIN.encode()) % ADDRESSES}.0')
    context.opened = []

    def note(upstream: LabUpstream, packet: Packet) -> None:
        if packet.client >> 8 == home >> 8:
            context.opened.append(upstream.domain)

    for upstream in deployment.world.upstreams.values():
        upstream.on_open = note


def outages_of(peer: ObservationPeer) -> DomainOutageDetector:
    """Return what a node concludes from missed openings."""
    return peer.node.core.updater.placer.outages


def honest(context: Context) -> list[ObservationPeer]:
    """Return the nodes of the first domain that report rightly."""
    wrong = [id(peer) for peer in context.wrong.values()]
    return [peer for peer in peers_at_home(context) if id(peer) not in wrong]


@then('no other node suspects a domain for more than {most:f} of the time')
def check_looks(context: Context, most: float) -> None:
    """Compare the looks that met a suspicion with all."""
    assert context.looks
    share = sum(context.looks) / len(context.looks)
    assert share <= most, share


@then('at least {least:f} of the flows of its callers are opened at home')
def check_home(context: Context, least: float) -> None:
    """Count where callers of the first domain were taken."""
    assert context.opened
    share = context.opened.count(DOMAIN) / len(context.opened)
    assert share >= least, share


@given('the signs of {count:d} upstreams of a domain that all answer')
def make_signs(context: Context, count: int) -> None:
    """Prepare a node's view of a domain, without a network."""
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
    """Tell this node that another one missed an opening."""
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
    """Let one node speak of some upstreams."""
    for known in context.known[:count]:
        report(context, known, LIAR)


@when('this node misses an opening of a fourth')
def miss_fourth(context: Context) -> None:
    """Miss an opening of another upstream."""
    context.outages.record_missed(context.known[3], context.now)


@when('this node misses openings of {count:d} of them')
def miss_some(context: Context, count: int) -> None:
    """Miss openings."""
    for known in context.known[:count]:
        context.outages.record_missed(known, context.now)


@when(
    'all answer each {gap:f} s while a node reports a missed opening '
    'each second, for {seconds:d} s',
)
def answer_beside_lies(context: Context, gap: float, seconds: int) -> None:
    """Let all upstreams answer, and one node lie."""
    context.looks = []
    for step in range(round(seconds / gap)):
        context.now += gap
        if step % round(1 / gap) == 0:
            report(context, context.known[0], LIAR)
        for known in context.known:
            known.health.record_answer(context.now)
            context.outages.record_answered(known, context.now)
        context.looks.append(
            context.outages.is_domain_suspected(DOMAIN, context.now)
        )


@when('nothing more is heard for {seconds:d} s')
def wait(context: Context, seconds: int) -> None:
    """Let time pass, with the node's upkeep each second."""
    for _ in range(seconds):
        context.now += 1
        context.outages.expire_suspicions(context.now)


@then('the domain is suspected')
def check_suspected(context: Context) -> None:
    """Ask the node."""
    assert context.outages.is_domain_suspected(DOMAIN, context.now)


@then('the domain is not suspected')
def check_trusted(context: Context) -> None:
    """Ask the node."""
    assert not context.outages.is_domain_suspected(DOMAIN, context.now)


@then('the domain is suspected in at most {most:d} of {steps:d} steps')
def check_steps(context: Context, most: int, steps: int) -> None:
    """Count the steps."""
    assert len(context.looks) == steps, len(context.looks)
    assert sum(context.looks) <= most, sum(context.looks)


@then('lines tell that it was suspected and that it is trusted again')
def check_told(context: Context) -> None:
    """Look for both lines, in their order."""
    context.kept.seek(0)
    lines = [json.loads(line) for line in context.kept]
    told = [line['message'] for line in lines if line['domain'] == DOMAIN]
    assert told == ['domain suspected', 'domain trusted'], told
