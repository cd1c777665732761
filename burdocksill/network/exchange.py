"""One HTTP/1.1 request and its answer as bytes, without any socket."""

from typing import Final

import attrs
import h11

from burdocksill.network.addresses import Address
from burdocksill.network.reply import HttpReply

AGENT: Final = ('User-Agent', 'burdocksill')


@attrs.define(kw_only=True, eq=False, repr=False)
class HttpExchange:
    """Write requests and read answers, one after the other."""

    remote: Address
    protocol: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT),
    )
    status: int = 0
    # Length of the body that the answer announces; 0 until it is known.
    expected: int = 0
    parts: list[bytes] = attrs.field(factory=list)

    def request(self, method: str, target: str, body: bytes = b'') -> bytes:
        """Return the bytes of a request."""
        self.status = 0
        self.expected = 0
        self.parts = []
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ('Host', str(self.remote)),
                AGENT,
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        out = self.protocol.send(request) or b''
        if body:
            out += self.protocol.send(h11.Data(data=body)) or b''
        return out + (self.protocol.send(h11.EndOfMessage()) or b'')

    def receive(self, received: bytes) -> HttpReply | None:
        """Take in bytes; return the answer once it is whole."""
        self.protocol.receive_data(received)
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                return None
            if self.take(event):
                return HttpReply(status=self.status, body=b''.join(self.parts))

    def take(self, event: object) -> bool:
        """Take in one event; return True for the end of an answer."""
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError(f'{self.remote} closed')
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.expected = body_length(event)
        elif isinstance(event, h11.Data):
            self.parts.append(bytes(event.data))
        return isinstance(event, h11.EndOfMessage)

    def next_round(self) -> bool:
        """Prepare for another request; False when the connection ends."""
        if self.protocol.our_state is h11.MUST_CLOSE:
            return False
        self.protocol.start_next_cycle()
        return True


def body_length(response: h11.Response) -> int:
    """Return the announced length of a body, 0 where none is."""
    for name, text in response.headers:
        if name == b'content-length':
            return int(text)
    return 0
