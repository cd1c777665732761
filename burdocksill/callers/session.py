"""Sessions of a caller with one service."""

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
# Bounds of the exponential backoff before a refused request is sent again. A
# fleet that is being changed may reroute a flow several times.
FIRST_PAUSE_SECONDS: Final = 0.02
MAX_PAUSE_SECONDS: Final = 1.0
# An older cookie is exchanged before a request that is not idempotent: its
# owner may have failed, and then nobody can tell that the request did not run.
FRESH_COOKIE_SECONDS: Final = 60.0
# How often an idempotent request is tried when blocks of its answer are lost.
FETCH_ATTEMPTS: Final = 3
UNAUTHORIZED: Final = 'UNAUTHORIZED'
# A request refused for these reasons did not run and may be sent again.
RETRYABLE_REASONS: Final = frozenset(
    (
        Reason.COOKIE_NEEDED,
        Reason.COOKIE_INVALID,
        Reason.COOKIE_EXPIRED,
        Reason.BODY_INCOMPLETE,
        Reason.ADDRESS_CHANGED,
    )
)
# The owner that knew the request is gone, so only an idempotent request may
# be sent again.
COOKIE_UNUSABLE_REASONS: Final = frozenset(
    (Reason.OWNER_LOST, Reason.EPOCH_CLOSED, Reason.COOKIE_INVALID)
)


class AnswerReceiver(Protocol):
    """Receive the answers that carry one token."""

    def handle(self, answer: Answer) -> None:
        """Receive one answer."""


