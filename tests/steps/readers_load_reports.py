"""Steps about the load reports of a fleet on virtual time."""

import json
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from random import Random
from typing import Any
from unittest import mock

import attrs
import trio
from behave import given, then, when
from behave.runner import Context
from reading_script import (
    SETTLE_SECONDS,
    SimulationScript,
    add_check,
    add_step,
    start_measuring,
)

from burdocksill.network.addresses import Address
from burdocksill.observe.early import early_lines
from burdocksill.packets.features import Feature
from burdocksill.packets.load_table import LoadTable
from burdocksill.packets.metrics import MetricsPage
from burdocksill.packets.shared_load import SharedLoad
from burdocksill.packets.supervision import failures
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill.platform.records import UPSTREAMS
from burdocksill.readers.load_messages import UpstreamLoad, group_number
from burdocksill.readers.load_reports import LoadExchange
from burdocksill.readers.load_sums import LoadSums
from burdocksill.readers.load_wire import LOAD_REPORT_KIND, LOAD_SUMMARY_KIND
from burdocksill_lab.packets.fleet import FleetNode, SharedFleet

SERVICE = 'mail'
SLOTS = 10
SAMPLE_SECONDS = 0.1
# Flows that never become idle.
ACTIVE = float('inf')
KINDS = {LOAD_REPORT_KIND, LOAD_SUMMARY_KIND}


@attrs.define
class LoadScript(SimulationScript):
    """Hold what the steps about loads remember."""

    # Loads of upstreams of d0 that any of its nodes knew, over time.
    seen: list[SharedLoad] = attrs.field(factory=list)
    load_datagrams: int = 0
    known: Any = None
    services: list[str] = attrs.field(factory=list)
    # Errors of parts of nodes before.
    failures: Counter[str] = attrs.field(factory=failures.copy)


def fleet_step(
    kind: Callable[[str], Any], text: str
) -> Callable[[Callable[..., Awaitable[None]]], None]:
    """Register a function of a fleet and a script as a step."""

    def register(act: Callable[..., Awaitable[None]]) -> None:
        def step(context: Context, **values: Any) -> None:
            async def run(fleet: SharedFleet) -> None:
                await act(fleet, context.script, **values)

            (add_check if kind is then else add_step)(context, run)

        step.__doc__ = act.__doc__
        kind(text)(step)

    return register


@given('{nodes:d} nodes in {domains:d} domains that report {what}')
def prepare(context: Context, nodes: int, domains: int, what: str) -> None:
    """Start a fleet with the feature, or without it."""
    context.script = LoadScript(0, domains)

    async def step(fleet: SharedFleet) -> None:
        script: LoadScript = context.script
        script.seen, script.load_datagrams = [], 0
        if what == 'loads':
            fleet.features = frozenset((Feature.LOAD_REPORTS,))
        fleet.network.taps.append(count_loads)
        for number in range(nodes):
            await fleet.add_node(f'd{number % domains}', cores=0.5)
        await fleet.run(SETTLE_SECONDS)

    def count_loads(_source: Address, _to: Address, payload: bytes) -> None:
        context.script.load_datagrams += payload[0] in KINDS

    add_step(context, step)


@fleet_step(given, '{count:d} upstreams in {domains:d} domains with 20 flows')
async def add_upstreams(
    fleet: SharedFleet, script: LoadScript, count: int, domains: int
) -> None:
    """Register upstreams, and spread flows over nodes as routers do."""
    for domain in range(domains):
        for number in range(count):
            entry = {
                'Service': SERVICE,
                'Address': f'10.2.{domain}.{number + 1}:8080',
                'Zone': f'd{domain}',
                'Version': 'v1',
                'Slots': SLOTS,
                'State': 'ready',
                'WarmupMs': 0,
                'Seq': 1,
            }
            key = f'{UPSTREAMS}i-{domain + 1:04x}{number:04x}'
            fleet.store.put(key, json.dumps(entry).encode())
    await fleet.run(2)
    for domain in range(domains):
        nodes = nodes_of(fleet, f'd{domain}')
        for upstream in upstreams_of(nodes[0], f'd{domain}'):
            for number in range(20):
                node = fleet.rng.choice(nodes)
                open_flow(fleet, node, upstream, is_waiting=number < 4)
    start_measuring(script, fleet)


