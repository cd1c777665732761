"""A stand-in upstream that speaks HTTP/2 and keeps a ledger of its work."""

import json
import uuid
from typing import Final

import attrs
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import trio

from burdocksill.network.protocols import Address
from burdocksill.upstreams.connection import IDENTITY_PATH, READ_BYTES

DEFAULT_WORK_SECONDS: Final = 0.005


@attrs.define(kw_only=True)
class ReceivedRequest:
    """Hold what has arrived of one request."""

    stream_id: int
    headers: dict[str, str]
    body: bytearray = attrs.field(factory=bytearray)


@attrs.define(kw_only=True)
class LedgerEntry:
    """Remember that a request ran, for the checks of the lab."""

    method: str
    path: str
    payload: bytes
    flow: str


@attrs.define(kw_only=True)
class StandInUpstream:
    """Answer requests of one service and remember those that ran."""

    service: str
    name: str
    slots: int = 2
    work_seconds: float = DEFAULT_WORK_SECONDS
    instance: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    ledger: list[LedgerEntry] = attrs.field(factory=list)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        connection = ServerConnection(upstream=self, stream=stream)
        await connection.run()

    async def answer(self, request: ReceivedRequest) -> 'StandInAnswer':
        """Do the work of one request."""
        path = request.headers[':path']
        if path == IDENTITY_PATH:
            identity = {
                'service': self.service,
                'upstream': self.name,
                'instance': self.instance,
            }
            return StandInAnswer(status=200, payload=json.dumps(identity))
        # Noted before the work: whatever may have had an effect counts.
        self.ledger.append(
            LedgerEntry(
                method=request.headers[':method'],
                path=path,
                payload=bytes(request.body),
                flow=request.headers.get('burdocksill-flow', ''),
            ),
        )
        await trio.sleep(self.work_seconds)
        done = {'by': self.name, 'path': path, 'count': len(self.ledger)}
        return StandInAnswer(status=200, payload=json.dumps(done))


@attrs.frozen(kw_only=True)
class StandInAnswer:
    """Hold what the stand-in answers."""

    status: int
    payload: str


@attrs.define(kw_only=True)
class ServerConnection:
    """Serve one HTTP/2 connection with a task for each request."""

    upstream: StandInUpstream
    stream: trio.abc.Stream
    state: h2.connection.H2Connection = attrs.field(init=False)
    requests: dict[int, ReceivedRequest] = attrs.field(factory=dict)
    running: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    sending: trio.Lock = attrs.field(factory=trio.Lock)

    def __attrs_post_init__(self) -> None:
        """Prepare the protocol's state."""
        config = h2.config.H2Configuration(client_side=False)
        self.state = h2.connection.H2Connection(config=config)

    async def flush(self) -> None:
        """Send what the protocol has queued."""
        async with self.sending:
            pending = self.state.data_to_send()
            if pending:
                await self.stream.send_all(pending)

    async def run(self) -> None:
        """Read events until the caller goes away."""
        self.state.initiate_connection()
        try:
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
                headers = {
                    bytes(name).decode(): bytes(text).decode()
                    for name, text in event.headers or ()
                }
                self.requests[event.stream_id] = ReceivedRequest(
                    stream_id=event.stream_id,
                    headers=headers,
                )
            case h2.events.DataReceived():
                length = event.flow_controlled_length or 0
                self.state.acknowledge_received_data(length, event.stream_id)
                self.requests[event.stream_id].body.extend(event.data or b'')
            case h2.events.StreamEnded():
                request = self.requests.pop(event.stream_id)
                nursery.start_soon(self.serve, request)
            case h2.events.StreamReset():
                self.requests.pop(event.stream_id, None)
                scope = self.running.get(event.stream_id)
                if scope is not None:
                    scope.cancel()

    async def serve(self, request: ReceivedRequest) -> None:
        """Answer one request unless the caller cancels it."""
        with trio.CancelScope() as scope:
            self.running[request.stream_id] = scope
            answer = await self.upstream.answer(request)
            await self.send(request.stream_id, answer)
        self.running.pop(request.stream_id, None)

    async def send(self, stream_id: int, answer: StandInAnswer) -> None:
        """Send a whole answer as the window allows."""
        self.state.send_headers(
            stream_id,
            [
                (':status', str(answer.status)),
                ('content-type', 'application/json'),
            ],
        )
        self.state.send_data(
            stream_id,
            answer.payload.encode(),
            end_stream=True,
        )
        await self.flush()


async def serve_upstream(upstream: StandInUpstream, address: Address) -> None:
    """Serve a stand-in on a real address until cancelled."""
    await trio.serve_tcp(
        upstream.serve_stream,
        address.port,
        host=address.host,
    )
