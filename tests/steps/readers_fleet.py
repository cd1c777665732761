"""Steps about nodes that share reads of the store."""

from collections import Counter

import trio
from behave import given, then, when
from behave.runner import Context
from reading_script import (
    UPSTREAM_COUNT,
    SimulationScript,
    add_check,
    add_step,
    put_upstream,
    start_measuring,
)

from burdocksill.packets.store_cache import SyncProgress
from burdocksill.platform.records import UPSTREAMS
from burdocksill_lab.packets.fleet import STORE, SharedFleet
from burdocksill_lab.packets.store import StoreFault


@given('a fleet of {nodes:d} nodes in {domains:d} domains')
def prepare(context: Context, nodes: int, domains: int) -> None:
    """Remember the sizes."""
    context.script = SimulationScript(nodes, domains)


@given('a network that loses {share:f} of the datagrams')
def lose_datagrams(context: Context, share: float) -> None:
    """Let the network lose datagrams from here on."""

    async def step(fleet: SharedFleet) -> None:
        fleet.network.faults.loss = share

    add_step(context, step)


@when('{seconds:d} quiet seconds pass')
def wait(context: Context, seconds: int) -> None:
    """Let time pass."""

    async def step(fleet: SharedFleet) -> None:
        await fleet.run(seconds)

    add_step(context, step)


@when('a manifest is written')
def write(context: Context) -> None:
    """Write the next version."""

    async def step(fleet: SharedFleet) -> None:
        fleet.put_version()

    add_step(context, step)


@when('{count:d} manifests are written, one each {gap:d} seconds')
def write_many(context: Context, count: int, gap: int) -> None:
    """Write versions in a row."""

    async def step(fleet: SharedFleet) -> None:
        for _ in range(count):
            fleet.put_version()
            await fleet.run(gap)

    add_step(context, step)


@when('a manifest of {routes:d} routes is written')
def write_large(context: Context, routes: int) -> None:
    """Write a manifest with many routes of odd names."""

    async def step(fleet: SharedFleet) -> None:
        fleet.put_version(routes)

    add_step(context, step)


@when('the reader of "{domain}" loses power')
def lose_power(context: Context, domain: str) -> None:
    """Kill a reader abruptly."""

    async def step(fleet: SharedFleet) -> None:
        fleet.kill(fleet.reader_of(domain))

    add_step(context, step)


@when('all readers lose power')
def lose_all_readers(context: Context) -> None:
    """Kill all readers abruptly."""

    async def step(fleet: SharedFleet) -> None:
        for node in list(fleet.living()):
            if node.is_reader:
                fleet.kill(node)

    add_step(context, step)


@when('the reader of "{domain}" is paused')
def freeze(context: Context, domain: str) -> None:
    """Pause a reader's host."""

    async def step(fleet: SharedFleet) -> None:
        context.script.selected = fleet.reader_of(domain)
        fleet.network.pause(context.script.selected.host)

    add_step(context, step)


@when('the paused reader is resumed')
def wake(context: Context) -> None:
    """Resume the paused host."""

    async def step(fleet: SharedFleet) -> None:
        fleet.network.resume(context.script.selected.host)

    add_step(context, step)


@when('the reader of "{domain}" is cut off from the store')
def cut_reader(context: Context, domain: str) -> None:
    """Cut a reader's link to the store."""

    async def step(fleet: SharedFleet) -> None:
        context.script.selected = fleet.reader_of(domain)
        fleet.network.cut([context.script.selected.host], [STORE.host])

    add_step(context, step)


@when('the store refuses all readers')
def refuse_readers(context: Context) -> None:
    """Let the store refuse the readers."""

    async def step(fleet: SharedFleet) -> None:
        refused = {node.host for node in fleet.living() if node.is_reader}
        fleet.store.rejected_hosts = refused

    add_step(context, step)


@when('the store refuses all nodes but the readers')
def refuse_others(context: Context) -> None:
    """Let the store refuse all nodes that are no readers."""

    async def step(fleet: SharedFleet) -> None:
        refused = {node.host for node in fleet.living() if not node.is_reader}
        fleet.store.rejected_hosts = refused

    add_step(context, step)


@when('"{domain}" is cut off from the other domains')
def cut_domain(context: Context, domain: str) -> None:
    """Cut the links between a domain and the others."""

    async def step(fleet: SharedFleet) -> None:
        near = [n.host for n in fleet.nodes if n.settings.domain == domain]
        far = [n.host for n in fleet.nodes if n.settings.domain != domain]
        fleet.network.cut(near, far)

    add_step(context, step)


