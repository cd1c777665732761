"""Steps that place flows by loads that nodes report to each other."""

from collections import Counter

import attrs
from behave import given, then, when
from behave.runner import Context
from packets_world import world_of

from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.shared_load import SharedLoad
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill_lab.packets.client import ClientFlow, Outcome, Request
from burdocksill_lab.packets.upstream import LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT, LabNode, PacketWorld

REPORT_SECONDS = 0.5
MAX_AGE_SECONDS = 2.0
FEATURES = {
    'shared load': frozenset({Feature.SHARED_PLACEMENT}),
    'spillover': frozenset({Feature.SHARED_PLACEMENT, Feature.SPILLOVER}),
    'no shared load': NO_FEATURES,
}


@attrs.define(kw_only=True, eq=False)
class ReportedLoads:
    """Sums of the real counts of all nodes, taken each half second."""

    world: PacketWorld
    # By domain of the reporting nodes and name of the upstream.
    flows: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    in_progress: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    # By domain of the upstreams.
    waiting: Counter[str] = attrs.field(factory=Counter)
    # Added to the sums of each upstream, by its name.
    forged: Counter[str] = attrs.field(factory=Counter)
    # Upstreams that reports call idle: all, or those of one node.
    idle: set[str] = attrs.field(factory=set)
    liar: LabNode | None = None
    # Nodes that are not counted.
    uncounted: int = 0
    # Domains whose readers the others don't hear.
    unheard: set[str] = attrs.field(factory=set)
    at: float = float('-inf')
    stopped: bool = False

    def report(self) -> None:
        """Sum all counts, and schedule the next report."""
        self.world.timeline.after(REPORT_SECONDS, self.report)
        if self.stopped:
            return
        self.at = self.world.timeline.now
        for counts in (self.flows, self.in_progress, self.waiting):
            counts.clear()
        for node in self.world.nodes:
            known = node.core.updater.upstreams.by_name
            for name, upstream in known.items():
                lies = name in self.idle and self.liar in (None, node)
                if node.alive and not lies:
                    self.flows[node.domain, name] += upstream.flows
                    self.in_progress[node.domain, name] += upstream.waiting
                    self.waiting[upstream.record.domain] += upstream.waiting
            node.core.updater.placer.load_view.placed.clear()

    def view(self, node: LabNode) -> None:
        """Let a node place flows by these loads."""
        node.core.updater.placer.use_load_view(
            NodeLoadView(loads=self, node=node)
        )


@attrs.define(kw_only=True)
class NodeLoadView:
    """The loads as one node knows them."""

    loads: ReportedLoads
    node: LabNode
    placed: Counter[str] = attrs.field(factory=Counter)

    def load_of(self, upstream: KnownUpstream, now: float) -> SharedLoad | None:
        """Return the sums and the own flows since the report."""
        name = upstream.record.name
        if (
            now - self.loads.at > MAX_AGE_SECONDS
            or upstream.record.domain != self.node.domain
        ):
            return None
        forged = self.loads.forged[name]
        key = (self.node.domain, name)
        return SharedLoad(
            flows=self.loads.flows[key] + self.placed[name] + forged,
            in_progress=self.loads.in_progress[key] + forged,
            answer_seconds=0,
            errors_per_second=0,
            age_seconds=now - self.loads.at,
        )

    def spare_slots(
        self, service: str, domain: str, now: float
    ) -> float | None:
        """Return the free slots of a domain's upstreams."""
        is_lost = now - self.loads.at > MAX_AGE_SECONDS
        if is_lost or domain in self.loads.unheard:
            return None
        known = self.node.core.updater.upstreams.candidates(service, domain)
        slots = sum(upstream.record.slots for upstream in known)
        return slots - self.loads.waiting[domain]

    def node_count(self, now: float) -> int | None:
        """Return the number of nodes."""
        if now - self.loads.at > MAX_AGE_SECONDS:
            return None
        return len(self.loads.world.nodes) - self.loads.uncounted

    def record_placed(self, upstream: KnownUpstream, now: float) -> None:
        """Count a flow until the next report."""
        self.placed[upstream.record.name] += 1


