"""Steps about the bytes of packets."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from burdocksill.packets.flows import FlowTable
from burdocksill.packets.header import HEADER, build_reset, read_packet
from burdocksill.packets.verdicts import Reason
from tests.steps.packets_world import node_of, world_of

EXAMPLE = bytes.fromhex(
    '00 00 00 00 00 00 11 22 33 44 00 00 00 00 64 40 00 07 01 bb 9c 41'
    'c6 12 00 01 a1 b2 c3 d5 80',
)
RESET = bytes.fromhex(
    '00 00 00 00 00 00 00 00 00 00 00 00 00 00 c6 12 00 01 9c 41 01 bb'
    '64 40 00 07 00 00 00 00 04',
)


@given('the opening packet of the published example')
def read_example(context: Context) -> None:
    """Parse the example."""
    context.packet = read_packet(EXAMPLE)


@then('it opens a flow of 100.64.0.7:40001 to 198.18.0.1:443')
def check_example(context: Context) -> None:
    """Compare the parsed fields."""
    packet = context.packet
    assert packet.is_syn
    assert packet.seq == 0x11223344
    assert packet.flow == (0x64400007, 40001, 0xC6120001, 443)
    assert packet.checksum == 0xA1B2C3D5


@then('the reset of its flow is the published one')
def check_reset(context: Context) -> None:
    """Compare the bytes of the reset."""
    assert build_reset(context.packet.flow, context.packet.ack) == RESET


def datagrams() -> st.SearchStrategy[bytes]:
    """Return random datagrams and modified openings."""
    opening = HEADER.pack(0, 0, 1, 0, 7, 8443, 1025, 0xC6120001, 1, 128)

    def tamper(changes: list[tuple[int, int]]) -> bytes:
        changed = bytearray(opening)
        for place, value in changes:
            changed[place] = value
        return bytes(changed)

    places = st.tuples(st.integers(0, HEADER.size - 1), st.integers(0, 255))
    tampered = st.lists(places, max_size=4).map(tamper)
    longer = st.builds(bytes.__add__, tampered, st.binary(max_size=1300))
    cut = st.builds(lambda one, end: one[:end], tampered, st.integers(0, 31))
    return st.one_of(st.binary(max_size=1400), tampered, longer, cut)


@when('{count:d} random datagrams reach the node')
def fuzz(context: Context, count: int) -> None:
    """Get the node's verdicts on random datagrams."""
    world = world_of(context)
    node = node_of(context, 'a')
    context.verdicts = []

    @seed(context.seed)
    @settings(
        max_examples=count,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @drawn(datagrams())
    def one(payload: bytes) -> None:
        forwarder = node.core.forwarder
        context.verdicts.append(forwarder.decide(payload, world.timeline.now))
        world.timeline.run(0.01)

    one()


@then('each was dropped, forwarded or reset')
def check_verdicts(context: Context) -> None:
    """Check that both malformed packets and openings are among them."""
    reasons = {verdict.reason for verdict in context.verdicts}
    assert Reason.MALFORMED in reasons
    assert Reason.OPENED in reasons, reasons


@then('the node holds at most {count:d} flows')
def check_growth(context: Context, count: int) -> None:
    """Check the size of the node's tables."""
    forwarder = node_of(context, 'a').core.forwarder
    assert len(forwarder.flows.flows) <= count, len(forwarder.flows.flows)
    assert len(forwarder.unknown_echoes) <= 1024


@given('a flow table with room for {count:d} flows')
def limit_flows(context: Context, count: int) -> None:
    """Replace the node's flow table by a small one."""
    node_of(context, 'a').core.forwarder.flows = FlowTable(limit=count)


@when('a packet with the flags {flags:d} reaches the node')
def forge(context: Context, flags: int) -> None:
    """Send a packet with some flags to the node."""
    world = world_of(context)
    payload = HEADER.pack(0, 0, 1, 5, 7, 8443, 1025, 0xC6120001, 1, flags)
    node_of(context, 'a').core.handle(payload, world.timeline.now)


@then('it was counted as "{reason}"')
def check_counted(context: Context, reason: str) -> None:
    """Compare the counters."""
    counts = node_of(context, 'a').core.counts
    assert counts == {reason: 1}, counts
