"""Steps about faults that stay with their request."""

from random import Random

import attrs
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session
from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.components import Components, make_placer
from burdocksill.flows.cookie import Cookie, address_tag, name_tag
from burdocksill.flows.placement import Placer
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.network.protocols import Address
from burdocksill.requests.dispatch import DeadlineDispatcher
from burdocksill.upstreams.hints import HintTable
from burdocksill_lab.fakes.clock import START
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world

SERVICE = 'kiosk-ledger'
UPSTREAM = 'ledger-1'
VM = 'cz-a-entry-1'


async def start(world: World) -> None:
    """Start one entry VM before one upstream."""
    upstream = world.start_upstream(SERVICE, UPSTREAM, 'cz-a')
    await world.put_document(
        ServiceDocument(
            service=SERVICE,
            team='vratka',
            upstreams=(attrs.evolve(upstream, cold_limit=2),),
        ),
    )
    await world.start_node(VM, 'cz-a')
    await trio.sleep(6)


async def call(
    session: Session,
    method: str,
    path: str,
) -> CallFailedError | None:
    """Send one request; return how it failed."""
    try:
        await session.request(method, (path,))
    except CallFailedError as error:
        return error
    return None


@given('a contained fault in every request for "{path}"')
def break_requests(context: Context, path: str) -> None:
    """Let the dispatch of one path raise an unforeseen error."""
    dispatch = DeadlineDispatcher.dispatch

    async def raise_fault(self: object, request: object, **rest: object):  # noqa: ANN202
        if request.path == (path,):
            raise ZeroDivisionError
        return await dispatch(self, request, **rest)

    DeadlineDispatcher.dispatch = raise_fault
    context.add_cleanup(setattr, DeadlineDispatcher, 'dispatch', dispatch)


@when('a caller asks for "{first}" and then for "{second}" at that entry VM')
def ask_both(context: Context, first: str, second: str) -> None:
    """Ask for what breaks and for what does not."""

    async def story() -> None:
        async with open_world(context.seed) as world:
            await start(world)
            async with world.session(SERVICE) as session:
                context.first_failed = await call(session, 'POST', first)
                context.next_failed = await call(session, 'POST', second)
            counters = world.nodes[VM].node.counters
            context.faults = counters.value('request_faults')

    run_seeded(context.seed, story)


@then('the contained fault is told as "{verdict}" and "{reason}"')
@then('the contained circle is told as "{verdict}" and "{reason}"')
def check_told(context: Context, verdict: str, reason: str) -> None:
    """Check what the caller was told."""
    told = (
        context.first_failed.verdict.value,
        context.first_failed.reason.value,
    )
    assert told == (verdict, reason), told


@then('the entry VM with the contained fault answers the next request')
@then('the entry VM of the contained circle still serves')
def check_next(context: Context) -> None:
    """Check that the VM went on."""
    assert context.next_failed is None, context.next_failed


@then('the entry VM counts {count:d} contained fault')
def check_count(context: Context, count: int) -> None:
    """Check the counter of faults."""
    assert context.faults == count, context.faults


@attrs.define(kw_only=True)
class CirclingPlacer:
    """Place flows as usual, but believe in an owner that was visited."""

    placer: Placer
    ghost: Member

    def place(self, *arguments: object, **options: object) -> object:
        """Place a new flow as usual."""
        return self.placer.place(*arguments, **options)

    def owner(self, service: str, upstream: object) -> Member:
        """Name a VM that every packet seems to come from."""
        return self.ghost


def circling(
    members: MemberView,
    store: DocumentStore,
    rng: Random,
    hints: HintTable,
) -> CirclingPlacer:
    """Make a placer whose owner carries this VM's name and another tag."""
    ghost = attrs.evolve(members.local_member, domain='elsewhere')
    placer = make_placer(members, store, rng, hints)
    return CirclingPlacer(placer=placer, ghost=Ghost.of(ghost))


class Ghost(Member):
    """Carry a name that was visited and a tag of nobody."""

    @classmethod
    def of(cls, member: Member) -> 'Ghost':
        """Make a ghost of a member."""
        return cls(
            name=member.name,
            domain=member.domain,
            peer_address=member.peer_address,
        )

    @property
    def tag(self) -> bytes:
        """Return the tag of nobody."""
        return b'none'


@given('a contained entry VM that always takes another for the owner')
def plan_circle(context: Context) -> None:
    """Swap the placer."""
    context.components = Components(placer=circling)


@when('a caller posts to it with a cookie of an unknown owner')
def post_in_circle(context: Context) -> None:
    """Post with a genuine cookie whose owner and epoch nobody knows."""

    async def story() -> None:
        async with open_world(
            context.seed, components=context.components
        ) as world:
            await start(world)
            node = world.nodes[VM].node
            async with world.session(SERVICE) as session:
                cookie = Cookie(
                    upstream_tag=name_tag(UPSTREAM),
                    owner_tag=b'gone',
                    epoch=b'epoch--1',
                    flow_id=b'flow-1',
                    issued=int(START + trio.current_time()),
                    address_tag=address_tag(Address('10.0.0.9', 1)),
                )
                session.cookie = node.router.sealer.seal(
                    service=SERVICE,
                    cookie=cookie,
                )
                session.cookie_received_at = trio.current_time()
                context.first_failed = await call(session, 'POST', 'returns')
                context.next_failed = await call(session, 'POST', 'returns')

    run_seeded(context.seed, story)
