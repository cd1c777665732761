"""Steps that count the upstreams checked by the placement of a flow."""

from collections import Counter
from unittest import mock

from behave import then, when
from behave.runner import Context
from packets_world import node_of, open_flows, world_of

from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.upstreams import UpstreamRegistry


@when('{count:d} new flows in "{domain}" are placed')
def place_flows(context: Context, count: int, domain: str) -> None:
    """Open flows, and count the upstreams that are checked."""
    checks = 0
    original = UpstreamRegistry.registration_state

    def count_check(self: UpstreamRegistry, *given: object) -> object:
        nonlocal checks
        checks += 1
        return original(self, *given)  # type: ignore[arg-type]

    with mock.patch.object(UpstreamRegistry, 'registration_state', count_check):
        for _ in range(count):
            open_flows(context, 1, domain)
            world_of(context).timeline.run(0.01)
    context.checks = checks / count
    placer: PacketPlacer = node_of(context, domain).core.updater.placer
    context.placed = Counter(
        {
            one.record.name: one.flows
            for one in placer.upstreams.by_name.values()
        },
    )


@then('each checked {most:d} upstreams at most')
def check_count(context: Context, most: int) -> None:
    """Check the mean; each upstream is checked twice."""
    assert context.checks <= 2 * most, context.checks


@then('no upstream got more than {most:d} of them')
def check_spread(context: Context, most: int) -> None:
    """Check the upstream with the most flows."""
    assert sum(context.placed.values()) >= 50, context.placed.total()
    busiest = context.placed.most_common(1)[0]
    assert busiest[1] <= most, busiest
