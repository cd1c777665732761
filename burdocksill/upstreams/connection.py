"""One HTTP/2 connection to an upstream, read by one task."""

from collections.abc import AsyncGenerator
from typing import Final

import attrs
import h2.errors
import h2.events
import h2.exceptions
import trio
from hpack import HeaderTuple, NeverIndexedHeaderTuple

from burdocksill.observe.tracing import TRACEPARENT, current_traceparent
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.exceptions import ConnectionSilentError
from burdocksill.upstreams.goaway import LenientConnection
from burdocksill.upstreams.messages import (
    UpstreamAnswer,
    UpstreamRequest,
)

READ_BYTES: Final = 65536
TIMEOUT_HEADER: Final = 'burdocksill-timeout-ms'
FLOW_HEADER: Final = 'burdocksill-flow'
FEED_AFTER_HEADER: Final = 'burdocksill-feed-after'
MAX_ANSWER_BYTES: Final = 4 * 1024 * 1024
HTTP_OK: Final = 200
HTTP_UNAVAILABLE: Final = 503
PING_BYTES: Final = 8
DEFAULT_RETRY_SECONDS: Final = 1.0


@attrs.define(kw_only=True)
class Exchange:
    """Hold the state of one request and the answer received so far.

    `written` becomes True before the first byte of the request is sent; until
    then the upstream cannot have seen the request, so it did not run.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    written: bool = False
    status: int = 0
    content_type: str = ''
    etag: str = ''
    retry_after: str = ''
    body: bytearray = attrs.field(factory=bytearray)
    failure: RequestFailedError | None = None
    # Set and replaced when more of the body or its end has arrived.
    body_changed: trio.Event = attrs.field(factory=trio.Event)

    def fail(self, verdict: Verdict, reason: Reason) -> None:
        """End the exchange with a verdict and a reason."""
        self.end(RequestFailedError(verdict=verdict, reason=reason))

    def end(self, failure: RequestFailedError) -> None:
        """End the exchange with an error."""
        self.failure = failure
        self.done.set()
        self.notify_reader()

    def notify_reader(self) -> None:
        """Wake the task that reads the body as it arrives."""
        self.body_changed.set()
        self.body_changed = trio.Event()

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yield each line of the body as soon as it is complete."""
        while True:
            end = self.body.find(b'\n')
            if end >= 0 and self.status == HTTP_OK:
                line = bytes(self.body[:end])
                del self.body[: end + 1]
                yield line
            elif self.done.is_set():
                break
            else:
                await self.body_changed.wait()
        if self.result().status != HTTP_OK:
            self.fail(Verdict.RAN, Reason.FEED_REFUSED)
            self.result()

    def connection_lost(self, *, silent: bool) -> None:
        """End the exchange because its connection ended.

        `silent` means that the upstream may not know that it ended.
        """
        if self.written and silent:
            self.end(
                ConnectionSilentError(
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=Reason.UPSTREAM_LOST,
                ),
            )
        elif self.written:
            self.fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        else:
            self.fail(Verdict.NOT_RUN, Reason.UPSTREAM_DOWN)

    def result(self) -> UpstreamAnswer:
        """Return the complete answer, or raise RequestFailedError."""
        if self.failure is not None:
            raise self.failure
        if self.status == HTTP_UNAVAILABLE:
            raise self.unavailable_error()
        return UpstreamAnswer(
            status=self.status,
            payload=bytes(self.body),
            content_type=self.content_type,
            etag=self.etag,
        )

    def unavailable_error(self) -> RequestFailedError:
        """Return the error of a 503; it is "not run" only with Retry-After.

        Without that header the service itself may have failed half-way.
        """
        if not self.retry_after:
            return RequestFailedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.UPSTREAM_SHED,
            )
        seconds = DEFAULT_RETRY_SECONDS
        if self.retry_after.isdecimal():
            seconds = float(self.retry_after)
        return RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.UPSTREAM_SHED,
            retry_after_seconds=seconds,
        )


