"""One HTTP/2 connection to an upstream, read by one task."""

import json
from collections.abc import AsyncGenerator
from typing import Final

import attrs
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import trio

from burdocksill.observe.tracing import TRACEPARENT, current_traceparent
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.messages import (
    Identity,
    UpstreamAnswer,
    UpstreamRequest,
)

READ_BYTES: Final = 65536
IDENTITY_PATH: Final = '/.well-known/burdocksill/identity'
TIMEOUT_HEADER: Final = 'burdocksill-timeout-ms'
FLOW_HEADER: Final = 'burdocksill-flow'
HTTP_OK: Final = 200


@attrs.define(kw_only=True)
class Exchange:
    """Hold what has arrived of one answer."""

    done: trio.Event = attrs.field(factory=trio.Event)
    status: int = 0
    content_type: str = ''
    etag: str = ''
    body: bytearray = attrs.field(factory=bytearray)
    failure: RequestFailedError | None = None

    def fail(self, verdict: Verdict, reason: Reason) -> None:
        """End the exchange without a whole answer."""
        self.failure = RequestFailedError(verdict=verdict, reason=reason)
        self.done.set()


@attrs.define(kw_only=True)
class UpstreamConnection:
    """Carry exchanges over one stream; `run` reads until it ends."""

    stream: trio.abc.Stream
    authority: str
    state: h2.connection.H2Connection = attrs.field(init=False)
    exchanges: dict[int, Exchange] = attrs.field(factory=dict)
    sending: trio.Lock = attrs.field(factory=trio.Lock)
    window_opened: trio.Event = attrs.field(factory=trio.Event)
    closed: bool = False

    def __attrs_post_init__(self) -> None:
        """Prepare the protocol's state."""
        config = h2.config.H2Configuration(client_side=True)
        self.state = h2.connection.H2Connection(config=config)

    async def start(self) -> None:
        """Send the connection preface."""
        self.state.initiate_connection()
        await self.flush()

    async def flush(self) -> None:
        """Send what the protocol has queued, in order."""
        async with self.sending:
            pending = self.state.data_to_send()
            if pending:
                await self.stream.send_all(pending)

    async def run(self) -> None:
        """Read events until the connection ends, then fail what is open."""
        try:
            while True:
                received = await self.stream.receive_some(READ_BYTES)
                if not received:
                    break
                for event in self.state.receive_data(bytes(received)):
                    self.take(event)
                await self.flush()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h2.exceptions.ProtocolError,
        ):
            # The peer or this VM ended the stream; the answers still open
            # are settled below, so nothing more is to be done here.
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Fail every open exchange: its request was sent and may have run."""
        self.closed = True
        for exchange in self.exchanges.values():
            exchange.fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        self.exchanges.clear()
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

    def take_data(self, event: h2.events.DataReceived) -> None:
        """Append a part of an answer and open the window again."""
        length = event.flow_controlled_length or 0
        self.state.acknowledge_received_data(length, event.stream_id)
        exchange = self.exchanges.get(event.stream_id)
        if exchange is not None and event.data:
            exchange.body.extend(event.data)

    def finish(self, stream_id: int) -> None:
        """Complete an exchange: END_STREAM proves the answer whole."""
        exchange = self.exchanges.pop(stream_id, None)
        if exchange is not None:
            exchange.done.set()

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
        """Settle the streams above the last one that the upstream took."""
        last = event.last_stream_id or 0
        for stream_id in [known for known in self.exchanges if known > last]:
            exchange = self.exchanges.pop(stream_id)
            exchange.fail(Verdict.NOT_RUN, Reason.UPSTREAM_LEAVING)
        self.closed = True

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
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            exchange.fail(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST)
        finally:
            await self.abandon(stream_id)
        if exchange.failure is not None:
            raise exchange.failure
        return UpstreamAnswer(
            status=exchange.status,
            payload=bytes(exchange.body),
            content_type=exchange.content_type,
            etag=exchange.etag,
        )

    async def abandon(self, stream_id: int) -> None:
        """Tell the upstream that nobody waits for a stream any more."""
        if self.exchanges.pop(stream_id, None) is None or self.closed:
            return
        self.state.reset_stream(stream_id, h2.errors.ErrorCodes.CANCEL)
        with trio.CancelScope(shield=True), trio.move_on_after(1):
            await self.flush_if_open()

    async def flush_if_open(self) -> None:
        """Send what is queued; a stream that is gone needs no cancelling."""
        try:
            await self.flush()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed = True

    async def send_request(
        self,
        stream_id: int,
        request: UpstreamRequest,
    ) -> None:
        """Send the headers and the body as the window allows."""
        self.state.send_headers(
            stream_id,
            self.headers(request),
            end_stream=not request.payload,
        )
        await self.flush()
        rest = request.payload
        while rest:
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
            await self.flush()

    def headers(self, request: UpstreamRequest) -> list[tuple[str, str]]:
        """Write a request's headers."""
        headers = [
            (':method', request.method),
            (':scheme', 'http'),
            (':authority', self.authority),
            (':path', request.path),
        ]
        if request.content_type:
            headers.append(('content-type', request.content_type))
        if request.timeout_seconds > 0:
            left = int(request.timeout_seconds * 1000)
            headers.append((TIMEOUT_HEADER, str(left)))
        if request.flow:
            headers.append((FLOW_HEADER, request.flow))
        traceparent = current_traceparent()
        if traceparent:
            headers.append((TRACEPARENT, traceparent))
        return headers

    async def feed(
        self,
        request: UpstreamRequest,
    ) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, one line each."""
        answer = await self.exchange(request)
        for line in answer.payload.splitlines():
            yield line

    async def identify(self) -> Identity:
        """Ask the upstream who it is."""
        answer = await self.exchange(
            UpstreamRequest(method='GET', path=IDENTITY_PATH),
        )
        if answer.status != HTTP_OK:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_DOWN,
                message=f'{IDENTITY_PATH} answered {answer.status}',
            )
        told = json.loads(answer.payload)
        return Identity(
            service=told['service'],
            upstream=told['upstream'],
            instance=told['instance'],
        )
