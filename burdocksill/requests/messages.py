"""Requests and answers as the slices hand them to each other."""

from typing import Final

import attrs

from burdocksill.network.protocols import Address
from burdocksill.requests.verdict import Reason, Verdict

# A GET of this path brings a fresh cookie and reaches no upstream.
COOKIE_PATH: Final = ('.well-known', 'burdocksill', 'cookie')
# RFC 7959, section 2.2: a block has 2 ** (exponent + 4) bytes, at most 1024.
MAX_EXPONENT: Final = 6
EXPONENT_BASE: Final = 4


@attrs.frozen(kw_only=True)
class Block:
    """Hold a block option: which block, its size, and whether more follow."""

    number: int
    more: bool = False
    exponent: int = MAX_EXPONENT

    @property
    def size(self) -> int:
        """Return the size of a whole block in bytes."""
        return 1 << (self.exponent + EXPONENT_BASE)

    @property
    def start(self) -> int:
        """Return where the block starts in its body."""
        return self.number * self.size


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
    block1: Block | None = None
    block2: Block | None = None
    size2: int | None = None
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
    # The cookie shows that the caller receives at the address it sends from.
    verified: bool = False
    refused: bool = False
    # Another VM held its epoch: it may have run there, whatever is done here.
    may_have_run_elsewhere: bool = False
    # How often this VM has routed the packet again.
    reroutes: int = 0