@fleet_step(
    given,
    '{count:d} services in {domains:d} domains with a request in progress each',
)
async def add_services(
    fleet: SharedFleet, script: LoadScript, count: int, domains: int
) -> None:
    """Register an upstream of each service in each domain, with one flow."""
    script.services = [f'team-{number}' for number in range(count)]
    for domain in range(domains):
        for number, name in enumerate(script.services):
            entry = {
                'Service': name,
                'Address': f'10.2.{domain}.{number // 200 + 1}:{8000 + number}',
                'Zone': f'd{domain}',
                'Version': 'v1',
                'Slots': SLOTS,
                'State': 'ready',
                'WarmupMs': 0,
                'Seq': 1,
            }
            key = f'{UPSTREAMS}i-{domain + 1:04x}{number:04x}'
            fleet.store.put(key, json.dumps(entry).encode())
    await fleet.run(3)
    for domain in range(domains):
        nodes = nodes_of(fleet, f'd{domain}')
        known = nodes[0].core.updater.upstreams
        for number, name in enumerate(script.services):
            node = nodes[number % len(nodes)]
            for upstream in known.candidates(name, f'd{domain}'):
                open_flow(fleet, node, upstream, is_waiting=True)


def known_spare(
    fleet: SharedFleet, script: LoadScript
) -> list[tuple[FleetNode, str, float | None]]:
    """Return what each node knows of each service in each domain."""
    now = trio.current_time()
    return [
        (node, service, table_of(node).spare_slots(service, f'd{domain}', now))
        for node in fleet.living()
        for service in script.services
        for domain in range(3)
    ]


@fleet_step(then, 'all nodes know the spare slots of each service')
async def check_services(fleet: SharedFleet, script: LoadScript) -> None:
    """Compare with the one request in progress of each."""
    wrong = [
        (node.settings.name, service, spare)
        for node, service, spare in known_spare(fleet, script)
        if spare != SLOTS - 1
    ]
    assert not wrong, (len(wrong), wrong[:3])


@fleet_step(then, 'no node knows wrong spare slots of a service')
async def check_unknown(fleet: SharedFleet, script: LoadScript) -> None:
    """Allow right values and unknown ones."""
    wrong = [
        (node.settings.name, service, spare)
        for node, service, spare in known_spare(fleet, script)
        if spare not in {None, SLOTS - 1}
    ]
    assert not wrong, (len(wrong), wrong[:3])


@fleet_step(then, 'no part of a node has failed')
async def check_parts(fleet: SharedFleet, script: LoadScript) -> None:
    """Check the errors that supervision has counted."""
    assert failures == script.failures, failures - script.failures


def open_flow(
    fleet: SharedFleet,
    node: FleetNode,
    upstream: KnownUpstream,
    *,
    is_waiting: bool = False,
) -> None:
    """Track a flow that is never idle, on an upstream known by its echo."""
    flows = node.core.forwarder.flows
    known = node.core.updater.upstreams.by_echo[upstream.echo]
    flow = flows.start((fleet.rng.getrandbits(32), 1, 1, 1), known, ACTIVE)
    if is_waiting:
        flow.unanswered_since = trio.current_time()
        known.begin_request()


def nodes_of(fleet: SharedFleet, domain: str = 'd0') -> list[FleetNode]:
    """Return the living nodes of a domain."""
    return [one for one in fleet.living() if one.settings.domain == domain]


def upstreams_of(node: FleetNode, domain: str = 'd0') -> list[KnownUpstream]:
    """Return the upstreams of a domain as a node knows them."""
    found = node.core.updater.upstreams.candidates(SERVICE, domain)
    return sorted(found, key=lambda upstream: upstream.record.name)


