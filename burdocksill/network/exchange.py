"""HTTP/1.1 requests and responses as bytes, without I/O."""

from typing import Final

import attrs
import h11

from burdocksill.network.addresses import Address
from burdocksill.network.reply import HttpReply

USER_AGENT: Final = ('User-Agent', 'burdocksill')


@attrs.define(kw_only=True, eq=False, repr=False)
class HttpExchange:
    """Encode requests and decode responses, one exchange at a time."""

    remote: Address
    protocol: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT),
    )
    status: int = 0
    # Content-Length of the response; 0 until it is known.
    expected: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    parts: list[bytes] = attrs.field(factory=list)

    def request(self, method: str, target: str, body: bytes = b'') -> bytes:
        """Return the bytes of a request."""
        self.status = 0
        self.expected = 0
        self.headers = ()
        self.parts = []
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ('Host', str(self.remote)),
                USER_AGENT,
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        out = self.protocol.send(request) or b''
        if body:
            out += self.protocol.send(h11.Data(data=body)) or b''
        return out + (self.protocol.send(h11.EndOfMessage()) or b'')

    def receive(self, received: bytes) -> HttpReply | None:
        """Decode received bytes; return the response once it is complete."""
        self.protocol.receive_data(received)
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                return None
            if self.handle_event(event):
                return HttpReply(
                    status=self.status,
                    body=b''.join(self.parts),
                    headers=self.headers,
                )

    def handle_event(self, event: object) -> bool:
        """Handle one h11 event; return True at the end of a response."""
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError(f'{self.remote} closed the connection')
        if isinstance(event, h11.Response):
            self.status = event.status_code
            self.expected = body_length(event)
            self.headers = tuple(
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in event.headers
            )
        elif isinstance(event, h11.Data):
            self.parts.append(bytes(event.data))
        return isinstance(event, h11.EndOfMessage)

    def prepare_next_request(self) -> bool:
        """Prepare for another request; return False if it must close."""
        if self.protocol.our_state is h11.MUST_CLOSE:
            return False
        self.protocol.start_next_cycle()
        return True


def body_length(response: h11.Response) -> int:
    """Return the Content-Length of a response, 0 if it has none."""
    for name, text in response.headers:
        if name == b'content-length':
            return int(text)
    return 0
