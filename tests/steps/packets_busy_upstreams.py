"""Steps in which long requests occupy the slots of a living upstream."""

from behave import given, then, when
from behave.runner import Context
from packets_moved_flows import DOMAIN, flows_at
from packets_world import upstreams_of, world_of

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.flows import TrackedFlow
from burdocksill.packets.messages import UpstreamRecord, UpstreamState
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill.packets.verdicts import Reason

NOW = 100.0


@when('all its slots work {seconds:f} seconds on requests of other nodes')
def occupy_slots(context: Context, seconds: float) -> None:
    """Start a long request in each slot; later ones take the usual time."""
    upstream = upstreams_of(context, DOMAIN)[0]
    usual = upstream.work_seconds
    upstream.work_seconds = seconds
    for flow in flows_at(context, before=False)[: upstream.slots]:
        flow.deadline = 4.0
        flow.request()
    world_of(context).timeline.run(0.01)
    assert upstream.running == upstream.slots
    upstream.work_seconds = usual


@when('{count:d} flows of the first node send a request, {gap:f} seconds apart')
def send_some(context: Context, count: int, gap: float) -> None:
    """Send on flows of the first node of three."""
    for flow in flows_at(context, before=True)[:count]:
        flow.deadline = 4.0
        flow.request()
        world_of(context).timeline.run(gap)


@when('a client of the first node that hears nothing sends a request')
def send_deaf(context: Context) -> None:
    """Send on a flow whose client receives no packet."""
    context.deaf = flows_at(context, before=True)[-1]
    world_of(context).clients.pop(context.deaf.key)
    context.deaf.deadline = 4.0
    context.deaf.request()


@then('only the flow of that client was ended by a node, if any')
def check_deaf_only(context: Context) -> None:
    """Check all other flows."""
    ended = [flow for flow in context.flows if flow.system_reset]
    assert ended in ([], [context.deaf]), len(ended)


@then('the first node has sent {count:d} probes')
def check_probes(context: Context, count: int) -> None:
    """Compare with the packet counts."""
    counts = world_of(context).nodes[0].core.counts
    assert counts[Reason.PROBED.value] == count, counts


@given('a flow whose request was sent {seconds:f} seconds ago')
def make_waiting_flow(context: Context, seconds: float) -> None:
    """Track a flow with an unanswered request."""
    record = UpstreamRecord(
        name='i-1',
        tag=1,
        service='ledger',
        host='127.0.0.1',
        port=1,
        domain=DOMAIN,
        slots=2,
        state=UpstreamState.READY,
    )
    upstream = KnownUpstream(
        record=record,
        echo=1,
        first_seen_at=0,
        limiter=ConcurrencyLimiter(),
    )
    context.flow = TrackedFlow(upstream=upstream, last_seen_at=NOW)
    context.flow.sent_at = NOW - seconds


@when('its node sent a probe {seconds:f} seconds after it')
def send_probe(context: Context, seconds: float) -> None:
    """Record the time of a probe."""
    context.flow.probed_at = context.flow.sent_at + seconds


@when('answers usually take {seconds:f} seconds')
def set_usual(context: Context, seconds: float) -> None:
    """Set the usual answer time."""
    context.flow.upstream.health.answer_seconds = seconds


@then('its retransmission now {result}')
def check_certain(context: Context, result: str) -> None:
    """Check whether the probe would have been acknowledged."""
    expected = {'is certain': True, 'is not certain': False}[result]
    assert context.flow.is_probed(NOW) is expected