def table_of(node: FleetNode) -> LoadTable:
    """Return the load table of a node."""
    table = node.core.updater.placer.load_view
    assert isinstance(table, LoadTable)
    return table


def exchange_of(node: FleetNode) -> LoadExchange:
    """Return the load exchange of a node."""
    assert node.store_sync.sharing is not None
    loads = node.store_sync.sharing.exchange.loads
    assert loads is not None
    return loads


def loads_of(node: FleetNode, domain: str = 'd0') -> list[SharedLoad | None]:
    """Return what a node knows of each upstream of a domain."""
    now = trio.current_time()
    view = node.core.updater.placer.load_view
    return [view.load_of(one, now) for one in upstreams_of(node, domain)]


def flows_of(table: LoadTable, upstream: KnownUpstream, now: float) -> float:
    """Return the known flows on an upstream."""
    load = table.load_of(upstream, now)
    assert load is not None
    return load.flows


def spare_of(node: FleetNode) -> float | None:
    """Return the room in d0 that a node knows."""
    view = node.core.updater.placer.load_view
    return view.spare_slots(SERVICE, 'd0', trio.current_time())


async def sample(
    fleet: SharedFleet, script: LoadScript, seconds: float
) -> None:
    """Let time pass, and sample what nodes of d0 know."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(SAMPLE_SECONDS)
        script.seen.extend(
            load
            for node in nodes_of(fleet)
            for load in loads_of(node)
            if load is not None
        )


fleet_step(when, '{seconds:d} seconds go by')(sample)


@fleet_step(then, '{who} of "d0" know the flows on each upstream')
async def check_flows(fleet: SharedFleet, script: LoadScript, who: str) -> None:
    """Compare what nodes know with the flows that they hold together."""
    nodes = nodes_of(fleet)
    if who == 'other nodes':
        nodes.remove(script.selected)
    now = trio.current_time()
    held = Counter(
        flow.upstream.echo
        for node in nodes
        for flow in node.core.forwarder.flows.flows.values()
        if flow.last_seen_at >= now
    )
    for node in nodes:
        for upstream, load in zip(
            upstreams_of(node), loads_of(node), strict=True
        ):
            flows = held[upstream.echo]
            assert load is not None, node.settings.name
            assert abs(load.flows - flows) <= 0.15 * flows, (load, flows)


@fleet_step(then, '{who} of "d0" know no load')
async def check_no_load(
    fleet: SharedFleet, script: LoadScript, who: str
) -> None:
    """Check that nodes go by their own counts."""
    for node in [script.selected] if 'cut off' in who else nodes_of(fleet):
        if who != 'followers' or not node.is_reader:
            assert set(loads_of(node)) == {None}, node.settings.name
            assert spare_of(node) is None


@fleet_step(then, '{who} know {low:d} to {high:d} spare slots in "d0"')
async def check_spare(
    fleet: SharedFleet, _: LoadScript, who: str, low: int, high: int
) -> None:
    """Compare the room that each node knows."""
    for node in fleet.living() if who == 'all nodes' else nodes_of(fleet):
        spare = spare_of(node)
        assert spare is not None and low <= spare <= high, spare


@fleet_step(then, '{count:d} nodes are counted')
async def check_count(
    fleet: SharedFleet, script: LoadScript, count: int
) -> None:
    """Compare the numbers of nodes."""
    now = trio.current_time()
    nodes = [one for one in fleet.living() if one is not script.selected]
    counts = {table_of(node).node_count(now) for node in nodes}
    assert counts == {count}, counts


@fleet_step(when, 'a node of "d0" places 5 flows on one upstream')
async def place(fleet: SharedFleet, script: LoadScript) -> None:
    """Let a follower place flows, which its table counts."""
    node = nodes_of(fleet)[-1]
    script.selected = node
    script.known = (loads_of(node)[0], spare_of(node))
    upstream = upstreams_of(node)[0]
    for _ in range(5):
        table_of(node).record_placed(upstream, trio.current_time())
        open_flow(fleet, node, upstream)


@fleet_step(then, 'it knows 5 flows more there, and {less:d} spare slots less')
async def check_placed(_: SharedFleet, script: LoadScript, less: int) -> None:
    """Compare with what was known before."""
    load, spare = script.known
    after = loads_of(script.selected)[0]
    # Above 16 flows are rounded to steps of 5 percent.
    assert after is not None and abs(after.flows - load.flows - 5) <= 1, after
    assert spare - spare_of(script.selected) == less


@fleet_step(when, '{who} of "d0" is cut off from all others')
async def cut_off(fleet: SharedFleet, script: LoadScript, who: str) -> None:
    """Cut a node off from all nodes and from the store."""
    is_reader = who == 'the reader'
    node = next(one for one in nodes_of(fleet) if one.is_reader is is_reader)
    script.selected = node
    fleet.network.cut(
        [node.host], [other.host for other in fleet.nodes if other is not node]
    )


@fleet_step(when, 'half of all datagrams come up to {seconds:d} seconds late')
async def delay(fleet: SharedFleet, _: LoadScript, seconds: int) -> None:
    """Delay datagrams."""
    fleet.network.faults.late = 0.5
    fleet.network.faults.late_seconds = seconds


@fleet_step(when, 'half of the upstreams empty, and 5 seconds go by')
async def end_flows(fleet: SharedFleet, script: LoadScript) -> None:
    """End flows, and wait until no older report counts."""
    for node in nodes_of(fleet):
        flows = node.core.forwarder.flows
        for upstream in upstreams_of(node)[::2]:
            for key in flows.keys_on(upstream):
                flows.end(key)
    await fleet.run(5)
    script.seen = []


@fleet_step(then, 'half of the upstreams were known as empty since')
async def check_half_empty(_: SharedFleet, script: LoadScript) -> None:
    """Check that nothing counted that is older than the end of the flows."""
    assert script.seen
    assert sum(not load.flows for load in script.seen) * 2 == len(script.seen)


@fleet_step(then, 'no load was older than 4 seconds, or less than 14 flows')
async def check_seen(_: SharedFleet, script: LoadScript) -> None:
    """Compare all samples."""
    assert max(load.age_seconds for load in script.seen) <= 4
    assert min(load.flows for load in script.seen) >= 14


@fleet_step(when, 'the process of the reader of "d0" starts again')
async def restart_reader(fleet: SharedFleet, script: LoadScript) -> None:
    """Kill a reader's process, and start it again 0.5 s later."""
    script.seen = []
    node = fleet.reader_of('d0')
    flows = list(node.core.forwarder.flows.flows.values())
    fleet.kill(node, silent=False)
    await sample(fleet, script, 0.5)
    node = await fleet.add_node('d0', name=node.settings.name)
    await sample(fleet, script, 2)
    # Its share of the flows, as their packets show it.
    for flow in flows:
        open_flow(fleet, node, flow.upstream)


