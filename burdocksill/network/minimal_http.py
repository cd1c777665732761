"""The few HTTP calls that a process makes before its libraries are there.

Importing h11 takes longer than all that the first reading needs besides. This
reads the answers of one kind that the store gives: a status and a body whose
length is told. Anything else is an error, and the program proper, which has
h11, reads the store again.
"""

from __future__ import annotations

from burdocksill.network.reply import HttpReply

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.network.addresses import Address

END_OF_HEAD: Final = b'\r\n\r\n'
# Far more than the head of any answer takes.
LARGEST_HEAD: Final = 16384
VERSION: Final = 'HTTP/1.1'


class MinimalHttpError(ConnectionError):
    """Say that an answer is of another kind than is read here."""


class MinimalHttpExchange:
    """Write requests without a body and read their answers, in turn."""

    __slots__ = ('body_at', 'buffer', 'end_at', 'remote', 'status')

    def __init__(self, *, remote: Address) -> None:
        """Begin with nothing read."""
        self.remote = remote
        self.buffer = bytearray()
        # Where the answer's body begins and ends in the buffer; 0 until its
        # head is there.
        self.body_at: int = 0
        self.end_at: int = 0
        self.status: int = 0

    def request(self, target: str) -> bytes:
        """Return the bytes of a request."""
        return (
            f'GET {target} {VERSION}\r\nHost: {self.remote}\r\n'
            'User-Agent: burdocksill\r\n\r\n'
        ).encode()

    def receive(self, received: bytes) -> HttpReply | None:
        """Take in bytes; return the answer once it is whole."""
        if not received:
            raise MinimalHttpError(f'{self.remote} closed')
        self.buffer += received
        if not (self.body_at or self.find_head()):
            return None
        if len(self.buffer) < self.end_at:
            return None
        body = bytes(self.buffer[self.body_at : self.end_at])
        del self.buffer[: self.end_at]
        self.body_at = 0
        return HttpReply(status=self.status, body=body)

    def find_head(self) -> bool:
        """Read the head; False until the whole of it is there."""
        end = self.buffer.find(END_OF_HEAD)
        if end < 0:
            if len(self.buffer) > LARGEST_HEAD:
                raise MinimalHttpError('the head of the answer has no end')
            return False
        status, length = read_head(bytes(self.buffer[:end]))
        self.status = status
        self.body_at = end + len(END_OF_HEAD)
        self.end_at = self.body_at + length
        return True


def read_head(head: bytes) -> tuple[int, int]:
    """Return the status and the length of the body."""
    first, *lines = head.decode('latin-1').split('\r\n')
    version, _, rest = first.partition(' ')
    status = rest[:3]
    fields: dict[str, str] = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    length = fields.get('content-length', '')
    if version != VERSION or not status.isdecimal() or not length.isdecimal():
        raise MinimalHttpError(f'cannot read an answer that begins {first!r}')
    return int(status), int(length)
