"""One HTTP/2 connection as a stand-in upstream serves it."""

from collections.abc import Awaitable, Callable

import attrs
import h2.errors
import h2.events
import h2.exceptions
import trio

from burdocksill.upstreams.connection import READ_BYTES
from burdocksill.upstreams.goaway import LenientConnection


@attrs.define(kw_only=True)
class ReceivedRequest:
    """Hold what has arrived of one request."""

    stream_id: int
    headers: dict[str, str]
    body: bytearray = attrs.field(factory=bytearray)


@attrs.frozen(kw_only=True)
class StandInAnswer:
    """Hold what the stand-in answers."""

    status: int
    payload: str
    retry_after: str = ''


@attrs.define(kw_only=True, eq=False)
class ServerConnection:
    """Serve one connection with a task for each request."""

    serve: Callable[['ServerConnection', ReceivedRequest], Awaitable[None]]
    stream: trio.abc.Stream
    state: LenientConnection = attrs.field(init=False)
    requests: dict[int, ReceivedRequest] = attrs.field(factory=dict)
    running: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    sending: trio.Lock = attrs.field(factory=trio.Lock)
    window_opened: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    # A muted connection takes everything and says nothing, not even to PING.
    muted: bool = False
    last_stream_id: int = 0
    went_away: bool = False

    def __attrs_post_init__(self) -> None:
        """Prepare the protocol's state."""
        self.state = LenientConnection(client_side=False)

    async def flush(self) -> None:
        """Send what the protocol has queued, whole frames at a time."""
        with trio.CancelScope(shield=True):
            async with self.sending:
                pending = self.state.data_to_send()
                if pending and not self.muted:
                    await self.stream.send_all(pending)

    async def run(self) -> None:
        """Read events until the caller goes away."""
        self.state.initiate_connection()
        try:
            with self.scope:
                async with self.stream, trio.open_nursery() as nursery:
                    await self.flush()
                    await self.read(nursery)
                    nursery.cancel_scope.cancel()
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h2.exceptions.ProtocolError,
        ):
            # The other side is gone; its requests are cancelled above.
            pass

    async def read(self, nursery: trio.Nursery) -> None:
        """Apply what arrives."""
        while True:
            received = await self.stream.receive_some(READ_BYTES)
            if not received:
                return
            for event in self.state.receive_data(bytes(received)):
                self.take(event, nursery)
            await self.flush()

    def take(self, event: h2.events.Event, nursery: trio.Nursery) -> None:
        """Apply one event of the protocol."""
        match event:
            case h2.events.RequestReceived():
                self.open_request(event)
            case h2.events.DataReceived():
                length = event.flow_controlled_length or 0
                self.state.acknowledge_received_data(length, event.stream_id)
                request = self.requests.get(event.stream_id)
                if request is not None:
                    request.body.extend(event.data or b'')
            case h2.events.StreamEnded():
                whole = self.requests.pop(event.stream_id, None)
                if whole is not None:
                    nursery.start_soon(self.answer, whole)
            case h2.events.WindowUpdated():
                self.window_opened.set()
                self.window_opened = trio.Event()
            case h2.events.StreamReset():
                self.requests.pop(event.stream_id, None)
                scope = self.running.get(event.stream_id)
                if scope is not None:
                    scope.cancel()

    def open_request(self, event: h2.events.RequestReceived) -> None:
        """Begin a request; after GOAWAY it is one that nobody takes."""
        if self.went_away:
            return
        self.last_stream_id = event.stream_id
        headers = {
            bytes(name).decode(): bytes(text).decode()
            for name, text in event.headers or ()
        }
        self.requests[event.stream_id] = ReceivedRequest(
            stream_id=event.stream_id,
            headers=headers,
        )

    async def answer(self, request: ReceivedRequest) -> None:
        """Answer one request unless the caller cancels it."""
        with trio.CancelScope() as scope:
            self.running[request.stream_id] = scope
            try:
                await self.serve(self, request)
                await self.flush()
            except h2.exceptions.StreamClosedError:
                # The caller reset the stream while its answer was written.
                pass
            finally:
                self.running.pop(request.stream_id, None)

    def queue(self, stream_id: int, answer: StandInAnswer) -> None:
        """Write a whole answer, to go out with the next flush."""
        self.queue_headers(stream_id, answer)
        self.state.send_data(
            stream_id,
            answer.payload.encode(),
            end_stream=True,
        )

    def queue_headers(self, stream_id: int, answer: StandInAnswer) -> None:
        """Write an answer's headers."""
        headers = [
            (':status', str(answer.status)),
            ('content-type', 'application/json'),
        ]
        if answer.retry_after:
            headers.append(('retry-after', answer.retry_after))
        self.state.send_headers(stream_id, headers)

    async def send(self, stream_id: int, answer: StandInAnswer) -> None:
        """Send a whole answer as the window allows."""
        self.queue_headers(stream_id, answer)
        rest = answer.payload.encode()
        while True:
            size = min(
                self.state.local_flow_control_window(stream_id),
                self.state.max_outbound_frame_size,
            )
            if rest and size <= 0:
                await self.window_opened.wait()
                continue
            chunk, rest = rest[:size], rest[size:]
            self.state.send_data(stream_id, chunk, end_stream=not rest)
            await self.flush()
            if not rest:
                return

    def open_lines(self, stream_id: int) -> None:
        """Begin an answer whose lines follow one by one."""
        self.state.send_headers(stream_id, [(':status', '200')])

    async def send_line(self, stream_id: int, line: str) -> None:
        """Send one line of a long answer."""
        self.state.send_data(stream_id, line.encode())
        await self.flush()

    async def send_half(self, stream_id: int, answer: StandInAnswer) -> None:
        """Send an answer's headers and half its body."""
        self.queue_headers(stream_id, answer)
        half = answer.payload.encode()[: len(answer.payload) // 2]
        self.state.send_data(stream_id, half)
        await self.flush()

    def refuse(self, stream_id: int) -> None:
        """Refuse a stream: it was not run."""
        code = h2.errors.ErrorCodes.REFUSED_STREAM
        self.state.reset_stream(stream_id, code)

    def reset(self, stream_id: int) -> None:
        """Reset a stream without saying whether it ran."""
        code = h2.errors.ErrorCodes.INTERNAL_ERROR
        self.state.reset_stream(stream_id, code)

    def send_goaway(self) -> None:
        """Announce that streams above the last one are not taken."""
        self.state.close_connection(last_stream_id=self.last_stream_id)
        self.went_away = True

    def drop(self) -> None:
        """End the connection with all that runs on it."""
        self.scope.cancel()
