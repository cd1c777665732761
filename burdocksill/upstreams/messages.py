"""Requests to upstreams and their answers."""

import attrs


@attrs.frozen(kw_only=True)
class UpstreamRequest:
    """Hold an HTTP/2 request; `timeout_seconds` is the remaining time."""

    method: str
    path: str
    payload: bytes = b''
    content_type: str = ''
    timeout_seconds: float = 0
    flow: str = ''
    # Position after which a feed's lines are requested.
    feed_after: int | None = None


@attrs.frozen(kw_only=True)
class UpstreamAnswer:
    """Hold a complete answer, whose END_STREAM was received."""

    status: int
    payload: bytes
    content_type: str = ''
    etag: str = ''


@attrs.frozen(kw_only=True)
class UpstreamHint:
    """Hold an owner's hint on one upstream, which may be stale.

    Gossip distributes it and placement reads it; the owner decides.
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
    """Hold the identity that an upstream reports.

    Each start of the upstream has another `instance`.
    """

    service: str
    upstream: str
    instance: str
