"""Feeds: positions, Observe numbers and the state for a handover.

A feed is a streamed answer of the upstream with one line for each notification.
Each line begins with its position, which the notification carries as its ETag.
So a caller detects gaps and can resume at any owner.
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
# RFC 7641, section 3.4: 24-bit numbers, compared modulo. With 256 per second of
# the clock they wrap after 18 hours and also increase from owner to owner.
OBSERVE_NUMBERS: Final = 1 << 24
OBSERVE_TICKS: Final = 256


@attrs.frozen(kw_only=True)
class FeedLine:
    """Hold one line of a feed; without a payload it confirms a position."""

    position: int
    payload: bytes


@attrs.frozen(kw_only=True)
class FeedState:
    """Hold the state with which another owner can resume a feed."""

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
    """Return True for a request that opens, renews or ends a feed."""
    return request.method == 'GET' and request.observe is not None


def parse_line(line: bytes) -> FeedLine:
    """Parse one line of an upstream's feed; raise RequestFailedError."""
    position, _, payload = line.partition(b' ')
    if not position.isdigit() or len(payload) > MAX_LINE_BYTES:
        raise RequestFailedError(
            verdict=Verdict.RAN,
            reason=Reason.FEED_REFUSED,
            message='a line of the feed has no position or is too long',
        )
    return FeedLine(position=int(position), payload=payload)


def encode_position(position: int) -> bytes:
    """Encode a position as the ETag of a notification."""
    return position.to_bytes(POSITION_BYTES, 'big')


def decode_position(etag: bytes) -> int | None:
    """Decode the position of an ETag, None for an empty ETag."""
    return int.from_bytes(etag, 'big') if etag else None


def next_observe(last: int, now: float) -> int:
    """Return a number above the last one and those of earlier owners."""
    return max(last + 1, int(now * OBSERVE_TICKS))