@attrs.define(kw_only=True)
class LongFlows:
    """Clients of a domain whose flows send a request after each pause."""

    world: PacketWorld
    domain: str
    per_second: float
    seconds: tuple[float, float] = (2.0, 20.0)
    pauses: tuple[float, float] = (0.2, 1.0)
    requests: list[Request] = attrs.field(factory=list)
    # Flows with the times at which they were opened.
    flows: list[tuple[float, ClientFlow]] = attrs.field(factory=list)
    stopped: bool = False

    def start(self) -> None:
        """Schedule the next flow; arrivals are a Poisson process."""
        if not self.stopped:
            delay = self.world.rng.expovariate(self.per_second)
            self.world.timeline.after(delay, self.open)

    def open(self) -> None:
        """Open a flow, and schedule the next one."""
        self.start()
        flow = self.world.open_flow(self.domain)
        flow.deadline = 4.0
        self.flows.append((self.world.timeline.now, flow))
        until = self.world.timeline.now + self.world.rng.uniform(*self.seconds)
        flow.on_end = lambda *_: self.world.timeline.after(
            self.world.rng.uniform(*self.pauses),
            lambda: self.go_on(flow, until),
        )
        self.requests.append(flow.request())

    def go_on(self, flow: ClientFlow, until: float) -> None:
        """Send the next request, or close the flow at its end."""
        if flow.ended or self.world.timeline.now > until:
            flow.close()
        else:
            self.requests.append(flow.request())


def build(
    context: Context, domain: str, nodes: int, upstreams: int, choice: str
) -> None:
    """Start the nodes and upstreams of a domain."""
    world = world_of(context)
    if not hasattr(context, 'loads'):
        world.features = FEATURES[choice]
        world.put_manifest(5, {ROUTE_PORT: 'ledger'}, cold_per_second=40)
        context.loads = ReportedLoads(world=world)
        context.clients = {}
        world.timeline.after(REPORT_SECONDS, context.loads.report)
    for _ in range(upstreams):
        world.add_upstream(domain, slots=4)
    for _ in range(nodes):
        context.loads.view(world.add_node(domain))


@given(
    'a domain "{domain}" with {nodes:d} nodes, {count:d} upstreams and {choice}'
)
def make_domain(
    context: Context, domain: str, nodes: int, count: int, choice: str
) -> None:
    """Start a domain that places flows with or without shared load."""
    build(context, domain, nodes, count, choice)


@given(
    'a domain "{domain}" with {nodes:d} nodes and {count:d} upstreams that '
    'work {work:g} seconds'
)
def make_pinned(
    context: Context, domain: str, nodes: int, count: int, work: float
) -> None:
    """Start a domain without features."""
    world = world_of(context)
    world.put_manifest(5, {ROUTE_PORT: 'ledger'}, cold_per_second=40)
    for _ in range(count):
        world.add_upstream(domain, work_seconds=work)
    for _ in range(nodes):
        world.add_node(domain)


@given('{rate:d} long flows open in "{domain}" each second')
@when('{rate:d} long flows open in "{domain}" each second')
def open_long_flows(context: Context, rate: int, domain: str) -> None:
    """Start the clients, or change the rate of those that run."""
    clients = context.clients.get(domain)
    if clients is None:
        clients = LongFlows(
            world=context.packets, domain=domain, per_second=rate
        )
        context.clients[domain] = clients
        clients.start()
    clients.per_second = rate


@when('they run for {seconds:g} seconds')
def run_for(context: Context, seconds: float) -> None:
    """Run, and count the open flows of upstreams over time."""
    world = context.packets
    context.began_at = world.timeline.now
    context.flows_over_time = Counter()
    for _ in range(round(seconds * 10)):
        world.run(0.1)
        for name, upstream in world.upstreams.items():
            context.flows_over_time[name] += len(upstream.flows)


def imbalance(context: Context, domain: str) -> float:
    """Return the busiest upstream's open flows over the mean."""
    flows = [
        context.flows_over_time[name]
        for name, one in context.packets.upstreams.items()
        if one.domain == domain
    ]
    return max(flows) * len(flows) / sum(flows)


@then('the busiest upstream of "{domain}" has {bound} the mean')
def check_imbalance(context: Context, domain: str, bound: str) -> None:
    """Compare the busiest upstream with the mean."""
    found = imbalance(context, domain)
    words = bound.split()
    limit = float(words[2])
    assert words[3] == 'times', bound
    if words[:2] == ['at', 'most']:
        assert found <= limit, found
    else:
        assert words[:2] == ['at', 'least'], bound
        assert found >= limit, found


