"""Steps about the isolation of errors in a request."""

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


async def start_world(world: World) -> None:
    """Start one upstream and one entry VM."""
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
    """Send one request; return its failure, None if it succeeded."""
    try:
        await session.request(method, (path,))
    except CallFailedError as error:
        return error
    return None


@given('an unexpected error in every request for "{path}"')
def inject_error(context: Context, path: str) -> None:
    """Replace the dispatch, so that one path raises an error."""
    dispatch = DeadlineDispatcher.dispatch

    async def raise_error(self: object, request: object, **rest: object):  # noqa: ANN202
        if request.path == (path,):
            raise ZeroDivisionError
        return await dispatch(self, request, **rest)

    DeadlineDispatcher.dispatch = raise_error
    context.add_cleanup(setattr, DeadlineDispatcher, 'dispatch', dispatch)


@when('a caller asks for "{first}" and then for "{second}" at that entry VM')
def send_both(context: Context, first: str, second: str) -> None:
    """Send a request that fails and one that does not."""

    async def script() -> None:
        async with open_world(context.seed) as world:
            await start_world(world)
            async with world.session(SERVICE) as session:
                context.first_failed = await call(session, 'POST', first)
                context.next_failed = await call(session, 'POST', second)
            counters = world.nodes[VM].node.counters
            context.error_count = counters.value('request_faults')

    run_seeded(context.seed, script)


@then('the unexpected error is reported as "{verdict}" and "{reason}"')
@then('the relay loop is reported as "{verdict}" and "{reason}"')
def check_failure(context: Context, verdict: str, reason: str) -> None:
    """Check the verdict and reason that the caller received."""
    reported = (
        context.first_failed.verdict.value,
        context.first_failed.reason.value,
    )
    assert reported == (verdict, reason), reported


@then('the entry VM with the unexpected error answers the next request')
@then('the entry VM of the relay loop still serves')
def check_next(context: Context) -> None:
    """Check that the next request succeeded."""
    assert context.next_failed is None, context.next_failed


@then('the entry VM counts {count:d} unexpected error')
def check_count(context: Context, count: int) -> None:
    """Check the counter of unexpected errors."""
    assert context.error_count == count, context.error_count


@attrs.define(kw_only=True)
class LoopingPlacer:
    """Place flows as usual, but name an owner that is among the hops."""

    placer: Placer
    wrong_owner: Member

    def place(self, *arguments: object, **options: object) -> object:
        """Place a new flow as usual."""
        return self.placer.place(*arguments, **options)

    def owner(self, service: str, upstream: object) -> Member:
        """Return a member with the name of this VM."""
        return self.wrong_owner


def make_looping_placer(
    members: MemberView,
    store: DocumentStore,
    rng: Random,
    hints: HintTable,
) -> LoopingPlacer:
    """Make a placer whose owner has this VM's name and another tag."""
    wrong_owner = attrs.evolve(members.local_member, domain='elsewhere')
    placer = make_placer(members, store, rng, hints)
    return LoopingPlacer(
        placer=placer, wrong_owner=UnknownMember.of(wrong_owner)
    )


class UnknownMember(Member):
    """Member with a name among the hops and an unknown tag."""

    @classmethod
    def of(cls, member: Member) -> 'UnknownMember':
        """Copy a member."""
        return cls(
            name=member.name,
            domain=member.domain,
            peer_address=member.peer_address,
        )

    @property
    def tag(self) -> bytes:
        """Return a tag that no member has."""
        return b'none'


@given('an entry VM that always considers another VM the owner')
def set_up_relay_loop(context: Context) -> None:
    """Replace the placer."""
    context.components = Components(placer=make_looping_placer)


@when('a caller posts to it with a cookie of an unknown owner')
def post_into_relay_loop(context: Context) -> None:
    """Post with a valid cookie whose owner and epoch are unknown."""

    async def script() -> None:
        async with open_world(
            context.seed, components=context.components
        ) as world:
            await start_world(world)
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

    run_seeded(context.seed, script)
