"""Feeds: positions, observe numbers and what an owner hands over.

A feed is a long answer of the upstream with one line a notification. Each
line begins with its position; the ETag of the notification carries it, so
that a caller sees gaps and can go on from there at any owner.
"""

from typing import Final

import attrs

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

REGISTER: Final = 0
DEREGISTER: Final = 1
POSITION_BYTES: Final = 8
MAX_LINE_BYTES: Final = 1024
# RFC 7641, section 3.4: 24 bits, compared modulo; a clock of 256 ticks a
# second goes round in 18 hours and never stands still between owners.
OBSERVE_NUMBERS: Final = 1 << 24
OBSERVE_TICKS: Final = 256


@attrs.frozen(kw_only=True)
class FeedLine:
    """Hold one line of a feed; without a payload it only tells a position."""

    position: int
    payload: bytes


@attrs.frozen(kw_only=True)
class FeedState:
    """Hold what another owner needs to go on with a caller's feed."""

    flow_id: bytes
    token: bytes
    caller_host: str
    caller_port: int
    path: tuple[str, ...]
    query: tuple[str, ...]
    position: int
    observe: int
    wants_hops: bool = False


def is_feed(request: CallerRequest) -> bool:
    """Return True for a request that opens, keeps or ends a feed."""
    return request.method == 'GET' and request.observe is not None


def parse_line(line: bytes) -> FeedLine:
    """Read one line of an upstream's feed; raise RequestFailedError."""
    position, _, payload = line.partition(b' ')
    if not position.isdigit() or len(payload) > MAX_LINE_BYTES:
        raise RequestFailedError(
            verdict=Verdict.RAN,
            reason=Reason.FEED_REFUSED,
            message='a line of the feed has no position or is too long',
        )
    return FeedLine(position=int(position), payload=payload)


def encode_position(position: int) -> bytes:
    """Write a position as the ETag of a notification."""
    return position.to_bytes(POSITION_BYTES, 'big')


def decode_position(etag: bytes) -> int | None:
    """Return the position in an ETag, None without one."""
    return int.from_bytes(etag, 'big') if etag else None


def next_observe(last: int, now: float) -> int:
    """Return a number above the last, also above an earlier owner's."""
    return max(last + 1, int(now * OBSERVE_TICKS))
