"""Steps about malformed datagrams."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import attrs
import hypothesis
import hypothesis.strategies as st
import trio
from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.models import ServiceDocument
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address
from burdocksill.requests.codec import (
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import SERVICE_ADDRESS, World, open_world

SERVICE = 'kiosk-ledger'

REQUEST = CallerRequest(
    service=SERVICE,
    method='POST',
    token=b'token',
    message_id=1,
    confirmable=True,
    path=('returns', '7'),
    query=('day=1',),
    payload=b'40 copies',
    cookie=bytes(40),
    timeout_seconds=2,
    observe=0,
    block1=Block(number=1),
    block2=Block(number=2),
    etag=b'etag',
    request_tag=b'tag',
    size1=4000,
    content_format=0,
    wants_hops=True,
)
REFUSAL = Answer(
    code='SERVICE_UNAVAILABLE',
    verdict=Verdict.NOT_RUN,
    reason=Reason.OVERLOADED,
    message='busy',
    max_age_seconds=3,
    cookie=bytes(40),
    observe=5,
    block2=Block(number=0, more=True),
    size2=9000,
    etag=b'etag',
    hops=('entry-1', 'ledger-1'),
)


@attrs.frozen
class Mutation:
    """Hold one mutation of a well-formed datagram."""

    at: int
    drop: int
    insert: bytes

    def apply(self, whole: bytes) -> bytes:
        """Return the mutated datagram."""
        at = self.at % (len(whole) + 1)
        return whole[:at] + self.insert + whole[at + self.drop :]


def fuzzed(whole: bytes) -> st.SearchStrategy[bytes]:
    """Generate random bytes and mutated well-formed datagrams."""
    mutation = st.builds(
        Mutation,
        st.integers(0, len(whole)),
        st.integers(0, 6),
        st.binary(max_size=6),
    )
    mutated = st.lists(mutation, max_size=4).map(
        lambda mutations: apply_all(whole, mutations)
    )
    return st.one_of(st.binary(max_size=80), mutated)


def apply_all(whole: bytes, mutations: list[Mutation]) -> bytes:
    """Apply several mutations in order."""
    for mutation in mutations:
        whole = mutation.apply(whole)
    return whole


def bounded(count: int) -> hypothesis.settings:
    """Return settings for the same examples on every run."""
    return hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        # Shrinking a failure takes minutes; the seed reproduces it anyway.
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@asynccontextmanager
async def open_ledger(context: Context) -> AsyncGenerator[World, None]:
    """Open one entry VM with one upstream."""
    async with open_world(context.seed) as world:
        upstream = world.start_upstream(SERVICE, 'ledger-1', 'cz-a')
        await world.put_document(
            ServiceDocument(
                service=SERVICE, team='vratka', upstreams=(upstream,)
            ),
        )
        await world.start_node('entry-1', 'cz-a')
        await trio.sleep(2)
        yield world


@given('an entry VM that receives any bytes')
def reset_received(context: Context) -> None:
    """Reset the received datagrams."""
    context.received = []


@when('the bytes "{sent}" arrive')
def send_bytes(context: Context, sent: str) -> None:
    """Send one datagram and store the answers."""

    async def script() -> None:
        async with open_ledger(context) as world:
            socket = world.network.bind(Address(world.new_host(), 5000))
            socket.send(bytes.fromhex(sent), SERVICE_ADDRESS)
            with trio.move_on_after(1):
                while True:
                    for datagram in await socket.receive():
                        context.received.append(datagram.payload)

    run_seeded(context.seed, script)


@then('the bytes are answered by "{answer}"')
def check_bytes(context: Context, answer: str) -> None:
    """Compare the answer with the expected bytes or code."""
    if answer == 'none':
        assert context.received == []
    elif answer[0].isdigit():
        assert context.received == [bytes.fromhex(answer)], context.received
    else:
        (payload,) = context.received
        _, decoded = decode_answer(payload)
        assert (decoded.code, decoded.verdict) == (answer, Verdict.NOT_RUN), (
            decoded
        )


@when('{count:d} fuzzed datagrams are decoded')
def fuzz_requests(context: Context, count: int) -> None:
    """Decode datagrams that callers could send."""
    context.others = []

    @bounded(count)
    @hypothesis.given(fuzzed(encode_request(REQUEST)))
    def decode(payload: bytes) -> None:
        try:
            decode_request(payload)
        except BurdocksillError as error:
            assert error.code.startswith('burdocksill.E4')

    decode()


@when('{count:d} fuzzed answers are decoded')
def fuzz_answers(context: Context, count: int) -> None:
    """Decode datagrams that callers could receive."""
    context.others = []

    @bounded(count)
    @hypothesis.given(fuzzed(encode_answer(REQUEST, REFUSAL)))
    def decode(payload: bytes) -> None:
        try:
            decode_answer(payload)
        except BurdocksillError as error:
            assert error.code.startswith('burdocksill.E4')

    decode()


@then('each fuzzed datagram is a request, or refused with a defined error')
def check_decoded(context: Context) -> None:
    """Check nothing more: another error would have failed the step before."""
    assert context.others == []


@when('{count:d} bursts of fuzzed datagrams reach a node')
def fuzz_node(context: Context, count: int) -> None:
    """Send bursts, some with a valid cookie, and record the node's state."""
    context.left = []
    context.answered = []
    context.counted = 0
    marked = encode_request(attrs.evolve(REQUEST, block1=None, block2=None))

    async def story(burst: list[bytes]) -> None:
        async with open_ledger(context) as world:
            running = world.nodes['entry-1']
            nursery = running.node.router.nursery
            before = len(nursery.child_tasks)
            async with world.session(SERVICE) as session:
                await session.request('GET', ('counts',))
                for payload in burst:
                    with_cookie = payload.replace(bytes(40), session.cookie)
                    session.socket.send(with_cookie, SERVICE_ADDRESS)
                # Longer than any deadline, lease and retransmission.
                await trio.sleep(200)
                context.left.append(len(nursery.child_tasks) - before)
                answer = await session.request('POST', ('returns',))
                context.answered.append(answer.code)
            counters = running.node.counters
            context.counted += counters.value('malformed_datagrams')

    # Hypothesis derives its examples from the source of this function, so
    # another name in it would change them.
    @bounded(count)
    @hypothesis.given(
        st.lists(
            st.one_of(fuzzed(encode_request(REQUEST)), fuzzed(marked)),
            min_size=20,
            max_size=40,
        )
    )
    def send(burst: list[bytes]) -> None:
        run_seeded(context.seed, lambda: story(burst))

    send()


@then('the fuzzed node still serves, without a task left behind')
def check_node(context: Context) -> None:
    """Check the tasks and the answer after every burst."""
    assert set(context.left) == {0}, context.left
    assert set(context.answered) == {'CHANGED'}, context.answered


@then('the fuzzed node has counted malformed datagrams')
def check_counted(context: Context) -> None:
    """Check that the counter has increased."""
    assert context.counted > 0