@when('the store is down for {seconds:d} seconds')
def store_down(context: Context, seconds: int) -> None:
    """Let the store answer nothing for a while."""

    async def step(fleet: SharedFleet) -> None:
        fleet.store.injected_fault = StoreFault.SILENT
        await fleet.run(seconds)
        fleet.store.injected_fault = StoreFault.NONE

    add_step(context, step)


@when('the store\'s trouble is "{trouble}" for {seconds:d} seconds')
def trouble_store(context: Context, trouble: str, seconds: int) -> None:
    """Let the store fail in one way for a while."""

    async def step(fleet: SharedFleet) -> None:
        start_measuring(context.script, fleet)
        fleet.store.injected_fault = StoreFault(trouble)
        await fleet.run(seconds)
        fleet.store.injected_fault = StoreFault.NONE

    add_step(context, step)


@when("the store's open connections hang and its history is dropped")
def mute_store(context: Context) -> None:
    """Let only new connections carry data."""

    async def step(fleet: SharedFleet) -> None:
        start_measuring(context.script, fleet)
        fleet.store.unanswered_up_to = fleet.store.connections
        fleet.store.compact()

    add_step(context, step)


@when('{nodes:d} nodes in {domains:d} domains start together')
def start_together(context: Context, nodes: int, domains: int) -> None:
    """Start a fleet, and count from before its start."""
    context.script = SimulationScript(nodes, domains)

    async def step(_: SharedFleet) -> None:
        context.script.calls = 0

    add_step(context, step)


@then('calls worth at most {most:d} were made')
def check_worth(context: Context, most: int) -> None:
    """Add up calls; renewals and stale reads cost a tenth."""

    async def step(fleet: SharedFleet) -> None:
        cheap = sum(
            'keep' in call or 'Stale' in call for call in fleet.store.calls
        )
        worth = len(fleet.store.calls) - cheap * 0.9
        assert worth <= most, worth

    add_check(context, step)


@when('upstreams change, one goes, and the history is dropped')
def drop_history(context: Context) -> None:
    """Change the list while no watch receives changes."""

    async def step(fleet: SharedFleet) -> None:
        waiting = fleet.store.changed
        # Waiting watches receive none of these changes.
        fleet.store.changed = trio.Event()
        put_upstream(fleet, UPSTREAM_COUNT)
        fleet.store.remove(f'{UPSTREAMS}i-{1:08x}')
        fleet.store.compact()
        waiting.set()
        start_measuring(context.script, fleet)

    add_step(context, step)


@when('the process of the reader of "{domain}" is killed and starts again')
def restart(context: Context, domain: str) -> None:
    """Kill a reader's process; its host lives, and it is back in 0.5 s."""

    async def step(fleet: SharedFleet) -> None:
        node = fleet.reader_of(domain)
        fleet.kill(node, silent=False)
        await fleet.run(0.5)
        name = node.settings.name
        context.script.selected = await fleet.add_node(domain, name=name)

    add_step(context, step)


@when('the reader of "{domain}" stops in an orderly way')
def stop(context: Context, domain: str) -> None:
    """Stop a reader as SIGTERM does."""

    async def step(fleet: SharedFleet) -> None:
        node = fleet.reader_of(domain)
        context.script.selected = node
        await node.store_sync.leave()
        await fleet.run(1)
        fleet.kill(node, silent=False)

    add_step(context, step)


@when('the store answers each call {seconds:f} seconds late')
def slow_down(context: Context, seconds: float) -> None:
    """Let the store answer late."""

    async def step(fleet: SharedFleet) -> None:
        fleet.store.delay_seconds = seconds

    add_step(context, step)


@when('the reader of "{domain}" stops during a renewal')
def stop_in_renewal(context: Context, domain: str) -> None:
    """Stop a reader during a call for its lease."""

    async def step(fleet: SharedFleet) -> None:
        node = fleet.reader_of(domain)
        context.script.selected = node
        calls = fleet.store.calls
        before = len(calls)
        while not any('keep' in call for call in calls[before:]):
            before = len(calls)
            await trio.sleep(0.01)
        await node.store_sync.leave()
        fleet.kill(node, silent=False)

    add_step(context, step)


