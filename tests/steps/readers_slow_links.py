"""Steps about nodes with slow links."""

from behave import given, then, when
from behave.runner import Context
from reading_script import (
    add_check,
    add_step,
    put_upstream,
)

from burdocksill.packets.messages import UpstreamState
from burdocksill_lab.fakes.links import SlowLink
from burdocksill_lab.packets.fleet import SharedFleet

MEGABIT_BYTES = 125_000
LEAVING = 3
# Duration of an operator's write of such a manifest, in seconds.
WRITE_SECONDS = 0.9


def limit_links(fleet: SharedFleet, megabits: int, *, readers: bool) -> None:
    """Limit the bandwidth of nodes' links."""
    for node in fleet.living():
        if readers or not node.is_reader:
            rate = megabits * MEGABIT_BYTES
            link = SlowLink(bytes_per_second=rate)
            fleet.network.links[node.host] = link


@given('links of {megabits:d} Mbit/s for all nodes but the readers')
def limit_followers(context: Context, megabits: int) -> None:
    """Limit the links of all nodes but the readers."""

    async def step(fleet: SharedFleet) -> None:
        limit_links(fleet, megabits, readers=False)

    add_step(context, step)


@given('links of {megabits:d} Mbit/s for all nodes')
def limit_all(context: Context, megabits: int) -> None:
    """Limit the links of all nodes."""

    async def step(fleet: SharedFleet) -> None:
        limit_links(fleet, megabits, readers=True)

    add_step(context, step)


@when('a manifest of {routes:d} routes is written {times:d} times')
def write_again(context: Context, routes: int, times: int) -> None:
    """Write versions of a large manifest, one after the other."""

    write_series(context, routes, times, WRITE_SECONDS)


@when(
    'a manifest of {routes:d} routes is written, '
    'and again {seconds:f} seconds later',
)
def write_soon_again(context: Context, routes: int, seconds: float) -> None:
    """Write another version while nodes read the previous one."""
    write_series(context, routes, 2, seconds)


@when(
    'manifests of {routes:d} routes are written {times:d} times, '
    'one each {seconds:f} seconds',
)
def write_series(
    context: Context,
    routes: int,
    times: int,
    seconds: float,
) -> None:
    """Write versions of a large manifest in a row."""

    async def step(fleet: SharedFleet) -> None:
        fleet.put_version(routes)
        for _ in range(times - 1):
            await fleet.run(seconds)
            fleet.put_version(routes)

    add_step(context, step)


@when('an upstream starts to leave')
def leave(context: Context) -> None:
    """Let an upstream announce its leave."""

    async def step(fleet: SharedFleet) -> None:
        put_upstream(fleet, LEAVING, state='draining')

    add_step(context, step)


@then('no node gives it new flows after {limit:f} seconds')
def check_draining(context: Context, limit: float) -> None:
    """Check the state of the upstream on each node."""

    async def step(fleet: SharedFleet) -> None:
        await fleet.run(limit)
        name = f'i-{LEAVING + 1:08x}'
        late = [
            node.settings.name
            for node in fleet.living()
            if node.core.updater.upstreams.by_name[name].record.state
            is not UpstreamState.DRAINING
        ]
        assert not late, late

    add_check(context, step)
