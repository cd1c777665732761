"""Minimal HTTP/1.1 client for the initial read of the store.

Importing h11 takes longer than everything else that the initial read needs.
This module decodes only the responses that the store sends: a status and a body
with Content-Length. Anything else is an error, after which the main program
reads the store again with h11.
"""

from __future__ import annotations

from burdocksill.network.reply import HttpReply

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.network.addresses import Address

END_OF_HEAD: Final = b'\r\n\r\n'
# Far above the size of the store's response heads.
MAX_HEAD_BYTES: Final = 16384
VERSION: Final = 'HTTP/1.1'


class MinimalHttpError(ConnectionError):
    """A response is malformed or of a kind that is not supported here."""


class MinimalHttpExchange:
    """Encode GET requests and decode responses, one exchange at a time."""

    __slots__ = ('body_at', 'buffer', 'end_at', 'headers', 'remote', 'status')

    def __init__(self, *, remote: Address) -> None:
        """Start with an empty buffer."""
        self.remote = remote
        self.buffer = bytearray()
        # Offsets of the response body in the buffer; 0 until the head is
        # complete.
        self.body_at: int = 0
        self.end_at: int = 0
        self.status: int = 0
        self.headers: dict[str, str] = {}

    def request(self, target: str) -> bytes:
        """Return the bytes of a request."""
        return (
            f'GET {target} {VERSION}\r\nHost: {self.remote}\r\n'
            'User-Agent: burdocksill\r\n\r\n'
        ).encode()

    def receive(self, received: bytes) -> HttpReply | None:
        """Decode received bytes; return the response once it is complete."""
        if not received:
            raise MinimalHttpError(f'{self.remote} closed the connection')
        self.buffer += received
        if not (self.body_at or self.find_head()):
            return None
        if len(self.buffer) < self.end_at:
            return None
        body = bytes(self.buffer[self.body_at : self.end_at])
        del self.buffer[: self.end_at]
        self.body_at = 0
        return HttpReply(
            status=self.status,
            body=body,
            headers=tuple(self.headers.items()),
        )

    def find_head(self) -> bool:
        """Decode the head; return False until it is complete."""
        end = self.buffer.find(END_OF_HEAD)
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise MinimalHttpError('the response head is too long')
            return False
        status, headers = read_head(bytes(self.buffer[:end]))
        self.status = status
        self.headers = headers
        self.body_at = end + len(END_OF_HEAD)
        self.end_at = self.body_at + int(headers['content-length'])
        return True


def read_head(head: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and headers of a response with Content-Length."""
    first, *lines = head.decode('latin-1').split('\r\n')
    version, _, rest = first.partition(' ')
    status = rest[:3]
    fields: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    length = fields.get('content-length', '')
    if version != VERSION or not status.isdecimal() or not length.isdecimal():
        raise MinimalHttpError(f'unsupported response: {first!r}')
    return int(status), fields