@then('at most {count:d} calls a second were made')
def check_rate(context: Context, count: int) -> None:
    """Count the calls since the start of the measurement."""

    async def step(fleet: SharedFleet) -> None:
        seconds = trio.current_time() - context.script.started_at
        rate = (len(fleet.store.calls) - context.script.calls) / seconds
        assert rate <= count, rate

    add_check(context, step)


@then('at most {count:d} calls were made for it')
def check_count(context: Context, count: int) -> None:
    """Count the calls since the measurement began, without renewals."""

    async def step(fleet: SharedFleet) -> None:
        since = fleet.store.calls[context.script.calls :]
        kinds = Counter(call.partition('?')[0] for call in since)
        made = sum(n for call, n in kinds.items() if 'keep' not in call)
        assert made <= count, kinds

    add_check(context, step)


@then('at most {count:d} bytes a second went between nodes for each node')
def check_bytes(context: Context, count: int) -> None:
    """Measure the traffic between nodes."""

    async def step(fleet: SharedFleet) -> None:
        seconds = trio.current_time() - context.script.started_at
        sent = fleet.peer_bytes - context.script.peer_bytes
        each = sent / seconds / len(fleet.nodes)
        assert each <= count, each

    add_check(context, step)


@then("no node's data was older than {limit:f} seconds")
def check_oldest(context: Context, limit: float) -> None:
    """Check the maximum age of the data of all nodes."""

    async def step(fleet: SharedFleet) -> None:
        assert 0 < fleet.oldest <= limit, fleet.oldest

    add_check(context, step)


@then('each domain has one reader')
def check_readers(context: Context) -> None:
    """Count the readers of each domain."""

    async def step(fleet: SharedFleet) -> None:
        found = Counter(
            node.settings.domain for node in fleet.living() if node.is_reader
        )
        wanted = {f'd{n}': 1 for n in range(context.script.domains)}
        assert found == wanted, found

    add_check(context, step)


@then('"{domain}" has another reader')
def check_other_reader(context: Context, domain: str) -> None:
    """Check that the reader is not the previous one."""

    async def step(fleet: SharedFleet) -> None:
        reader = fleet.reader_of(domain)
        assert reader is not context.script.selected

    add_check(context, step)


@then('the same node reads for "{domain}"')
def check_same_reader(context: Context, domain: str) -> None:
    """Check that the reader is the restarted node."""

    async def step(fleet: SharedFleet) -> None:
        assert fleet.reader_of(domain) is context.script.selected

    add_check(context, step)


@then('it is in force on all nodes within {limit:f} seconds')
def check_in_force(context: Context, limit: float) -> None:
    """Wait until the last version is in force on all nodes."""

    async def step(fleet: SharedFleet) -> None:
        took = await fleet.in_force(fleet.version, limit)
        shown = Counter(node.version for node in fleet.living())
        assert took <= limit, (took, shown, fleet.version)

    add_check(context, step)


@then('it is in force on all nodes but the paused one within {limit:f} seconds')
def check_in_force_but(context: Context, limit: float) -> None:
    """Check that the last version is in force on all nodes but one."""

    async def step(fleet: SharedFleet) -> None:
        await fleet.run(limit)
        old = [
            node.settings.name
            for node in fleet.living()
            if node.version < fleet.version
        ]
        assert old in ([], [context.script.selected.settings.name]), old

    add_check(context, step)


@then('all nodes know the upstreams of the store within {limit:f} seconds')
def check_upstreams(context: Context, limit: float) -> None:
    """Compare the upstreams of all nodes with the store."""

    async def step(fleet: SharedFleet) -> None:
        await fleet.run(limit)
        wanted = {
            key.removeprefix(UPSTREAMS)
            for key in fleet.store.items
            if key.startswith(UPSTREAMS)
        }
        for node in fleet.living():
            known = node.core.updater.upstreams.by_name.items()
            found = {name for name, one in known if not one.absent_since}
            assert found == wanted, found ^ wanted

    add_check(context, step)


@given('a node that has read the store')
def make_progress(context: Context) -> None:
    """Create the sync progress of a node."""
    context.now = 100.0
    context.progress = SyncProgress(clock=lambda: context.now)
    context.progress.advance_to(5, context.now)
    assert SyncProgress().clock() > 0


@when('its machine is suspended for {seconds:d} seconds')
def suspend(context: Context, seconds: int) -> None:
    """Advance the clock that includes suspended time."""
    context.now += seconds


@then('its data is {seconds:d} seconds old')
def check_age(context: Context, seconds: int) -> None:
    """Check the age."""
    assert context.progress.age() == seconds