@attrs.define(kw_only=True)
class PendingCall:
    """Hold the answer that carries one token, once it has arrived."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answer: Answer | None = None

    def handle(self, answer: Answer) -> None:
        """Store the answer and wake the caller."""
        self.answer = answer
        self.arrived.set()


@attrs.define(kw_only=True)
class Session:
    """Send the requests of one flow; retransmissions are exact copies."""

    service: str
    server: Address
    socket: DatagramSocket
    rng: Random
    wants_hops: bool = False
    cookie: bytes = b''
    cookie_received_at: float = 0
    pending: dict[bytes, AnswerReceiver] = attrs.field(factory=dict)
    block_roundtrip: RoundTrip = attrs.field(factory=RoundTrip)

    async def run(self) -> None:
        """Receive answers until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.handle(datagram.payload)

    def handle(self, payload: bytes) -> None:
        """Pass an answer to its call; late duplicates match none."""
        try:
            token, answer = decode_answer(payload)
        except BurdocksillError:
            return
        call = self.pending.get(token)
        if call is not None:
            call.handle(answer)

    async def request(
        self,
        method: str,
        path: tuple[str, ...],
        *,
        payload: bytes = b'',
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> Answer:
        """Return the complete answer, or raise CallFailedError.

        The timeout applies to the first block of the answer, and again to
        each later one.
        """
        for _ in range(FETCH_ATTEMPTS):
            request = self.new_request(method, path, payload, timeout_seconds)
            request, first = await self.first_block(request)
            answer = await self.later_blocks(request, raise_for_reason(first))
            lost = answer.reason is not None
            if not lost or not request.idempotent:
                break
        return raise_for_reason(answer)

    async def first_block(
        self, request: CallerRequest
    ) -> tuple[CallerRequest, Answer]:
        """Return the request that was answered and its answer."""
        verdict = Verdict.NOT_RUN
        # An owner that was lost may have run a copy, which no later refusal
        # can disprove.
        earlier_verdict = Verdict.NOT_RUN
        with trio.move_on_after(request.timeout_seconds):
            for refusals in itertools.count():
                await self.refresh_old_cookie(request)
                request = self.renew(request)
                # A request without a cookie is never dispatched.
                if request.cookie:
                    verdict = Verdict.MAY_HAVE_RUN
                answer = await self.send_body(request)
                self.keep_cookie(answer)
                if answer.verdict is Verdict.MAY_HAVE_RUN:
                    earlier_verdict = Verdict.MAY_HAVE_RUN
                elif answer.verdict is Verdict.NOT_RUN:
                    answer = attrs.evolve(answer, verdict=earlier_verdict)
                if not may_retry(request, answer):
                    return request, answer
                verdict = earlier_verdict
                await trio.sleep(self.pause_seconds(refusals))
        raise CallFailedError(
            verdict=verdict,
            reason=Reason.DEADLINE_PASSED,
            message=f'no answer within {request.timeout_seconds} s',
        )

    def pause_seconds(self, refusals: int) -> float:
        """Return the backoff after a number of refusals, 0 after none."""
        longest = FIRST_PAUSE_SECONDS * refusals * 2 ** min(refusals, 8)
        return self.rng.uniform(0, min(longest, MAX_PAUSE_SECONDS))

    async def later_blocks(
        self, request: CallerRequest, first: Answer
    ) -> Answer:
        """Return an answer completed with the blocks after the first."""
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
            roundtrip=self.block_roundtrip,
        )
        failure = await transfer.run(fetch.numbers())
        if failure is None:
            return fetch.assemble()
        # The first block proves that the request ran.
        return attrs.evolve(
            failure, verdict=Verdict.RAN, reason=Reason.ANSWER_LOST
        )

    async def send_body(self, request: CallerRequest) -> Answer:
        """Send a request, a large body in blocks, and return the answer."""
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
            roundtrip=self.block_roundtrip,
        )
        # The first block is sent alone, as it is refused when a cookie is
        # needed.
        failure = await transfer.transfer_one(Block(number=0))
        failure = failure or await transfer.run(range(1, body.last))
        if failure is not None:
            return attrs.evolve(failure, verdict=Verdict.NOT_RUN)
        return await self.attempt(body.final_request(), RoundTrip())

    async def refresh_old_cookie(self, request: CallerRequest) -> None:
        """Exchange an old cookie before a request that is not idempotent."""
        age = trio.current_time() - self.cookie_received_at
        if request.idempotent or not self.cookie or age < FRESH_COOKIE_SECONDS:
            return
        exchange = self.new_request('GET', COOKIE_PATH, b'', 0)
        self.keep_cookie(await self.attempt(exchange, RoundTrip()))

    def keep_cookie(self, answer: Answer) -> None:
        """Store the cookie of an answer for later requests."""
        if answer.cookie or answer.reason is not None:
            # A refusal without a cookie means that the stored one is no
            # longer usable: the next request starts without one.
            self.cookie = answer.cookie
            self.cookie_received_at = trio.current_time()

    def new_request(
        self,
        method: str,
        path: tuple[str, ...],
        payload: bytes,
        timeout_seconds: float,
    ) -> CallerRequest:
        """Make a request with a new token."""
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
        """Return a copy of a request with a new token and the same cookie."""
        return attrs.evolve(
            request,
            token=self.rng.randbytes(TOKEN_BYTES),
            message_id=self.rng.randrange(MESSAGE_IDS),
        )

    def renew(self, request: CallerRequest) -> CallerRequest:
        """Return a copy of a request with a new token and the newest cookie."""
        return attrs.evolve(self.with_new_token(request), cookie=self.cookie)

    async def attempt(
        self, request: CallerRequest, roundtrip: RoundTrip
    ) -> Answer:
        """Send one request, with retransmissions, until its answer arrives.

        Retransmissions carry the same token and cookie, so that the owner
        recognises them as duplicates and runs the request once.
        """
        call = PendingCall()
        self.pending[request.token] = call
        encoded = encode_request(request)
        wait = roundtrip.wait_seconds * self.rng.uniform(1, 1.5)
        started = trio.current_time()
        transmissions = 0
        try:
            while call.answer is None:
                self.socket.send(encoded, self.server)
                with trio.move_on_after(wait):
                    await call.arrived.wait()
                wait *= 2
                transmissions += 1
        finally:
            self.pending.pop(request.token, None)
            if call.answer is None:
                self.cancel(request)
        if transmissions == 1:
            roundtrip.measure(trio.current_time() - started)
        return call.answer

    def cancel(self, request: CallerRequest) -> None:
        """Send one cancellation of a request that is no longer awaited."""
        partial = request.block1 is not None and request.block1.more
        if not partial and request.block2 is None:
            cancelling = attrs.evolve(request, cancels=True)
            self.socket.send(encode_request(cancelling), self.server)


def may_retry(request: CallerRequest, answer: Answer) -> bool:
    """Return True when a request may be sent again with the newest cookie."""
    if request.idempotent:
        return answer.reason in RETRYABLE_REASONS | COOKIE_UNUSABLE_REASONS
    not_run = answer.verdict is Verdict.NOT_RUN
    return not_run and answer.reason in RETRYABLE_REASONS


def raise_for_reason(answer: Answer) -> Answer:
    """Return an answer of the service; raise CallFailedError for a refusal."""
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
    """Open a session that receives answers until the block ends."""
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
        # Close only after the receiver has ended. A datagram that arrives
        # now may have woken it, and it would read from a closed socket.
        socket.close()
