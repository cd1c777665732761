"""Requests and answers as the slices hand them to each other."""

import attrs

from burdocksill.network.protocols import Address
from burdocksill.requests.verdict import Reason, Verdict


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold a caller's request, read from one datagram.

    `timeout_seconds` is what the caller still waits, 0 when it did not say.
    """

    service: str
    method: str
    token: bytes
    message_id: int
    confirmable: bool
    path: tuple[str, ...] = ()
    query: tuple[str, ...] = ()
    payload: bytes = b''
    cookie: bytes = b''
    timeout_seconds: float = 0
    observe: int | None = None
    block1: bytes = b''
    block2: bytes = b''
    etag: bytes = b''
    content_format: int | None = None
    wants_hops: bool = False
    cancels: bool = False

    @property
    def idempotent(self) -> bool:
        """Return True for methods that RFC 7252 and 8132 call idempotent."""
        return self.method not in {'POST', 'PATCH'}


@attrs.frozen(kw_only=True)
class Answer:
    """Hold what goes back to a caller."""

    code: str
    verdict: Verdict
    payload: bytes = b''
    content_format: int | None = None
    reason: Reason | None = None
    message: str = ''
    max_age_seconds: float | None = None
    cookie: bytes = b''
    observe: int | None = None
    block1: bytes = b''
    block2: bytes = b''
    etag: bytes = b''
    hops: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Envelope:
    """Hold a request with where it came from and which VMs passed it on.

    `refused` says that the holder of its epoch refused it for good: it was
    not run, and only a new flow is wanted.
    """

    request: CallerRequest
    caller: Address
    hops: tuple[str, ...] = ()
    raw: bytes = b''
    refused: bool = False
    # How often this VM has routed the packet again.
    detours: int = 0
