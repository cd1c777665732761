"""Requests to upstreams and their answers."""

import attrs


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """Hold a request for HTTP/2; `timeout_seconds` is what is left."""

    method: str
    path: str
    payload: bytes = b''
    content_type: str = ''
    timeout_seconds: float = 0
    flow: str = ''
    # For a feed: the position after which its lines are wanted.
    feed_after: int | None = None


@attrs.frozen(kw_only=True)
class UpstreamAnswer:
    """Hold a whole answer: END_STREAM was seen."""

    status: int
    payload: bytes
    content_type: str = ''
    etag: str = ''


@attrs.frozen(kw_only=True)
class UpstreamHint:
    """Hold what an owner tells others of one upstream; it may be stale.

    Gossip carries it; placement reads it; the owner has the last word.
    """

    service: str
    upstream: str
    free_slots: int
    slots: int
    cold: bool = False
    leaving: bool = False
    flows: int = 0


@attrs.frozen(kw_only=True)
class Identity:
    """Hold who an upstream says it is; a restart makes a new instance."""

    service: str
    upstream: str
    instance: str
