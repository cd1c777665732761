"""HTTP/1.1 over streams, for the platform's store and the node's own pages."""

import math
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import h11
import trio

from burdocksill.network.addresses import Address
from burdocksill.network.exchange import HttpExchange
from burdocksill.network.protocols import Network
from burdocksill.network.reply import HttpReply

READ_BYTES: Final = 65536
# An answer of which nothing more arrives for this long is lost.
ANSWER_SILENCE_SECONDS: Final = 1.0
# A page that a client is slow to ask for or to read is given up after this.
SERVE_TIMEOUT_SECONDS: Final = 3.0


class AnswerTooLargeError(Exception):
    """Say that an answer announces more bytes than the caller takes."""


@attrs.define(kw_only=True, eq=False, repr=False)
class HttpConnection:
    """Exchange one request after the other over one kept connection."""

    network: Network
    remote: Address
    stream: trio.abc.Stream | None = None
    exchanger: HttpExchange = attrs.field(init=False)
    # Bytes of the latest answer, and the length that its body should have.
    received: int = 0
    expected: int = 0

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout: float,
        largest: float = math.inf,
    ) -> HttpReply:
        """Return the answer; OSError, trio or h11 errors when there is none.

        `timeout` is in seconds until the answer begins to arrive. One of more
        than `largest` bytes is not read: AnswerTooLargeError. After any error
        the connection is closed: a late answer must never be taken for that of
        the next request.
        """
        self.received = 0
        self.expected = 0
        try:
            with trio.fail_after(timeout) as limit:
                stream = await self.send(method, target, body)
                reply = await self.receive(stream, limit, largest)
        except BaseException:
            await self.close()
            raise
        if not self.exchanger.next_round():
            await self.close()
        return reply

    async def send(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> trio.abc.Stream:
        """Send a request, over a new connection if there is none."""
        if self.stream is None:
            self.stream = await self.network.connect(self.remote)
            self.exchanger = HttpExchange(remote=self.remote)
        stream = self.stream
        await stream.send_all(self.exchanger.request(method, target, body))
        return stream

    async def receive(
        self,
        stream: trio.abc.Stream,
        limit: trio.CancelScope,
        largest: float,
    ) -> HttpReply:
        """Read a whole answer, however long it takes to arrive.

        A limit on the whole would be shorter than what a slow link needs for
        a large answer. The next call would begin it anew and end the same way,
        so that the node would learn of no change any more.
        """
        reply = None
        while reply is None:
            received = await stream.receive_some(READ_BYTES)
            limit.deadline = trio.current_time() + ANSWER_SILENCE_SECONDS
            reply = self.exchanger.receive(bytes(received))
            self.received += len(received)
            self.expected = self.exchanger.expected
            if self.expected > largest:
                raise AnswerTooLargeError
        return reply

    async def close(self) -> None:
        """Close without waiting; the next exchange connects anew."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            await trio.aclose_forcefully(stream)


async def next_event(
    protocol: h11.Connection,
    stream: trio.abc.Stream,
) -> object:
    """Return the next event, reading as often as it takes."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(bytes(await stream.receive_some(READ_BYTES)))


Handler = Callable[[str], Awaitable[HttpReply]]


async def serve_connection(stream: trio.abc.Stream, handler: Handler) -> None:
    """Answer one request for a page, then close."""
    protocol = h11.Connection(h11.SERVER)
    with trio.move_on_after(SERVE_TIMEOUT_SECONDS):
        async with stream:
            try:
                await answer(protocol, stream, handler)
            except (h11.ProtocolError, OSError, trio.BrokenResourceError):
                # The client went away or speaks something else; its next
                # try is a new connection, and nobody waits for this one.
                return


async def answer(
    protocol: h11.Connection,
    stream: trio.abc.Stream,
    handler: Handler,
) -> None:
    """Read one request and send what the handler answers."""
    request = await next_event(protocol, stream)
    if not isinstance(request, h11.Request):
        return
    reply = await handler(request.target.decode())
    head = h11.Response(
        status_code=reply.status,
        headers=[
            ('Content-Type', reply.media_type),
            ('Content-Length', str(len(reply.body))),
            ('Connection', 'close'),
        ],
    )
    out = protocol.send(head) or b''
    out += protocol.send(h11.Data(data=reply.body)) or b''
    out += protocol.send(h11.EndOfMessage()) or b''
    await stream.send_all(out)