@attrs.define(kw_only=True)
class UpstreamConnection:
    """Multiplex exchanges over one HTTP/2 connection.

    `run` reads and writes until the connection ends.
    """

    stream: trio.abc.Stream
    authority: str
    state: LenientConnection = attrs.field(init=False)
    exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    queued: trio.Event = attrs.field(factory=trio.Event)
    window_opened: trio.Event = attrs.field(factory=trio.Event)
    received: trio.Event = attrs.field(factory=trio.Event)
    # Set when no new request may use the connection.
    retired: trio.Event = attrs.field(factory=trio.Event)
    # Set when open requests can't be completed on the connection either.
    ended: trio.Event = attrs.field(factory=trio.Event)
    goaway_received: bool = False

    def __attrs_post_init__(self) -> None:
        """Initialise the HTTP/2 state and queue the connection preface."""
        self.state = LenientConnection(client_side=True)
        self.state.initiate_connection()
        self.flush()

    @property
    def closed(self) -> bool:
        """Return True when no new request may use the connection."""
        return self.retired.is_set()

    def flush(self) -> None:
        """Wake the writer to send the queued frames."""
        self.queued.set()

    async def run(self) -> None:
        """Read and write until the end, then fail the open exchanges."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write)
                await self.read()
                nursery.cancel_scope.cancel()
        finally:
            self.close()

    async def write(self) -> None:
        """Send the queued frames in order.

        Only this task sends: if a request's deadline cancelled a send, half a
        frame would be left on the connection and break every other request.
        """
        while not self.ended.is_set():
            await self.queued.wait()
            self.queued = trio.Event()
            pending = self.state.data_to_send()
            # The upstream may see every request whose headers are queued,
            # even if the send fails half-way.
            for exchange in self.exchanges.values():
                exchange.written = True
            try:
                await self.stream.send_all(pending)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.close()

    async def read(self) -> None:
        """Handle events until the connection ends."""
        while not (self.goaway_received and not self.exchanges):
            try:
                events = await self.receive_events()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h2.exceptions.ProtocolError,
            ):
                # The upstream or this VM closed the stream; `run` fails the
                # exchanges that are still open.
                return
            if not events:
                return
            for event in events:
                self.handle(event)
            self.flush()

    async def receive_events(self) -> list[h2.events.Event]:
        """Return the next events, or an empty list at the end of the stream."""
        while True:
            chunk = await self.stream.receive_some(READ_BYTES)
            if not chunk:
                return []
            self.notify_received()
            events = self.state.receive_data(bytes(chunk))
            if events:
                return events

    def notify_received(self) -> None:
        """Wake `probe`, as the upstream has sent something."""
        self.received.set()
        self.received = trio.Event()

    async def probe(self) -> None:
        """Send a PING and wait until anything arrives."""
        received = self.received
        self.state.ping(bytes(PING_BYTES))
        self.flush()
        await received.wait()

    def close(self, *, silent: bool = False) -> None:
        """End the connection and fail every open exchange.

        `silent` means that the upstream may not know that it ended.
        """
        for exchange in self.exchanges.values():
            exchange.connection_lost(silent=silent)
        self.exchanges.clear()
        self.retired.set()
        self.ended.set()
        self.window_opened.set()

    def handle(self, event: h2.events.Event) -> None:
        """Handle one HTTP/2 event."""
        match event:
            case h2.events.ResponseReceived():
                self.handle_headers(event)
            case h2.events.DataReceived():
                self.handle_data(event)
            case h2.events.StreamEnded():
                self.finish(event.stream_id)
            case h2.events.StreamReset():
                self.handle_reset(event)
            case h2.events.WindowUpdated():
                self.window_opened.set()
                self.window_opened = trio.Event()
            case h2.events.ConnectionTerminated():
                self.handle_goaway(event)

    def handle_headers(self, event: h2.events.ResponseReceived) -> None:
        """Store an answer's status and headers."""
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None:
            return
        headers = {
            bytes(name).decode(): bytes(text).decode()
            for name, text in event.headers or ()
        }
        exchange.status = int(headers.get(':status', 0))
        exchange.content_type = headers.get('content-type', '')
        exchange.etag = headers.get('etag', '')
        exchange.retry_after = headers.get('retry-after', '')

    def handle_data(self, event: h2.events.DataReceived) -> None:
        """Append a part of an answer and extend the flow-control window."""
        length = event.flow_controlled_length or 0
        self.state.acknowledge_received_data(length, event.stream_id)
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None or not event.data:
            return
        exchange.body.extend(event.data)
        if len(exchange.body) > MAX_ANSWER_BYTES:
            # `exchange` resets the stream, so no more data is stored.
            exchange.fail(Verdict.RAN, Reason.ANSWER_TOO_LARGE)
        exchange.notify_reader()

    def finish(self, stream_id: int) -> None:
        """Complete an exchange, as END_STREAM proves a complete answer."""
        exchange = self.exchanges.pop(stream_id, None)
        if exchange is not None:
            exchange.done.set()
            exchange.notify_reader()

    def handle_reset(self, event: h2.events.StreamReset) -> None:
        """Fail a reset stream; REFUSED_STREAM proves that it did not run."""
        exchange = self.exchanges.pop(event.stream_id, None)
        if exchange is None:
            return
        if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
            exchange.fail(Verdict.NOT_RUN, Reason.UPSTREAM_SHED)
        else:
            exchange.fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)

    def handle_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        """Fail the streams above the last one that GOAWAY names.

        The upstream promises to finish those at or below it.
        """
        last = event.last_stream_id or 0
        for stream_id in [known for known in self.exchanges if known > last]:
            exchange = self.exchanges.pop(stream_id)
            exchange.fail(Verdict.NOT_RUN, Reason.UPSTREAM_LEAVING)
        self.goaway_received = True
        self.retired.set()

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Send a request and return its complete answer."""
        if self.closed:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_DOWN,
            )
        stream_id = self.state.get_next_available_stream_id()
        exchange = Exchange()
        self.exchanges[stream_id] = exchange
        try:
            await self.send_request(stream_id, request)
            await exchange.done.wait()
        except h2.exceptions.ProtocolError:
            # The upstream allows no more streams, or the connection ended. h2
            # refused the headers, so nothing was sent.
            self.exchanges.pop(stream_id, None)
            exchange.connection_lost(silent=False)
        finally:
            self.abandon(stream_id)
        return exchange.result()

    def abandon(self, stream_id: int) -> None:
        """Cancel a stream whose answer is no longer awaited."""
        if self.exchanges.pop(stream_id, None) is None:
            return
        self.state.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)
        self.flush()

    async def send_request(
        self,
        stream_id: int,
        request: UpstreamRequest,
    ) -> None:
        """Send the headers, and the body as flow control allows."""
        self.state.send_headers(
            stream_id,
            headers(request, self.authority),
            end_stream=not request.payload,
        )
        self.flush()
        rest = request.payload
        while rest and stream_id in self.exchanges:
            size = min(
                self.state.local_flow_control_window(stream_id),
                self.state.max_outbound_frame_size,
                len(rest),
            )
            if size == 0:
                await self.window_opened.wait()
                continue
            chunk, rest = rest[:size], rest[size:]
            self.state.send_data(stream_id, chunk, end_stream=not rest)
            self.flush()

    async def feed(
        self,
        request: UpstreamRequest,
    ) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, one line each."""
        if self.closed:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_DOWN,
            )
        stream_id = self.state.get_next_available_stream_id()
        exchange = Exchange()
        self.exchanges[stream_id] = exchange
        try:
            await self.send_request(stream_id, request)
            async for line in exchange.lines():
                yield line
        except h2.exceptions.ProtocolError as error:
            # The upstream allows no more streams, so nothing was sent.
            self.exchanges.pop(stream_id, None)
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
            ) from error
        finally:
            self.abandon(stream_id)


def headers(
    request: UpstreamRequest,
    authority: str,
) -> list[HeaderTuple]:
    """Return a request's headers.

    Values that differ with each request stay out of HPACK's dynamic table. It
    is searched for every header and would fill up with useless entries.
    """
    headers = [
        HeaderTuple(':method', request.method),
        HeaderTuple(':scheme', 'http'),
        HeaderTuple(':authority', authority),
        NeverIndexedHeaderTuple(':path', request.path),
    ]
    if request.content_type:
        headers.append(HeaderTuple('content-type', request.content_type))
    if request.timeout_seconds > 0:
        timeout_ms = int(request.timeout_seconds * 1000)
        headers.append(NeverIndexedHeaderTuple(TIMEOUT_HEADER, str(timeout_ms)))
    if request.flow:
        headers.append(NeverIndexedHeaderTuple(FLOW_HEADER, request.flow))
    if request.feed_after is not None:
        after = str(request.feed_after)
        headers.append(NeverIndexedHeaderTuple(FEED_AFTER_HEADER, after))
    traceparent = current_traceparent()
    if traceparent:
        headers.append(NeverIndexedHeaderTuple(TRACEPARENT, traceparent))
    return headers
