"""Steps that count what the placing of new flows takes."""

from collections import Counter
from unittest import mock

from behave import then, when
from behave.runner import Context
from packets_world import node_of, open_flows, world_of

from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.upstreams import UpstreamRegistry


@when('{count:d} new flows in "{domain}" are placed')
def place(context: Context, count: int, domain: str) -> None:
    """Open flows, and count the upstreams that are looked at."""
    looks = 0
    look = UpstreamRegistry.presence

    def count_look(self: UpstreamRegistry, *given: object) -> object:
        nonlocal looks
        looks += 1
        return look(self, *given)  # type: ignore[arg-type]

    with mock.patch.object(UpstreamRegistry, 'presence', count_look):
        for _ in range(count):
            open_flows(context, 1, domain)
            world_of(context).timeline.run(0.01)
    context.looks = looks / count
    placer: PacketPlacer = node_of(context, domain).core.updater.placer
    context.placed = Counter(
        {
            one.record.name: one.flows
            for one in placer.upstreams.by_name.values()
        },
    )


@then('each looked at {most:d} upstreams at most')
def check_looks(context: Context, most: int) -> None:
    """Compare the mean; each upstream is looked at twice."""
    assert context.looks <= 2 * most, context.looks


@then('no upstream got more than {most:d} of them')
def check_spread(context: Context, most: int) -> None:
    """Look at the busiest."""
    assert sum(context.placed.values()) >= 50, context.placed.total()
    busiest = context.placed.most_common(1)[0]
    assert busiest[1] <= most, busiest