@fleet_step(when, 'the reader of "d0" loses power for good')
async def lose_reader(fleet: SharedFleet, script: LoadScript) -> None:
    """Kill a reader's machine."""
    fleet.kill(fleet.reader_of('d0'))


@attrs.define(kw_only=True)
class LyingSink:
    """Report a node's load multiplied, of all upstreams or of one."""

    honest: LoadTable
    factor: int
    what: str

    def collect(self, now: float) -> tuple[list[UpstreamLoad], dict[int, int]]:
        """Return wrong loads."""
        rows, groups = self.honest.collect(now)
        wrong = {group: count * self.factor for group, count in groups.items()}
        return list(multiply(rows, self.factor, self.what)), wrong

    def __getattr__(self, name: str) -> Any:
        """Do all else as an honest node."""
        return getattr(self.honest, name)


@attrs.define(kw_only=True, eq=False)
class LyingSums(LoadSums):
    """Sums of a reader that multiplies or invents them."""

    factor: int = 1
    what: str = ''
    invented: dict[int, int] = attrs.field(factory=dict)

    def sum_rows(self, now: float) -> list[UpstreamLoad]:
        """Return wrong sums."""
        return list(multiply(super().sum_rows(now), self.factor, self.what))

    def sum_groups(self) -> dict[int, int]:
        """Return the true sums with those that it invents."""
        return super().sum_groups() | self.invented


