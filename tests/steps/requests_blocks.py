"""Steps about blocks of answers and bodies."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from random import Random

import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.documents.models import ServiceDocument
from burdocksill.platform import keys
from burdocksill.requests.blocks import BodyAssembler, EtagAnswerStore
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.stand_ins.statements import run_of, statement

SERVICE = 'statement-desk'
FLOW = b'flow-1'
# Refusals to retry: there is no owner yet, or it is in a cold start.
RETRIED_REASONS = {
    Reason.NO_UPSTREAM,
    Reason.UPSTREAM_COLD,
    Reason.UPSTREAM_DOWN,
}


@asynccontextmanager
async def open_upstream(context: Context) -> AsyncGenerator[World, None]:
    """Open three entry VMs of one domain with one upstream."""
    async with open_world(context.seed) as world:
        upstream = world.start_upstream(SERVICE, 'desk-1', 'cz-a')
        await world.put_document(
            ServiceDocument(
                service=SERVICE, team='vratka', upstreams=(upstream,)
            ),
        )
        for number in range(3):
            await world.start_node(f'entry-{number}', 'cz-a')
        await trio.sleep(2)
        yield world


async def call(context: Context, world: World, method: str, size: int) -> None:
    """Send one request and store its answer or failure."""
    path = ('statements', f'{size}') if method == 'GET' else ('returns',)
    payload = b'' if method == 'GET' else bytes(size)
    async with world.session(SERVICE) as session:
        while context.answer is None and context.failure is None:
            try:
                context.answer = await session.request(
                    method, path, payload=payload, timeout_seconds=30
                )
            except CallFailedError as failure:
                # The next owner needs a moment; the caller retries after it.
                if failure.reason in RETRIED_REASONS:
                    await trio.sleep(failure.retry_after_seconds)
                else:
                    context.failure = failure
    context.ledger = world.upstreams['desk-1'].ledger
    context.size = size


@given('a block-wise upstream behind three entry VMs')
def reset_outcome(context: Context) -> None:
    """Reset the answer and the failure."""
    context.answer = None
    context.failure = None


@when('a block-wise caller fetches {size:d} bytes')
def fetch(context: Context, size: int) -> None:
    """Fetch a statement."""

    async def script() -> None:
        async with open_upstream(context) as world:
            await call(context, world, 'GET', size)

    run_seeded(context.seed, script)


@when('a block-wise caller posts {size:d} bytes')
def post(context: Context, size: int) -> None:
    """Post a body."""

    async def script() -> None:
        async with open_upstream(context) as world:
            await call(context, world, 'POST', size)

    run_seeded(context.seed, script)


@when('a block-wise caller fetches {size:d} bytes while their owner dies')
def fetch_while_owner_dies(context: Context, size: int) -> None:
    """Kill the VM that stores the answer after some blocks."""

    async def kill_owner(world: World) -> None:
        await trio.sleep(0.1)
        (name,) = (
            name
            for name, running in world.nodes.items()
            if running.node.router.transfers.answers.fetching_count()
        )
        world.kill_node(name)
        world.platform.current.pop(keys.VMS + name)

    async def script() -> None:
        async with (
            open_upstream(context) as world,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(kill_owner, world)
            await call(context, world, 'GET', size)

    run_seeded(context.seed, script)


@when('a block-wise caller posts for {size:d} bytes while their owner stops')
def fetch_while_stopping(context: Context, size: int) -> None:
    """Stop the VM that stores the answer while blocks are fetched."""

    async def stop_owner(world: World) -> None:
        await trio.sleep(0.3)
        (name,) = (
            name
            for name, running in world.nodes.items()
            if running.node.router.transfers.answers.fetching_count()
        )
        await world.stop_node(name)

    async def script() -> None:
        async with (
            open_upstream(context) as world,
            world.session(SERVICE) as session,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(stop_owner, world)
            context.answer = await session.request(
                'POST', ('statements', f'{size}'), timeout_seconds=30
            )
            context.ledger = world.upstreams['desk-1'].ledger
            context.size = size

    run_seeded(context.seed, script)


@then('the block-wise upstream has run one request')
def check_one_run(context: Context) -> None:
    """Check that the upstream has run one request."""
    assert len(context.ledger) == 1


@then('the block-wise answer is complete')
def check_whole(context: Context) -> None:
    """Compare with the answer of one run of the upstream."""
    assert context.answer is not None, context.failure
    run = run_of(context.answer.payload)
    expected = statement(by='desk-1', run=run, size=context.size)
    assert context.answer.payload == expected.encode()


@then('the block-wise upstream has run the complete body once')
def check_ran_once(context: Context) -> None:
    """Check the size of the body that the upstream has run."""
    assert [len(entry.payload) for entry in context.ledger] == [context.size]
    assert context.answer is not None, context.failure


@then('the block-wise call fails as "{reason}" and "{verdict}"')
def check_failure(context: Context, reason: str, verdict: str) -> None:
    """Check how the call ended."""
    assert context.failure is not None
    assert (context.failure.reason, context.failure.verdict) == (
        reason,
        verdict,
    )
    ran = bool(context.ledger)
    assert ran == (context.failure.verdict is Verdict.RAN)


@given('a block-wise store of {limit:d} bytes')
def make_store(context: Context, limit: int) -> None:
    """Create a store whose headroom is 2/5 of its limit."""
    context.store = EtagAnswerStore(
        rng=Random(1), limit_bytes=limit, headroom_bytes=limit * 2 // 5
    )
    context.blocks = []


def get(**extra: object) -> CallerRequest:
    """Make a request as a caller would."""
    return CallerRequest(
        service=SERVICE,
        method='GET',
        token=b'token',
        message_id=1,
        confirmable=False,
        **extra,  # type: ignore[arg-type]
    )


@when('block-wise answers of {size:d} bytes are stored until one is refused')
def fill(context: Context, size: int) -> None:
    """Store answers until the store refuses one."""
    answer = Answer(code='CONTENT', verdict=Verdict.RAN, payload=bytes(size))

    async def script() -> None:
        try:
            while True:
                context.store.require_capacity()
                context.blocks.append(
                    context.store.first_block(FLOW, get(), answer)
                )
        except RequestFailedError as refused:
            context.refused = refused

    run_seeded(context.seed, script)


@then(
    'the block-wise store held {count:d} answers and refused as '
    '"{reason}" and "{verdict}"'
)
def check_refused_answer(
    context: Context, count: int, reason: str, verdict: str
) -> None:
    """Check the refusal."""
    assert len(context.blocks) == count
    assert context.refused.reason == reason
    assert context.refused.verdict == verdict


@when('the stored block-wise answers are fetched')
def fetch_stored(context: Context) -> None:
    """Fetch the last block of each answer."""

    async def script() -> None:
        for first in context.blocks:
            last = Block(number=(first.size2 - 1) // 1024)
            block = context.store.later_block(
                FLOW, get(block2=last, etag=first.etag)
            )
            assert block.etag == first.etag

    run_seeded(context.seed, script)


@then('the block-wise store has space again')
def check_space(context: Context) -> None:
    """Check that a request would not be refused."""

    async def script() -> None:
        context.store.require_capacity()
        assert context.store.fetching_count() == 0

    run_seeded(context.seed, script)


@given('a body of {count:d} blocks')
def make_body(context: Context, count: int) -> None:
    """Make a body whose last block is short."""
    context.body = Random(1).randbytes((count - 1) * 1024 + 10)


@when('its blocks arrive in the order {order}')
def assemble_blocks(context: Context, order: str) -> None:
    """Add the blocks; the last one completes the body."""
    assembler = BodyAssembler()
    numbers = [int(word) for word in order.split()]

    async def script() -> None:
        for number in numbers[:-1]:
            assembler.add(FLOW, block(context.body, number))
        try:
            done = assembler.complete(FLOW, block(context.body, numbers[-1]))
            context.assembled = done.payload
        except RequestFailedError as refused:
            context.refused = refused
        assert assembler.used_bytes == 0

    run_seeded(context.seed, script)


def block(body: bytes, number: int) -> CallerRequest:
    """Make the request that carries one block."""
    payload = body[number * 1024 : (number + 1) * 1024]
    more = (number + 1) * 1024 < len(body)
    return get(
        payload=payload,
        block1=Block(number=number, more=more),
        request_tag=b'tag',
    )


@then('the body is assembled completely')
def check_body(context: Context) -> None:
    """Compare the bodies."""
    assert context.assembled == context.body


@then('the body is refused as "{reason}"')
def check_body_refused(context: Context, reason: str) -> None:
    """Check the refusal and its verdict."""
    assert context.refused.reason == reason
    assert context.refused.verdict is Verdict.NOT_RUN
