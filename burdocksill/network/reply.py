"""HTTP response, in a module without imports that delay a start."""

from __future__ import annotations

from burdocksill.values import Value


class HttpReply(Value):
    """An HTTP response with its complete body."""

    __slots__ = ('body', 'media_type', 'status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b'',
        media_type: str = 'text/plain; charset=utf-8',
    ) -> None:
        """Store the arguments."""
        self.status = status
        self.body = body
        self.media_type = media_type