def multiply(
    rows: list[UpstreamLoad], factor: int, what: str
) -> Iterator[UpstreamLoad]:
    """Yield the rows multiplied, all or that of the lowest echo."""
    lowest = min((row.echo for row in rows), default=0)
    for row in rows:
        times = factor if what != 'one upstream' or row.echo == lowest else 1
        yield row.evolve(
            flows=row.flows * times, in_progress=row.in_progress * times
        )


@fleet_step(when, 'a node of "d0" reports {factor:d} times its load of {what}')
async def lie(
    fleet: SharedFleet, script: LoadScript, factor: int, what: str
) -> None:
    """Let a follower report wrong loads."""
    node = nodes_of(fleet)[-1]
    script.selected = node
    exchange = exchange_of(node)
    exchange.sink = LyingSink(honest=table_of(node), factor=factor, what=what)


@fleet_step(when, 'the reader of "d0" tells 100 times the load of {what}')
async def lie_as_reader(
    fleet: SharedFleet, script: LoadScript, what: str
) -> None:
    """Let a reader tell wrong sums."""
    exchange_of(fleet.reader_of('d0')).sums = LyingSums(factor=100, what=what)


@fleet_step(when, 'the reader of "d1" claims 10000 requests in "d0"')
async def claim(fleet: SharedFleet, script: LoadScript) -> None:
    """Let a reader of another domain tell wrong sums."""
    invented = {group_number(SERVICE, 'd0'): 10000}
    exchange_of(fleet.reader_of('d1')).sums = LyingSums(invented=invented)


@fleet_step(then, 'of 400 flows to the least loaded each upstream gets 8')
async def check_balanced(fleet: SharedFleet, script: LoadScript) -> None:
    """Let a node place flows by the shared load alone."""
    node = nodes_of(fleet)[0]
    table = table_of(node)
    now = trio.current_time()
    placed = dict.fromkeys(upstreams_of(node), 0)
    for _ in range(400):
        chosen = min(placed, key=lambda one: flows_of(table, one, now))
        placed[chosen] += 1
        table.record_placed(chosen, now)
    assert min(placed.values()) >= 8, placed.values()


@fleet_step(when, '8 nodes of "d0" start again with the earlier build')
async def downgrade(fleet: SharedFleet, script: LoadScript) -> None:
    """Restart nodes without the feature."""
    fleet.features = frozenset()
    followers = [node for node in nodes_of(fleet) if not node.is_reader]
    for node in followers[:8]:
        fleet.kill(node, silent=False)
        await fleet.add_node('d0', name=node.settings.name)


@fleet_step(then, 'a new manifest is in force everywhere within 3 seconds')
async def check_in_force(fleet: SharedFleet, script: LoadScript) -> None:
    """Write a manifest and wait for it."""
    assert await fleet.in_force(fleet.put_version(), 3) <= 3


@attrs.define
class KeptLines:
    """Keep log lines instead of writing them."""

    lines: list[tuple[str, dict[str, Any]]] = attrs.field(factory=list)

    def write(self, _: str, message: str, extra: Any, **_time: float) -> None:
        """Keep a line."""
        self.lines.append((message, extra))


@fleet_step(then, 'a loss of the load shows in log lines and metrics')
async def check_shown(fleet: SharedFleet, script: LoadScript) -> None:
    """Kill the reader, and read what a node says until the next reader."""
    node = next(node for node in nodes_of(fleet) if not node.is_reader)
    page = MetricsPage(core=node.core, store_sync=node.store_sync)
    kept = KeptLines()
    with mock.patch.object(early_lines, 'writer', kept):
        fleet.kill(fleet.reader_of('d0'))
        await sample(fleet, script, 3)
        assert 'shared_load' not in page.render(trio.current_time())
        await sample(fleet, script, 12)
    text = page.render(trio.current_time())
    assert 'burdocksill_shared_load_nodes 23' in text, text
    assert 'burdocksill_shared_load_age_seconds 0.' in text, text
    assert 'burdocksill_load_rows_total{direction="received"}' in text, text
    told = [line for line in kept.lines if line[0].startswith('shared load')]
    lost = [extra['age_s'] for message, extra in told if 'lost' in message]
    known = [extra['nodes'] for message, extra in told if 'known' in message]
    # One line of each of the 11 nodes that are left.
    assert len(lost) == 11 and all(2 <= age <= 4 for age in lost), lost
    assert known == [23] * 11, known


