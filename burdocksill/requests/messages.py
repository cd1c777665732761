"""Requests and answers as exchanged between packages."""

from typing import Final

import attrs

from burdocksill.network.protocols import Address
from burdocksill.requests.verdict import Reason, Verdict

# A GET of this path returns a new cookie and is not sent to an upstream.
COOKIE_PATH: Final = ('.well-known', 'burdocksill', 'cookie')
# RFC 7959, section 2.2: a block has 2 ** (exponent + 4) bytes, at most 1024.
MAX_EXPONENT: Final = 6
EXPONENT_BASE: Final = 4


@attrs.frozen(kw_only=True)
class Block:
    """Hold a block option: block number, size and whether more follow."""

    number: int
    more: bool = False
    exponent: int = MAX_EXPONENT

    @property
    def size(self) -> int:
        """Return the size of a full block in bytes."""
        return 1 << (self.exponent + EXPONENT_BASE)

    @property
    def start(self) -> int:
        """Return the offset of the block in its body."""
        return self.number * self.size


@attrs.frozen(kw_only=True)
class CallerRequest:
    """Hold a caller's request, decoded from one datagram.

    `timeout_seconds` is the caller's remaining time, 0 if not given.
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
    block1: Block | None = None
    block2: Block | None = None
    etag: bytes = b''
    request_tag: bytes = b''
    size1: int | None = None
    content_format: int | None = None
    wants_hops: bool = False
    cancels: bool = False

    @property
    def idempotent(self) -> bool:
        """Return True for idempotent methods (RFC 7252, RFC 8132)."""
        return self.method not in {'POST', 'PATCH'}


@attrs.frozen(kw_only=True)
class Answer:
    """Hold an answer to a caller."""

    code: str
    verdict: Verdict
    payload: bytes = b''
    content_format: int | None = None
    reason: Reason | None = None
    message: str = ''
    max_age_seconds: float | None = None
    cookie: bytes = b''
    observe: int | None = None
    block1: Block | None = None
    block2: Block | None = None
    size2: int | None = None
    etag: bytes = b''
    hops: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Envelope:
    """Hold a request, its caller's address and the VMs that relayed it.

    `refused` means that the holder of its epoch has refused it as "not run",
    and that the request is only to open a new flow.
    """

    request: CallerRequest
    caller: Address
    hops: tuple[str, ...] = ()
    raw: bytes = b''
    # The cookie proves that the caller receives at its source address.
    verified: bool = False
    refused: bool = False
    # Another VM held its epoch, so it may have run there.
    may_have_run_elsewhere: bool = False
    # Number of times that this VM has routed the packet again.
    reroutes: int = 0
