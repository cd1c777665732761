"""Steps about the admin interface; stories run in one world each."""

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
from burdocksill.management.commands.explain import ask
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
Act = Callable[['Watched'], Awaitable[None]]


class WorldTransport(httpx.AsyncBaseTransport):
    """Carry admin requests to the nodes of a world that live."""

    def __init__(self, world: World) -> None:
        """Look the nodes up at each request: they come and go."""
        self.world = world

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Call the node's application, or refuse the connection."""
        for running in self.world.nodes.values():
            if running.host == request.url.host:
                app = AdminApp(node=running.node)
                transport = httpx.ASGITransport(app=app)
                return await transport.handle_async_request(request)
        raise httpx.ConnectError('refused')


def no_platform(url: str) -> Platform:
    """Stand for a platform in an outage."""
    raise PlatformUnavailableError(message='down')


class Watched:
    """Hold a world with an operator who looks at it."""

    def __init__(self, world: World, context: Context) -> None:
        """Name the first VM that the operator knows."""
        self.world = world
        self.context = context

    def target(self, domain: str) -> Target:
        """Return an operator's target: one VM, and no platform."""
        host = self.world.nodes[f'{domain}-entry-1'].host
        return Target(
            entries=(Address(host, ADMIN_PORT),),
            connect=no_platform,
            admin=AdminClient(transport=WorldTransport(self.world)),
        )


@given('a watched fleet of three entry VMs and three upstreams')
def plan(context: Context) -> None:
    """Collect what happens; the story runs at the first look."""
    context.acts = []


def tell(context: Context, act: Act) -> None:
    """Run the story so far with one more act at its end."""
    context.acts.append(act)

    async def story() -> None:
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
            # Long enough for every VM to have met the others.
            await trio.sleep(SETTLE_SECONDS)
            watched = Watched(world, context)
            for each in context.acts:
                await each(watched)

    run_seeded(context.seed, story)


@when('the platform goes down and the VM in "{domain}" dies')
def kill(context: Context, domain: str) -> None:
    """Kill a VM; the operator's target never has a platform."""

    async def act(watched: Watched) -> None:
        watched.world.kill_node(f'{domain}-entry-1')

    context.acts.append(act)


@when('status is asked of the VM in "{domain}"')
def ask_status(context: Context, domain: str) -> None:
    """Keep what the fleet tells."""

    async def act(watched: Watched) -> None:
        context.fleet = await watched.target(domain).fleet()

    tell(context, act)


@then('status shows {count:d} VMs that answer and "{name}" that does not')
def check_vms(context: Context, count: int, name: str) -> None:
    """Compare the VMs."""
    assert len(context.fleet.nodes) == count
    assert context.fleet.silent == (name,), context.fleet.silent


@then('status shows "{service}" revision and owner')
def check_records(context: Context, service: str) -> None:
    """Look for the document and for who owns its first upstream."""
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


@when('a watched caller sends {count:d} requests')
def send(context: Context, count: int) -> None:
    """Send requests until the first upstream's flow is the caller's."""

    async def act(watched: Watched) -> None:
        while True:
            async with watched.world.session('kiosk-ledger') as session:
                first = await session.request('GET', ('confirmations',))
                if first.hops[-1] != 'ledger-1':
                    continue
                for _ in range(count - 1):
                    await session.request('GET', ('confirmations',))
                context.cookie = session.cookie
                return

    context.acts.append(act)


@when('its cookie is explained')
def explain_cookie(context: Context) -> None:
    """Ask all VMs about the caller's cookie."""

    async def act(watched: Watched) -> None:
        query = ExplainQuery(cookie=context.cookie.hex())
        context.told = await ask(watched.target('cz-b'), query)

    tell(context, act)


@then('the explanation names upstream "{upstream}" and owner "{owner}"')
def check_cookie(context: Context, upstream: str, owner: str) -> None:
    """Compare what the cookie says."""
    assert context.told.cookie.upstream == upstream
    assert context.told.cookie.owner == owner


@then('the explanation tells of {count:d} answers that ran')
def check_decisions(context: Context, count: int) -> None:
    """Count the answers of the flow."""
    ran = [line for line in context.told.decisions if line.verdict == 'ran']
    assert len(ran) == count, context.told.decisions
    times = [line.at for line in context.told.decisions]
    assert times == sorted(times)


@then('the explanation begins with where the flow was placed')
def check_placed(context: Context) -> None:
    """Compare the first decision, of the VM that got the first packet."""
    first = context.told.decisions[0]
    assert first.step == Step.PLACED.value, first
    assert (first.upstream, first.peer) == ('ledger-1', OWNER), first


@when('a watched caller asks for an unknown service')
def ask_unknown(context: Context) -> None:
    """Send one request that no document fits."""

    async def act(watched: Watched) -> None:
        async with watched.world.session('nobody-knows') as session:
            with suppress(CallFailedError):
                await session.request('GET', ('x',))
        context.metrics = ''.join(
            running.node.counters.render()
            for running in watched.world.nodes.values()
        )

    context.acts.append(act)


@then('status counts a refusal "{reason}"')
def check_refusal(context: Context, reason: str) -> None:
    """Look for the reason on any VM."""
    reasons = [
        line.reason for node in context.fleet.nodes for line in node.refusals
    ]
    assert reasons == [reason], reasons


@then('no metric names the unknown service')
def check_labels(context: Context) -> None:
    """Look for the name that the caller made up."""
    assert 'nobody-knows' not in context.metrics
    assert 'reason="service-unknown"' in context.metrics


@then('explaining "{token}" fails with "{code}"')
def check_query(context: Context, token: str, code: str) -> None:
    """Expect the interface's own error."""

    async def act(watched: Watched) -> None:
        target = watched.target('cz-b')
        query = ExplainQuery(tokens=(token,))
        try:
            await target.admin.explain(target.entries[0], query)
        except QueryInvalidError as error:
            context.caught = error

    tell(context, act)
    assert context.caught.code == code
    assert context.caught.hint


@then('metrics of the owner hold')
def check_metrics(context: Context) -> None:
    """Look for each text on the page."""

    async def act(watched: Watched) -> None:
        node = watched.world.nodes[OWNER].node
        context.page = AdminApp(node=node).page('/metrics', '')

    tell(context, act)
    text = context.page.payload.decode()
    for row in context.table:
        assert row['text'] in text, text


@then(
    'the status screen of {count:d} VMs, one of them cut off, has at most '
    '{limit:d} lines'
)
def check_size(context: Context, count: int, limit: int) -> None:
    """Write the screen of a made-up fleet."""
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


@then('its first line about a VM is the one that was cut off')
def check_first(context: Context) -> None:
    """Look below the heading."""
    assert 'hears no majority' in context.large_screen[1], context.large_screen
