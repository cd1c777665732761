"""An HTTP answer, without anything that could read one."""

from __future__ import annotations

from burdocksill.values import Value


class HttpReply(Value):
    """Hold an answer with its whole body."""

    __slots__ = ('body', 'media_type', 'status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b'',
        media_type: str = 'text/plain; charset=utf-8',
    ) -> None:
        """Take all fields."""
        self.status = status
        self.body = body
        self.media_type = media_type
