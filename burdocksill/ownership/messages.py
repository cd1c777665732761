"""Messages of a planned handover between two entry VMs of a failure domain."""

import attrs

from burdocksill.requests.messages import Answer


@attrs.frozen(kw_only=True)
class HandoverRequest:
    """Ask the former owner of an upstream for what it holds."""

    service: str
    upstream: str


@attrs.frozen(kw_only=True)
class HandoverNone:
    """Say that this VM holds nothing of an upstream."""

    service: str
    upstream: str


@attrs.frozen(kw_only=True)
class HandoverEntry:
    """Hold one remembered request; it still runs while it has no answer."""

    epoch: bytes
    key: bytes
    digest: bytes
    # Seconds, not a time: the two VMs' clocks need not agree.
    expires_in: float
    answer: Answer | None = None


@attrs.frozen(kw_only=True)
class HandoverEpoch:
    """Hold one epoch that goes over to the heir."""

    epoch: bytes
    expires_in: float
    sealed: bool = False


@attrs.frozen(kw_only=True)
class HandoverPart:
    """Carry one part of a transfer; the heir holds nothing before the last."""

    service: str
    upstream: str
    transfer: bytes
    part: int
    parts: int
    epochs: tuple[HandoverEpoch, ...]
    entries: tuple[HandoverEntry, ...]
    # What the upstream bore at once, and its instance that bore it.
    limit: int = 0
    instance: str = ''


@attrs.frozen(kw_only=True)
class HandoverAck:
    """Acknowledge one part of a transfer."""

    transfer: bytes
    part: int


@attrs.frozen(kw_only=True)
class HandoverSettled:
    """Tell the heir the answer of a request that was running."""

    service: str
    upstream: str
    entry: HandoverEntry


@attrs.frozen(kw_only=True)
class HandoverSettledAck:
    """Acknowledge the answer of a request that was running."""

    epoch: bytes
    key: bytes
