"""One HTTP/2 connection to an upstream, read by one task."""

from collections.abc import AsyncGenerator
from typing import Final

import attrs
import h2.errors
import h2.events
import h2.exceptions
import trio

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
LARGEST_ANSWER_BYTES: Final = 4 * 1024 * 1024
HTTP_OK: Final = 200
HTTP_UNAVAILABLE: Final = 503
PING_BYTES: Final = 8
DEFAULT_RETRY_SECONDS: Final = 1.0


@attrs.define(kw_only=True)
class Exchange:
    """Hold what has arrived of one answer.

    `written` turns True when the first byte of the request goes to the
    stream: until then the upstream cannot have seen it, so it was not run.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    written: bool = False
    status: int = 0
    content_type: str = ''
    etag: str = ''
    retry_after: str = ''
    body: bytearray = attrs.field(factory=bytearray)
    failure: RequestFailedError | None = None
    # Set and replaced whenever more of the body has arrived, or its end.
    grown: trio.Event = attrs.field(factory=trio.Event)

    def fail(self, verdict: Verdict, reason: Reason) -> None:
        """End the exchange without a whole answer."""
        self.end(RequestFailedError(verdict=verdict, reason=reason))

    def end(self, failure: RequestFailedError) -> None:
        """End the exchange by an error."""
        self.failure = failure
        self.done.set()
        self.wake()

    def wake(self) -> None:
        """Wake whoever reads the body while it grows."""
        self.grown.set()
        self.grown = trio.Event()

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yield each line of the body as soon as it is there."""
        while True:
            end = self.body.find(b'\n')
            if end >= 0 and self.status == HTTP_OK:
                line = bytes(self.body[:end])
                del self.body[: end + 1]
                yield line
            elif self.done.is_set():
                break
            else:
                await self.grown.wait()
        if self.whole().status != HTTP_OK:
            self.fail(Verdict.RAN, Reason.FEED_REFUSED)
            self.whole()

    def lose(self, *, silent: bool) -> None:
        """End the exchange because its connection is gone."""
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

    def whole(self) -> UpstreamAnswer:
        """Return the answer, or raise what ended the exchange."""
        if self.failure is not None:
            raise self.failure
        if self.status == HTTP_UNAVAILABLE:
            raise self.unavailable()
        return UpstreamAnswer(
            status=self.status,
            payload=bytes(self.body),
            content_type=self.content_type,
            etag=self.etag,
        )

    def unavailable(self) -> RequestFailedError:
        """Read a 503: only with Retry-After does it say "not run".

        Without it the service itself may have failed half-way.
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
    """Carry exchanges over one stream; `run` reads until it ends."""

    stream: trio.abc.Stream
    authority: str
    state: LenientConnection = attrs.field(init=False)
    exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    queued: trio.Event = attrs.field(factory=trio.Event)
    window_opened: trio.Event = attrs.field(factory=trio.Event)
    heard: trio.Event = attrs.field(factory=trio.Event)
    # Set when no new request may use the connection any more.
    retired: trio.Event = attrs.field(factory=trio.Event)
    # Set when the connection is of no use to any request.
    ended: trio.Event = attrs.field(factory=trio.Event)
    went_away: bool = False

    def __attrs_post_init__(self) -> None:
        """Prepare the protocol's state and its preface."""
        self.state = LenientConnection(client_side=True)
        self.state.initiate_connection()
        self.flush()

    @property
    def closed(self) -> bool:
        """Return True when no new request may use the connection."""
        return self.retired.is_set()

    def flush(self) -> None:
        """Let the writer send what the protocol has queued."""
        self.queued.set()

    async def run(self) -> None:
        """Read and write until the connection ends, then fail what is open."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.write)
                await self.read()
                nursery.cancel_scope.cancel()
        finally:
            self.close()

    async def write(self) -> None:
        """Send what is queued, in order.

        Only this task sends: a request's deadline that cancels a send would
        leave half a frame behind and so break every other request.
        """
        while not self.ended.is_set():
            await self.queued.wait()
            self.queued = trio.Event()
            pending = self.state.data_to_send()
            # From here on the upstream may have seen each request whose
            # headers are queued, even if the send fails half-way.
            for exchange in self.exchanges.values():
                exchange.written = True
            try:
                await self.stream.send_all(pending)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self.close()

    async def read(self) -> None:
        """Apply events until the connection ends."""
        while not (self.went_away and not self.exchanges):
            try:
                events = await self.receive_events()
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h2.exceptions.ProtocolError,
            ):
                # The peer or this VM ended the stream; the answers still
                # open are settled by whoever called.
                return
            if not events:
                return
            for event in events:
                self.take(event)
            self.flush()

    async def receive_events(self) -> list[h2.events.Event]:
        """Return the events of the next bytes, none at the end."""
        while True:
            received = await self.stream.receive_some(READ_BYTES)
            if not received:
                return []
            self.hear()
            events = self.state.receive_data(bytes(received))
            if events:
                return events

    def hear(self) -> None:
        """Tell whoever watches that the upstream has sent something."""
        self.heard.set()
        self.heard = trio.Event()

    async def probe(self) -> None:
        """Send a PING and wait until anything arrives."""
        heard = self.heard
        self.state.ping(bytes(PING_BYTES))
        self.flush()
        await heard.wait()

    def close(self, *, silent: bool = False) -> None:
        """Fail every open exchange with what its request may have done."""
        for exchange in self.exchanges.values():
            exchange.lose(silent=silent)
        self.exchanges.clear()
        self.retired.set()
        self.ended.set()
        self.window_opened.set()

    def take(self, event: h2.events.Event) -> None:
        """Apply one event of the protocol."""
        match event:
            case h2.events.ResponseReceived():
                self.take_headers(event)
            case h2.events.DataReceived():
                self.take_data(event)
            case h2.events.StreamEnded():
                self.finish(event.stream_id)
            case h2.events.StreamReset():
                self.take_reset(event)
            case h2.events.WindowUpdated():
                self.window_opened.set()
                self.window_opened = trio.Event()
            case h2.events.ConnectionTerminated():
                self.take_goaway(event)

    def take_headers(self, event: h2.events.ResponseReceived) -> None:
        """Read an answer's status and headers."""
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

    def take_data(self, event: h2.events.DataReceived) -> None:
        """Append a part of an answer and open the window again."""
        length = event.flow_controlled_length or 0
        self.state.acknowledge_received_data(length, event.stream_id)
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None or not event.data:
            return
        exchange.body.extend(event.data)
        if len(exchange.body) > LARGEST_ANSWER_BYTES:
            # `exchange` resets the stream; nothing more of it is kept.
            exchange.fail(Verdict.RAN, Reason.ANSWER_TOO_LARGE)
        exchange.wake()

    def finish(self, stream_id: int) -> None:
        """Complete an exchange: END_STREAM proves the answer whole."""
        exchange = self.exchanges.pop(stream_id, None)
        if exchange is not None:
            exchange.done.set()
            exchange.wake()

    def take_reset(self, event: h2.events.StreamReset) -> None:
        """Settle a reset stream: REFUSED_STREAM proves that it did not run."""
        exchange = self.exchanges.pop(event.stream_id, None)
        if exchange is None:
            return
        if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
            exchange.fail(Verdict.NOT_RUN, Reason.UPSTREAM_SHED)
        else:
            exchange.fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)

    def take_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        """Settle the streams above the last one that the upstream took.

        Those at or below it go on: the upstream promised to finish them.
        """
        last = event.last_stream_id or 0
        for stream_id in [known for known in self.exchanges if known > last]:
            exchange = self.exchanges.pop(stream_id)
            exchange.fail(Verdict.NOT_RUN, Reason.UPSTREAM_LEAVING)
        self.went_away = True
        self.retired.set()

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Send a request and wait for its whole answer."""
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
            # The upstream allows no more streams, or the connection ended:
            # the protocol's state refused the headers, so nothing was sent.
            self.exchanges.pop(stream_id, None)
            exchange.lose(silent=False)
        finally:
            self.abandon(stream_id)
        return exchange.whole()

    def abandon(self, stream_id: int) -> None:
        """Tell the upstream that nobody waits for a stream any more."""
        if self.exchanges.pop(stream_id, None) is None:
            return
        self.state.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)
        self.flush()

    async def send_request(
        self,
        stream_id: int,
        request: UpstreamRequest,
    ) -> None:
        """Send the headers and the body as the window allows."""
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
            # The upstream allows no more streams; nothing was sent.
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
) -> list[tuple[str, str]]:
    """Write a request's headers."""
    headers = [
        (':method', request.method),
        (':scheme', 'http'),
        (':authority', authority),
        (':path', request.path),
    ]
    if request.content_type:
        headers.append(('content-type', request.content_type))
    if request.timeout_seconds > 0:
        left = int(request.timeout_seconds * 1000)
        headers.append((TIMEOUT_HEADER, str(left)))
    if request.flow:
        headers.append((FLOW_HEADER, request.flow))
    if request.feed_after is not None:
        headers.append((FEED_AFTER_HEADER, str(request.feed_after)))
    traceparent = current_traceparent()
    if traceparent:
        headers.append((TRACEPARENT, traceparent))
    return headers
