"""A caller's session with one service."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address, DatagramSocket, Network
from burdocksill.requests.codec import decode_answer, encode_request
from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

TOKEN_BYTES: Final = 8
MESSAGE_IDS: Final = 65536
# RFC 7252, section 4.8: first repeat after about two seconds, then doubled.
ACK_TIMEOUT_SECONDS: Final = 2.0
DEFAULT_TIMEOUT_SECONDS: Final = 10.0
COOKIE_ATTEMPTS: Final = 4
UNAUTHORIZED: Final = 'UNAUTHORIZED'


@attrs.define(kw_only=True)
class PendingCall:
    """Wait for the answer that carries one token."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answer: Answer | None = None


@attrs.define(kw_only=True)
class Session:
    """Send requests of one flow; a request is repeated only as it was."""

    service: str
    server: Address
    socket: DatagramSocket
    rng: Random
    wants_hops: bool = False
    cookie: bytes = b''
    pending: dict[bytes, PendingCall] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Receive answers until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.take(datagram.payload)

    def take(self, payload: bytes) -> None:
        """Match an answer with its call; late copies match none."""
        try:
            token, answer = decode_answer(payload)
        except (BurdocksillError, ValueError, KeyError):
            return
        call = self.pending.get(token)
        if call is not None:
            call.answer = answer
            call.arrived.set()

    async def request(
        self,
        method: str,
        path: tuple[str, ...],
        *,
        payload: bytes = b'',
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> Answer:
        """Return the answer, or raise CallFailedError with its verdict."""
        with trio.move_on_after(timeout_seconds):
            for _ in range(COOKIE_ATTEMPTS):
                answer = await self.attempt(
                    self.new_request(method, path, payload, timeout_seconds),
                )
                if answer.cookie or answer.reason is not None:
                    # A refusal without a cookie says that the one we hold
                    # leads nowhere any more: the next request starts afresh.
                    self.cookie = answer.cookie
                if answer.code != UNAUTHORIZED or not answer.cookie:
                    return settle(answer)
        raise CallFailedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.DEADLINE_PASSED,
            message=f'no answer within {timeout_seconds} s',
        )

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

    async def attempt(self, request: CallerRequest) -> Answer:
        """Send one request until its answer arrives.

        Repeats carry the same token and cookie, so that the owner sees that
        they are copies and runs the request once.
        """
        call = PendingCall()
        self.pending[request.token] = call
        encoded = encode_request(request)
        wait = ACK_TIMEOUT_SECONDS * self.rng.uniform(1, 1.5)
        try:
            while call.answer is None:
                self.socket.send(encoded, self.server)
                with trio.move_on_after(wait):
                    await call.arrived.wait()
                wait *= 2
        finally:
            self.pending.pop(request.token, None)
        return call.answer


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
    async with trio.open_nursery() as nursery:
        nursery.start_soon(session.run)
        try:
            yield session
        finally:
            nursery.cancel_scope.cancel()
            socket.close()