@when('reports call one upstream of "{domain}" idle')
def call_idle(context: Context, domain: str) -> None:
    """Let all reports say that an upstream has no flows."""
    context.selected = first_upstream(context, domain)
    context.loads.idle.add(context.selected.name)
    context.packets.run(REPORT_SECONDS)


@when('one node reports one upstream of "{domain}" {lie}')
def lie_of_upstream(context: Context, domain: str, lie: str) -> None:
    """Let one node's report call an upstream idle or full."""
    context.selected = first_upstream(context, domain)
    if lie == 'idle':
        context.loads.liar = context.packets.nodes[0]
        context.loads.idle.add(context.selected.name)
    else:
        context.loads.forged[context.selected.name] = 50


@when('each node of "{domain}" places {count:d} flow at once')
def place_at_once(context: Context, domain: str, count: int) -> None:
    """Place flows on all nodes before any report tells of them."""
    world = context.packets
    route = world.nodes[0].core.updater.table.manifest.routes[0]
    placed = [
        node.core.updater.placer.place(route, world.timeline.now)
        for node in world.nodes
        if node.domain == domain
        for _ in range(count)
    ]
    context.placed = Counter(
        upstream.record.name
        for upstream in placed
        if isinstance(upstream, KnownUpstream)
    )


@then('it got at most {most:d} of these flows')
def check_herd(context: Context, most: int) -> None:
    """Check the flows of the upstream that was called idle."""
    assert context.placed.total() >= 40, context.placed
    assert context.placed[context.selected.name] <= most, context.placed


@when('a new upstream of "{domain}" starts')
def start_new(context: Context, domain: str) -> None:
    """Start an upstream that has no flows yet."""
    context.selected = context.packets.add_upstream(domain, slots=4)
    context.since = context.packets.timeline.now


@then(
    'it gets at most {factor:g} times its share in the first '
    '{seconds:d} seconds'
)
def check_slow_start(context: Context, factor: float, seconds: int) -> None:
    """Compare its openings with the mean."""
    world = context.packets
    world.run(seconds)
    opened = {
        one.name: sum(at >= context.since for at in one.opened)
        for one in world.upstreams.values()
    }
    mean = sum(opened.values()) / len(opened)
    assert 0 < opened[context.selected.name] <= factor * mean, opened


@then('after {seconds:d} seconds it has at least {share:g} of the mean flows')
def check_filled(context: Context, seconds: int, share: float) -> None:
    """Compare its open flows with the mean."""
    world = context.packets
    world.run(seconds)
    flows = [len(one.flows) for one in world.upstreams.values()]
    mean = sum(flows) / len(flows)
    assert len(context.selected.flows) >= share * mean, flows


@when('reports stop')
def stop_reports(context: Context) -> None:
    """Lose all further reports."""
    context.loads.stopped = True


@when('reports count {fewer:d} nodes fewer')
def count_fewer(context: Context, fewer: int) -> None:
    """Lose the reports of some nodes, which go on placing flows."""
    context.loads.uncounted = fewer
    context.packets.run(2 * REPORT_SECONDS)


@then('every request of long flows is served')
def check_long_served(context: Context) -> None:
    """Stop the clients and check all requests."""
    requests = settle(context)
    assert len(requests) >= 500, len(requests)
    failed = [one for one in requests if one.outcome is not Outcome.SERVED]
    assert not failed, (len(failed), len(requests), failed[0])


def settle(context: Context) -> list[Request]:
    """Stop the clients, and return their requests when all have ended."""
    for clients in context.clients.values():
        clients.stopped = True
    context.packets.run(25)
    return [
        request
        for clients in context.clients.values()
        for request in clients.requests
    ]


def first_upstream(context: Context, domain: str) -> LabUpstream:
    """Return the first upstream of a domain."""
    return next(
        one
        for one in context.packets.upstreams.values()
        if one.domain == domain
    )


@given('the seed {seed:d}')
def use_seed(context: Context, seed: int) -> None:
    """Use another seed."""
    context.seed = seed


@then('the openings of upstreams are {text}')
def check_openings(context: Context, text: str) -> None:
    """Compare with the openings of the build before the features."""
    world = context.packets
    opened = [str(len(one.opened)) for one in world.upstreams.values()]
    assert ' '.join(opened) == text, opened
