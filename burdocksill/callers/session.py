"""A caller's session with one service."""

import itertools
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.roundtrip import RoundTrip
from burdocksill.callers.transfers import (
    BLOCK_BYTES,
    AnswerFetch,
    BlockTransfer,
    BodySend,
)
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address, DatagramSocket, Network
from burdocksill.requests.codec import decode_answer, encode_request
from burdocksill.requests.messages import (
    COOKIE_PATH,
    Answer,
    Block,
    CallerRequest,
)
from burdocksill.requests.verdict import Reason, Verdict

TOKEN_BYTES: Final = 8
MESSAGE_IDS: Final = 65536
DEFAULT_TIMEOUT_SECONDS: Final = 10.0
# Refused requests that may be sent anew wait up to this long, doubled each
# time: a fleet that is being changed may send a flow on several times.
FIRST_PAUSE_SECONDS: Final = 0.02
LONGEST_PAUSE_SECONDS: Final = 1.0
# Before a request that is not idempotent, an older cookie is exchanged: its
# owner may be gone, and nobody could then say that the request was not run.
FRESH_COOKIE_SECONDS: Final = 60.0
# How often an idempotent request starts again when blocks of it are lost.
FETCH_ATTEMPTS: Final = 3
UNAUTHORIZED: Final = 'UNAUTHORIZED'
# A request refused for these was not run and may be sent anew at once.
REPEATED_REASONS: Final = frozenset(
    (
        Reason.COOKIE_NEEDED,
        Reason.COOKIE_INVALID,
        Reason.COOKIE_EXPIRED,
        Reason.BODY_INCOMPLETE,
        Reason.ADDRESS_CHANGED,
    )
)
# Who knew the request is gone; an idempotent one may run elsewhere.
DEAD_COOKIE_REASONS: Final = frozenset(
    (Reason.OWNER_LOST, Reason.EPOCH_CLOSED, Reason.COOKIE_INVALID)
)


class AnswerTaker(Protocol):
    """Take the answers that carry one token."""

    def take(self, answer: Answer) -> None:
        """Take one answer."""


