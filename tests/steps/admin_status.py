"""Steps about the admin interface; each scenario runs in its own world."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
import httpx
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.admin.app import AdminApp
from burdocksill.admin.client import AdminClient, FleetStatus
from burdocksill.admin.exceptions import QueryInvalidError
from burdocksill.admin.explain import ExplainQuery
from burdocksill.admin.messages import NodeStatus, RecordStatus
from burdocksill.callers.exceptions import CallFailedError
from burdocksill.documents.models import ServiceDocument
from burdocksill.management.commands.explain import explain_fleet
from burdocksill.management.screen import status_screen
from burdocksill.management.target import Target
from burdocksill.network.protocols import Address
from burdocksill.observe.decisions import Step
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.protocols import Platform
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import ADMIN_PORT, World, open_world

DOMAINS = ('cz-a', 'cz-b', 'cz-c')
OWNER = 'cz-a-entry-1'
SETTLE_SECONDS = 3
Action = Callable[['MonitoredWorld'], Awaitable[None]]


class WorldTransport(httpx.AsyncBaseTransport):
    """Pass admin requests to the running nodes of a world."""

    def __init__(self, world: World) -> None:
        """Store the world, whose nodes are looked up at each request."""
        self.world = world

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Call the node's ASGI application, or raise ConnectError."""
        for running in self.world.nodes.values():
            if running.host == request.url.host:
                app = AdminApp(node=running.node)
                transport = httpx.ASGITransport(app=app)
                return await transport.handle_async_request(request)
        raise httpx.ConnectError('refused')


def no_platform(url: str) -> Platform:
    """Raise the error of a platform in an outage."""
    raise PlatformUnavailableError(message='down')


class MonitoredWorld:
    """Hold a world and give access to it as operators have."""

    def __init__(self, world: World, context: Context) -> None:
        """Store the world and the scenario's context."""
        self.world = world
        self.context = context

    def target(self, domain: str) -> Target:
        """Return a target with one VM and without a platform."""
        host = self.world.nodes[f'{domain}-entry-1'].host
        return Target(
            entries=(Address(host, ADMIN_PORT),),
            connect=no_platform,
            admin=AdminClient(transport=WorldTransport(self.world)),
        )


@given('a monitored fleet of three entry VMs and three upstreams')
def plan(context: Context) -> None:
    """Start a list of actions, which `run_with` executes."""
    context.actions = []


def run_with(context: Context, action: Action) -> None:
    """Add an action and run all actions so far in a new world."""
    context.actions.append(action)

    async def script() -> None:
        async with open_world(context.seed) as world:
            upstream = world.start_upstream('kiosk-ledger', 'ledger-1', 'cz-a')
            await world.put_document(
                ServiceDocument(
                    service='kiosk-ledger',
                    team='vratka',
                    upstreams=(
                        upstream,
                        world.start_upstream('kiosk-ledger', 'spare', 'cz-b'),
                        world.start_upstream('kiosk-ledger', 'third', 'cz-c'),
                    ),
                ),
            )
            for domain in DOMAINS:
                await world.start_node(f'{domain}-entry-1', domain)
            # Long enough for every VM to know the others.
            await trio.sleep(SETTLE_SECONDS)
            monitored = MonitoredWorld(world, context)
            for each in context.actions:
                await each(monitored)

    run_seeded(context.seed, script)


@when('the platform goes down and the VM in "{domain}" dies')
def kill(context: Context, domain: str) -> None:
    """Kill a VM; a target never has a platform in these scenarios."""

    async def action(monitored: MonitoredWorld) -> None:
        monitored.world.kill_node(f'{domain}-entry-1')

    context.actions.append(action)


@when('status is asked of the VM in "{domain}"')
def ask_status(context: Context, domain: str) -> None:
    """Store the status of the fleet."""

    async def action(monitored: MonitoredWorld) -> None:
        context.fleet = await monitored.target(domain).fleet()

    run_with(context, action)


@then('status shows {count:d} VMs that answer and "{name}" that does not')
def check_vms(context: Context, count: int, name: str) -> None:
    """Compare the VMs that answered and those that did not."""
    assert len(context.fleet.nodes) == count
    assert context.fleet.silent == (name,), context.fleet.silent


@then('status shows "{service}" revision and owner')
def check_records(context: Context, service: str) -> None:
    """Check the document's revision and its first upstream's owner."""
    key = f'/burdocksill/documents/{service}'
    assert all(node.revision(key) > 0 for node in context.fleet.nodes)
    owners = [
        node.name
        for node in context.fleet.nodes
        for line in node.owned
        if line.upstream == 'ledger-1'
    ]
    assert owners == [OWNER], owners


@then('the status screen has the lines')
def check_screen(context: Context) -> None:
    """Look for each text on the screen."""
    screen = status_screen(context.fleet)
    for row in context.table:
        assert row['line'] in screen, screen


