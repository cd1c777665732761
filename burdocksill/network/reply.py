"""HTTP response, in a module without imports that delay a start."""

from __future__ import annotations

from burdocksill.values import Value


class HttpReply(Value):
    """An HTTP response with its complete body."""

    __slots__ = ('body', 'headers', 'media_type', 'status')

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b'',
        media_type: str = 'text/plain; charset=utf-8',
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Store the arguments."""
        self.status = status
        self.body = body
        self.media_type = media_type
        # Names in lower case.
        self.headers = headers

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it is missing."""
        return next((text for one, text in self.headers if one == name), '')
