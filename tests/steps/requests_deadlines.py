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
async def open_slow_upstream(context: Context) -> AsyncGenerator[World, None]:
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
    """Record when the slow upstream has stopped its work."""
    upstream_server = world.upstreams['menu-1']
    upstream_server.work_seconds = WORK_SECONDS
    context.started = trio.current_time()
    seen = False
    for _ in range(int(WORK_SECONDS * 100)):
        await trio.sleep(0.01)
        if seen and not upstream_server.busy:
            context.ended = trio.current_time()
            return
        seen = seen or upstream_server.busy > 0


def make_request(cookie: bytes, timeout_seconds: float) -> CallerRequest:
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
class AnswerRecorder:
    """Store each answer with its time."""

    context: Context

    def handle(self, answer: Answer) -> None:
        """Store one answer."""
        after = trio.current_time() - self.context.started
        self.context.answers.append((answer, after))


def run_plain_caller(
    context: Context,
    timeout_seconds: float,
    send: Callable[[Callable[[bool], None]], Awaitable[None]],
) -> None:
    """Send raw datagrams and store each answer with its time."""

    async def script() -> None:
        async with open_slow_upstream(context) as world:
            async with (
                world.session(SERVICE) as session,
                trio.open_nursery() as nursery,
            ):
                await session.request('GET', ('.well-known', 'x'))
                request = make_request(session.cookie, timeout_seconds)
                nursery.start_soon(watch_end, context, world)
                context.started = trio.current_time()
                context.answers = []

                def transmit(cancels: bool) -> None:
                    """Send the request or its cancellation."""
                    sent = attrs.evolve(request, cancels=cancels)
                    session.socket.send(encode_request(sent), SERVICE_ADDRESS)

                session.pending[request.token] = AnswerRecorder(context=context)
                await send(transmit)
                await trio.sleep(20)
                nursery.cancel_scope.cancel()
            context.ledger = list(world.upstreams['menu-1'].ledger)

    run_seeded(context.seed, script)


@given('a slow upstream behind two entry VMs')
def reset_answers(context: Context) -> None:
    """Reset the collected answers."""
    context.answers = []


@when('a caller gives up on a request after {seconds:d} second')
def time_out(context: Context, seconds: int) -> None:
    """Send a request that times out in our library."""

    async def script() -> None:
        async with open_slow_upstream(context) as world:
            # The session is closed before the world.
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

    run_seeded(context.seed, script)


@when(
    'a plain CoAP caller sends a request with a timeout of {seconds:d} seconds'
)
def send_with_deadline(context: Context, seconds: int) -> None:
    """Send once and wait."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(False)

    run_plain_caller(context, seconds, send)


@when('a plain CoAP caller cancels its request after {seconds:d} seconds')
def send_and_cancel(context: Context, seconds: int) -> None:
    """Send, wait, cancel."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(False)
        await trio.sleep(seconds)
        transmit(True)

    run_plain_caller(context, 0, send)


@when("a plain CoAP caller's cancellation arrives before its request")
def cancel_first(context: Context) -> None:
    """Cancel, then send."""

    async def send(transmit: Callable[[bool], None]) -> None:
        transmit(True)
        await trio.sleep(1)
        transmit(False)

    run_plain_caller(context, 0, send)


@then('the slow upstream stopped within a second of it')
def check_reset(context: Context) -> None:
    """Compare the end of the work with the end of the wait."""
    ((_, after),) = context.answers
    assert context.ended - context.started <= after + 1, after


@then('the slow upstream received a timeout of at most {seconds:d} second')
def check_timeout(context: Context, seconds: int) -> None:
    """Check the timeout header that the upstream received."""
    (reported,) = (
        entry.timeout_ms for entry in context.ledger if entry.method == 'POST'
    )
    assert 0 < reported <= seconds * 1000, reported


@then('the final answer is {code} as "{verdict}" after {seconds:d} seconds')
def check_answer(
    context: Context, code: str, verdict: str, seconds: int
) -> None:
    """Check the verdict that the caller received, and when."""
    ((answer, after),) = context.answers
    assert (answer.code, answer.verdict) == (code, verdict), answer
    assert seconds <= after < seconds + 0.1, after


@then('the final answer has a retry delay')
def check_retry_delay(context: Context) -> None:
    """Check Max-Age."""
    ((answer, _),) = context.answers
    assert answer.max_age_seconds


@then('both answers are {code} as "{verdict}"')
def check_both(context: Context, code: str, verdict: str) -> None:
    """Check that a refused token stays refused."""
    reported = {(answer.code, answer.verdict) for answer, _ in context.answers}
    assert reported == {(code, verdict)}, reported
    assert len(context.answers) == 2


@then('the slow upstream has run no request')
def check_nothing(context: Context) -> None:
    """Check that the upstream has run no POST."""
    assert not [entry for entry in context.ledger if entry.method == 'POST']