@fleet_step(then, 'nodes sent at most 2000 bytes a second, and know all loads')
async def check_bytes(fleet: SharedFleet, script: LoadScript) -> None:
    """Count all bytes between nodes, and check what they are worth."""
    seconds = trio.current_time() - script.started_at
    sent = fleet.peer_bytes - script.peer_bytes
    assert 0 < sent / seconds / len(fleet.nodes) <= 2000, sent
    for node in fleet.living():
        domain = node.settings.domain
        assert None not in loads_of(node, domain)
        assert table_of(node).nodes_of(domain) == len(nodes_of(fleet, domain))


@fleet_step(then, 'no load was sent, and none is known')
async def check_none(fleet: SharedFleet, script: LoadScript) -> None:
    """Check that the feature is off."""
    assert not script.load_datagrams
    for node in fleet.living():
        assert set(loads_of(node)) == {None}
        assert spare_of(node) is None
        assert node.core.forwarder.flows.local_load is None


@fleet_step(then, 'flows go where they go without reports, on the same seed')
async def check_same(fleet: SharedFleet, script: LoadScript) -> None:
    """Place flows on two nodes that differ in the feature alone."""
    fleet.features = frozenset()
    other = await fleet.add_node('d0')
    await fleet.run(3)
    chosen = []
    for node in (nodes_of(fleet)[0], other):
        placer = node.core.updater.placer
        placer.rng = Random(fleet.seed)
        for upstream in upstreams_of(node):
            upstream.flows = upstream.waiting = upstream.limiter.waiting = 0
        chosen.append([])
        for _ in range(100):
            found = placer.place_in_service(SERVICE, 0, trio.current_time(), ())
            chosen[-1].append(found.echo)
            found.flows += 1
    assert chosen[0] == chosen[1]
    assert len(set(chosen[0])) > 5


@fleet_step(when, '300 flows of a node of "d0" fell idle 3 seconds ago')
async def leave_idle(fleet: SharedFleet, script: LoadScript) -> None:
    """Track flows whose packets reach another node since."""
    node = nodes_of(fleet)[-1]
    active = set(node.core.forwarder.flows.flows)
    for _ in range(300):
        open_flow(fleet, node, fleet.rng.choice(upstreams_of(node)))
    for key, flow in node.core.forwarder.flows.flows.items():
        if key not in active:
            flow.last_seen_at = trio.current_time() - 3


@fleet_step(when, 'an upstream gives 4 answers of a tenth of the usual size')
async def answer_short(fleet: SharedFleet, script: LoadScript) -> None:
    """Record short answers on one node."""
    script.selected = nodes_of(fleet)[0]
    upstream = upstreams_of(script.selected)[0]
    upstream.limiter.usual_size = 1000
    open_flow(fleet, script.selected, upstream)
    local_load = table_of(script.selected).local_load
    for _ in range(4):
        local_load.record_answer(upstream, 0.01, 100, trio.current_time())


@fleet_step(then, 'its node reports {low:f} to {high:f} errors a second')
async def check_errors(
    _: SharedFleet, script: LoadScript, low: float, high: float
) -> None:
    """Read the node's own row; errors tell no answer time."""
    rows, _groups = table_of(script.selected).collect(trio.current_time())
    echo = upstreams_of(script.selected)[0].echo
    row = next(row for row in rows if row.echo == echo)
    assert low <= row.errors_per_second <= high, row
    assert not row.answer_seconds
