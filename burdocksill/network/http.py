"""HTTP/1.1 over streams: client of the store, server of the node's pages."""

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
# Longest time between two received parts of a response.
RESPONSE_IDLE_SECONDS: Final = 1.0
# Longest time to receive one request and send its response.
SERVE_TIMEOUT_SECONDS: Final = 3.0


class AnswerTooLargeError(Exception):
    """The Content-Length of a response exceeds the caller's limit."""


@attrs.define(kw_only=True, eq=False, repr=False)
class HttpConnection:
    """Persistent client connection with one request at a time."""

    network: Network
    remote: Address
    stream: trio.abc.Stream | None = None
    exchanger: HttpExchange = attrs.field(init=False)
    # Received bytes of the latest response, and its Content-Length.
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
        """Return the response; raise OSError, trio or h11 errors.

        `timeout` is in seconds until the response begins to arrive. Raise
        AnswerTooLargeError for one of more than `largest` bytes. After any
        error the connection is closed, so that a late response is never taken
        for the one to the next request.
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
        if not self.exchanger.prepare_next_request():
            await self.close()
        return reply

    async def send(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> trio.abc.Stream:
        """Send a request; connect first if there is no connection."""
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
        """Receive a complete response, without a limit on the total time.

        With such a limit, a large response over a slow link would time out, and
        so would each retry: the node would never receive a change again.
        """
        reply = None
        while reply is None:
            received = await stream.receive_some(READ_BYTES)
            limit.deadline = trio.current_time() + RESPONSE_IDLE_SECONDS
            reply = self.exchanger.receive(bytes(received))
            self.received += len(received)
            self.expected = self.exchanger.expected
            if self.expected > largest:
                raise AnswerTooLargeError
        return reply

    async def close(self) -> None:
        """Close without waiting; the next exchange opens a new connection."""
        stream = self.stream
        self.stream = None
        if stream is not None:
            await trio.aclose_forcefully(stream)


async def next_event(
    protocol: h11.Connection,
    stream: trio.abc.Stream,
) -> object:
    """Return the next h11 event; receive bytes until there is one."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(bytes(await stream.receive_some(READ_BYTES)))


Handler = Callable[[str], Awaitable[HttpReply]]


async def serve_connection(stream: trio.abc.Stream, handler: Handler) -> None:
    """Serve one request, then close the connection."""
    protocol = h11.Connection(h11.SERVER)
    with trio.move_on_after(SERVE_TIMEOUT_SECONDS):
        async with stream:
            try:
                await answer(protocol, stream, handler)
            except (h11.ProtocolError, OSError, trio.BrokenResourceError):
                # The client closed the connection or does not speak HTTP; it
                # needs a new connection for its next attempt.
                return


async def answer(
    protocol: h11.Connection,
    stream: trio.abc.Stream,
    handler: Handler,
) -> None:
    """Receive one request and send the handler's response."""
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
