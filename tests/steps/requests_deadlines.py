"""Steps about deadlines and cancellation."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.documents.models import ServiceDocument
from burdocksill.requests.codec import encode_request
from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import SERVICE_ADDRESS, World, open_world

SERVICE = 'menu-publisher'
WORK_SECONDS = 60.0


@asynccontextmanager
async def open_publisher(context: Context) -> AsyncGenerator[World, None]:
    """Open two entry VMs with an upstream that takes a minute."""
    async with open_world(context.seed) as world:
        upstream = world.start_upstream(SERVICE, 'menu-1', 'quito-a')
        await world.put_document(
            ServiceDocument(
                service=SERVICE, team='vecinas', upstreams=(upstream,)
            ),
        )
        for number in range(2):
            await world.start_node(f'entry-{number}', 'quito-a')
        await trio.sleep(5)
        yield world


async def watch_end(context: Context, world: World) -> None:
    """Note when the publisher has stopped its work."""
    publisher = world.upstreams['menu-1']
    publisher.work_seconds = WORK_SECONDS
    context.started = trio.current_time()
    seen = False
    for _ in range(int(WORK_SECONDS * 100)):
        await trio.sleep(0.01)
        if seen and not publisher.busy:
            context.ended = trio.current_time()
            return
        seen = seen or publisher.busy > 0


def stock_request(cookie: bytes, timeout_seconds: float) -> CallerRequest:
    """Make the request of a caller that does not use our library."""
    return CallerRequest(
        service=SERVICE,
        method='POST',
        token=b'tok',
        message_id=9,
        confirmable=False,
        path=('sheets',),
        cookie=cookie,
        timeout_seconds=timeout_seconds,
    )


@attrs.define(kw_only=True)
class Notes:
    """Keep each answer that carries a token, with its time."""

    context: Context

    def take(self, answer: Answer) -> None:
        """Keep one answer."""
        after = trio.current_time() - self.context.started
        self.context.answers.append((answer, after))


def run_stock(
    context: Context,
    timeout_seconds: float,
    send: Callable[[Callable[[bool], None]], Awaitable[None]],
) -> None:
    """Send datagrams by hand and note each answer with its time."""

    async def story() -> None:
        async with open_publisher(context) as world:
            async with (
                world.session(SERVICE) as session,
                trio.open_nursery() as nursery,
            ):
                await session.request('GET', ('.well-known', 'x'))
                request = stock_request(session.cookie, timeout_seconds)
                nursery.start_soon(watch_end, context, world)
                context.started = trio.current_time()
                context.answers = []

                def transmit(cancels: bool) -> None:
                    """Send the request or its cancellation."""
                    sent = attrs.evolve(request, cancels=cancels)
                    session.socket.send(encode_request(sent), SERVICE_ADDRESS)

                session.pending[request.token] = Notes(context=context)
                await send(transmit)
                await trio.sleep(20)
                nursery.cancel_scope.cancel()
            context.ledger = list(world.upstreams['menu-1'].ledger)

    run_seeded(context.seed, story)


@given('a slow publisher behind two entry VMs')
def plan_publisher(context: Context) -> None:
    """Start without an outcome."""
    context.answers = []


@when('a caller gives up on a request after {seconds:d} second')
def give_up(context: Context, seconds: int) -> None:
    """Let our library give up."""

    async def story() -> None:
        async with open_publisher(context) as world:
            # The session ends first, and the world after it.
            async with (
                world.session(SERVICE) as session,
                trio.open_nursery() as nursery,
            ):
                await session.request('GET', ('.well-known', 'x'))
                nursery.start_soon(watch_end, context, world)
                try:
                    await session.request(
                        'POST', ('sheets',), timeout_seconds=seconds
                    )
                except CallFailedError as failure:
                    context.failure = failure
                context.answers = [(None, seconds)]
                await trio.sleep(2)
                nursery.cancel_scope.cancel()
            context.ledger = list(world.upstreams['menu-1'].ledger)

    run_seeded(context.seed, story)


@when('a stock caller sends a request with {seconds:d} seconds to go')
def send_with_deadline(context: Context, seconds: int) -> None:
    """Send once and wait."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(False)

    run_stock(context, seconds, send)


@when('a stock caller cancels its request after {seconds:d} seconds')
def send_and_cancel(context: Context, seconds: int) -> None:
    """Send, wait, cancel."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(False)
        await trio.sleep(seconds)
        transmit(True)

    run_stock(context, 0, send)


@when("a stock caller's cancellation arrives before its request")
def cancel_first(context: Context) -> None:
    """Cancel, then send."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(True)
        await trio.sleep(1)
        transmit(False)

    run_stock(context, 0, send)


@then('the slow publisher was reset within a second of it')
def check_reset(context: Context) -> None:
    """Compare the end of the work with the end of the wait."""
    ((_, after),) = context.answers
    assert context.ended - context.started <= after + 1, after


@then('the slow publisher was told a deadline of at most {seconds:d} second')
def check_told(context: Context, seconds: int) -> None:
    """Check the header."""
    (told,) = (
        entry.timeout_ms for entry in context.ledger if entry.method == 'POST'
    )
    assert 0 < told <= seconds * 1000, told


@then(
    'the deadline\'s answer is {code} as "{verdict}" after {seconds:d} seconds'
)
def check_answer(
    context: Context, code: str, verdict: str, seconds: int
) -> None:
    """Check what the caller was told, and when."""
    ((answer, after),) = context.answers
    assert (answer.code, answer.verdict) == (code, verdict), answer
    assert seconds <= after < seconds + 0.1, after


@then("the deadline's answer says when to come back")
def check_come_back(context: Context) -> None:
    """Check Max-Age."""
    ((answer, _),) = context.answers
    assert answer.max_age_seconds


@then('both deadline\'s answers are {code} as "{verdict}"')
def check_both(context: Context, code: str, verdict: str) -> None:
    """Check that a refused token stays refused."""
    told = {(answer.code, answer.verdict) for answer, _ in context.answers}
    assert told == {(code, verdict)}, told
    assert len(context.answers) == 2


@then('the slow publisher has run nothing')
def check_nothing(context: Context) -> None:
    """Look into the ledger."""
    assert not [entry for entry in context.ledger if entry.method == 'POST']