@when('a monitored caller sends {count:d} requests')
def send(context: Context, count: int) -> None:
    """Open flows until one is at ledger-1, and send its requests there."""

    async def action(monitored: MonitoredWorld) -> None:
        while True:
            async with monitored.world.session('kiosk-ledger') as session:
                first = await session.request('GET', ('confirmations',))
                if first.hops[-1] != 'ledger-1':
                    continue
                for _ in range(count - 1):
                    await session.request('GET', ('confirmations',))
                context.cookie = session.cookie
                return

    context.actions.append(action)


@when('its cookie is explained')
def explain_cookie(context: Context) -> None:
    """Explain the caller's cookie from all VMs."""

    async def action(monitored: MonitoredWorld) -> None:
        query = ExplainQuery(cookie=context.cookie.hex())
        context.explanation = await explain_fleet(
            monitored.target('cz-b'),
            query,
        )

    run_with(context, action)


@then('the explanation names upstream "{upstream}" and owner "{owner}"')
def check_cookie(context: Context, upstream: str, owner: str) -> None:
    """Compare the content of the cookie."""
    assert context.explanation.cookie.upstream == upstream
    assert context.explanation.cookie.owner == owner


@then('the explanation has {count:d} answers that ran')
def check_decisions(context: Context, count: int) -> None:
    """Count the answers of the flow."""
    ran = [
        line for line in context.explanation.decisions if line.verdict == 'ran'
    ]
    assert len(ran) == count, context.explanation.decisions
    times = [line.at for line in context.explanation.decisions]
    assert times == sorted(times)


@then('the explanation begins with the placement of the flow')
def check_placed(context: Context) -> None:
    """Check the first decision, by the VM that got the first request."""
    first = context.explanation.decisions[0]
    assert first.step == Step.PLACED.value, first
    assert (first.upstream, first.peer) == ('ledger-1', OWNER), first


@when('a monitored caller asks for an unknown service')
def ask_unknown(context: Context) -> None:
    """Send one request to a service without a document."""

    async def action(monitored: MonitoredWorld) -> None:
        async with monitored.world.session('nobody-knows') as session:
            with suppress(CallFailedError):
                await session.request('GET', ('x',))
        context.metrics = ''.join(
            running.node.counters.render()
            for running in monitored.world.nodes.values()
        )

    context.actions.append(action)


@then('status counts a refusal "{reason}"')
def check_refusal(context: Context, reason: str) -> None:
    """Check the reasons that all VMs report."""
    reasons = [
        line.reason for node in context.fleet.nodes for line in node.refusals
    ]
    assert reasons == [reason], reasons


@then('no metric names the unknown service')
def check_labels(context: Context) -> None:
    """Check that no label has the name that the caller sent."""
    assert 'nobody-knows' not in context.metrics
    assert 'reason="service-unknown"' in context.metrics


@then('explaining "{token}" fails with "{code}"')
def check_query(context: Context, token: str, code: str) -> None:
    """Expect the error that the admin interface reports."""

    async def action(monitored: MonitoredWorld) -> None:
        target = monitored.target('cz-b')
        query = ExplainQuery(tokens=(token,))
        try:
            await target.admin.explain(target.entries[0], query)
        except QueryInvalidError as error:
            context.caught = error

    run_with(context, action)
    assert context.caught.code == code
    assert context.caught.hint


@then('the metrics of the owner contain')
def check_metrics(context: Context) -> None:
    """Look for each text in the response."""

    async def action(monitored: MonitoredWorld) -> None:
        node = monitored.world.nodes[OWNER].node
        context.response = AdminApp(node=node).response('/metrics', '')

    run_with(context, action)
    text = context.response.payload.decode()
    for row in context.table:
        assert row['text'] in text, text


@then(
    'the status screen of {count:d} VMs, one without a majority, has at most '
    '{limit:d} lines'
)
def check_size(context: Context, count: int, limit: int) -> None:
    """Make the status screen of a fleet and check its length."""
    nodes = [
        NodeStatus(
            name=f'vm-{number:03}',
            domain='cz-a',
            version='0',
            serving=True,
            quorate=number != count - 1,
            key_id=1,
            records=(RecordStatus(key=f'documents/{number}', revision=1),),
        )
        for number in range(count)
    ]
    records = tuple(record for node in nodes for record in node.records)
    fleet = FleetStatus(
        nodes=tuple(attrs.evolve(node, records=records) for node in nodes),
    )
    context.large_screen = status_screen(fleet).splitlines()
    assert len(context.large_screen) <= limit, len(context.large_screen)


@then('its first line about a VM is the one without a majority')
def check_first(context: Context) -> None:
    """Check the line below the heading."""
    assert 'hears no majority' in context.large_screen[1], context.large_screen