@attrs.define(kw_only=True)
class PendingCall:
    """Wait for the answer that carries one token."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answer: Answer | None = None

    def take(self, answer: Answer) -> None:
        """Take the answer and wake the caller."""
        self.answer = answer
        self.arrived.set()


@attrs.define(kw_only=True)
class Session:
    """Send requests of one flow; a request is repeated only as it was."""

    service: str
    server: Address
    socket: DatagramSocket
    rng: Random
    wants_hops: bool = False
    cookie: bytes = b''
    cookie_received_at: float = 0
    pending: dict[bytes, AnswerTaker] = attrs.field(factory=dict)
    block_trip: RoundTrip = attrs.field(factory=RoundTrip)

    async def run(self) -> None:
        """Receive answers until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.take(datagram.payload)

    def take(self, payload: bytes) -> None:
        """Match an answer with its call; late copies match none."""
        try:
            token, answer = decode_answer(payload)
        except BurdocksillError:
            return
        call = self.pending.get(token)
        if call is not None:
            call.take(answer)

    async def request(
        self,
        method: str,
        path: tuple[str, ...],
        *,
        payload: bytes = b'',
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> Answer:
        """Return the whole answer, or raise CallFailedError.

        The timeout holds for the first block of the answer, and again for
        each later one.
        """
        for _ in range(FETCH_ATTEMPTS):
            request = self.new_request(method, path, payload, timeout_seconds)
            request, first = await self.first_block(request)
            answer = await self.later_blocks(request, settle(first))
            lost = answer.reason is not None
            if not lost or not request.idempotent:
                break
        return settle(answer)

    async def first_block(
        self, request: CallerRequest
    ) -> tuple[CallerRequest, Answer]:
        """Return the request that was answered and its answer."""
        verdict = Verdict.NOT_RUN
        # Once an owner was lost with a copy, no later refusal undoes that.
        least = Verdict.NOT_RUN
        with trio.move_on_after(request.timeout_seconds):
            for refusals in itertools.count():
                await self.freshen_cookie(request)
                request = self.renew(request)
                # Nobody dispatches a request that has no cookie.
                if request.cookie:
                    verdict = Verdict.MAY_HAVE_RUN
                answer = await self.send_body(request)
                self.keep_cookie(answer)
                if answer.verdict is Verdict.MAY_HAVE_RUN:
                    least = Verdict.MAY_HAVE_RUN
                elif answer.verdict is Verdict.NOT_RUN:
                    answer = attrs.evolve(answer, verdict=least)
                if not may_repeat(request, answer):
                    return request, answer
                verdict = least
                await trio.sleep(self.pause_seconds(refusals))
        raise CallFailedError(
            verdict=verdict,
            reason=Reason.DEADLINE_PASSED,
            message=f'no answer within {request.timeout_seconds} s',
        )

    def pause_seconds(self, refusals: int) -> float:
        """Return how long to wait after so many refusals; none at first."""
        longest = FIRST_PAUSE_SECONDS * refusals * 2 ** min(refusals, 8)
        return self.rng.uniform(0, min(longest, LONGEST_PAUSE_SECONDS))

    async def later_blocks(
        self, request: CallerRequest, first: Answer
    ) -> Answer:
        """Return an answer with the blocks that follow its first."""
        if first.block2 is None or not first.block2.more:
            return first
        fetch = AnswerFetch(
            request=request,
            first=first,
            new_token=self.with_new_token,
        )
        transfer = BlockTransfer(
            attempt=self.attempt,
            make_request=fetch.make_request,
            accept=fetch.accept,
            timeout_seconds=request.timeout_seconds,
            roundtrip=self.block_trip,
        )
        failure = await transfer.run(fetch.numbers())
        if failure is None:
            return fetch.whole()
        # The first block has proved that the request ran.
        return attrs.evolve(
            failure, verdict=Verdict.RAN, reason=Reason.ANSWER_LOST
        )

    async def send_body(self, request: CallerRequest) -> Answer:
        """Send a request; a large body goes in blocks."""
        if len(request.payload) <= BLOCK_BYTES:
            return await self.attempt(request, RoundTrip())
        body = BodySend(
            request=attrs.evolve(
                request, request_tag=self.rng.randbytes(TOKEN_BYTES)
            ),
            new_token=self.with_new_token,
        )
        transfer = BlockTransfer(
            attempt=self.attempt,
            make_request=body.make_request,
            accept=body.accept,
            timeout_seconds=request.timeout_seconds,
            roundtrip=self.block_trip,
        )
        # The first block goes alone: it is refused when a cookie is needed.
        failure = await transfer.carry(Block(number=0))
        failure = failure or await transfer.run(range(1, body.last))
        if failure is not None:
            return attrs.evolve(failure, verdict=Verdict.NOT_RUN)
        return await self.attempt(body.final_request(), RoundTrip())

    async def freshen_cookie(self, request: CallerRequest) -> None:
        """Exchange an ageing cookie before a request that may run once."""
        age = trio.current_time() - self.cookie_received_at
        if request.idempotent or not self.cookie or age < FRESH_COOKIE_SECONDS:
            return
        exchange = self.new_request('GET', COOKIE_PATH, b'', 0)
        self.keep_cookie(await self.attempt(exchange, RoundTrip()))

    def keep_cookie(self, answer: Answer) -> None:
        """Keep the cookie of an answer for the requests to come."""
        if answer.cookie or answer.reason is not None:
            # A refusal without a cookie says that the one we hold leads
            # nowhere any more: the next request starts afresh.
            self.cookie = answer.cookie
            self.cookie_received_at = trio.current_time()

    def new_request(
        self,
        method: str,
        path: tuple[str, ...],
        payload: bytes,
        timeout_seconds: float,
    ) -> CallerRequest:
        """Make a request with a token of its own."""
        return CallerRequest(
            service=self.service,
            method=method,
            token=self.rng.randbytes(TOKEN_BYTES),
            message_id=self.rng.randrange(MESSAGE_IDS),
            confirmable=False,
            path=path,
            payload=payload,
            cookie=self.cookie,
            timeout_seconds=timeout_seconds,
            wants_hops=self.wants_hops,
        )

    def with_new_token(self, request: CallerRequest) -> CallerRequest:
        """Return a request with a token of its own and the same cookie."""
        return attrs.evolve(
            request,
            token=self.rng.randbytes(TOKEN_BYTES),
            message_id=self.rng.randrange(MESSAGE_IDS),
        )

    def renew(self, request: CallerRequest) -> CallerRequest:
        """Return a new request: its own token and the newest cookie."""
        return attrs.evolve(self.with_new_token(request), cookie=self.cookie)

    async def attempt(
        self, request: CallerRequest, roundtrip: RoundTrip
    ) -> Answer:
        """Send one request until its answer arrives.

        Repeats carry the same token and cookie, so that the owner sees that
        they are copies and runs the request once.
        """
        call = PendingCall()
        self.pending[request.token] = call
        encoded = encode_request(request)
        wait = roundtrip.wait_seconds * self.rng.uniform(1, 1.5)
        started = trio.current_time()
        repeats = 0
        try:
            while call.answer is None:
                self.socket.send(encoded, self.server)
                with trio.move_on_after(wait):
                    await call.arrived.wait()
                wait *= 2
                repeats += 1
        finally:
            self.pending.pop(request.token, None)
            if call.answer is None:
                self.cancel(request)
        if repeats == 1:
            roundtrip.measure(trio.current_time() - started)
        return call.answer

    def cancel(self, request: CallerRequest) -> None:
        """Tell the owner once that nobody waits for a request any more."""
        part = request.block1 is not None and request.block1.more
        if not part and request.block2 is None:
            cancelling = attrs.evolve(request, cancels=True)
            self.socket.send(encode_request(cancelling), self.server)


def may_repeat(request: CallerRequest, answer: Answer) -> bool:
    """Return True when a request may be sent anew with the newest cookie."""
    if request.idempotent:
        return answer.reason in REPEATED_REASONS | DEAD_COOKIE_REASONS
    not_run = answer.verdict is Verdict.NOT_RUN
    return not_run and answer.reason in REPEATED_REASONS


def settle(answer: Answer) -> Answer:
    """Return a service's answer; raise where the request failed on its way."""
    if answer.reason is None:
        return answer
    raise CallFailedError(
        verdict=answer.verdict,
        reason=answer.reason,
        message=answer.message,
        retry_after_seconds=answer.max_age_seconds or 0,
        hops=answer.hops,
    )


@asynccontextmanager
async def open_session(
    *,
    service: str,
    server: Address,
    network: Network,
    rng: Random | None = None,
    local: Address | None = None,
    wants_hops: bool = False,
) -> AsyncGenerator[Session, None]:
    """Open a session and receive its answers until the block ends."""
    socket = await network.open_datagrams(local or Address('127.0.0.1', 0))
    session = Session(
        service=service,
        server=server,
        socket=socket,
        rng=rng or Random(),
        wants_hops=wants_hops,
    )
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(session.run)
            yield session
            nursery.cancel_scope.cancel()
    finally:
        # Only now has the receiver ended: a datagram may have woken it in
        # the same moment, and it would read from a closed socket.
        socket.close()
