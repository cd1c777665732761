"""Messages of a planned handover between two entry VMs of a failure domain."""

import attrs

from burdocksill.requests.messages import Answer


@attrs.frozen(kw_only=True)
class HandoverRequest:
    """Request the handover of an upstream from its previous owner."""

    service: str
    upstream: str


@attrs.frozen(kw_only=True)
class HandoverNone:
    """Report that this VM holds no epochs of an upstream."""

    service: str
    upstream: str


@attrs.frozen(kw_only=True)
class HandoverEntry:
    """Hold one stored request; without an answer it is still running."""

    epoch: bytes
    key: bytes
    digest: bytes
    # A duration in seconds, since the clocks of the two VMs may differ.
    expires_in: float
    answer: Answer | None = None


@attrs.frozen(kw_only=True)
class HandoverEpoch:
    """Hold one epoch that is handed over to the successor."""

    epoch: bytes
    expires_in: float
    sealed: bool = False


@attrs.frozen(kw_only=True)
class HandoverPart:
    """Hold one part of a transfer, which takes effect when complete."""

    service: str
    upstream: str
    transfer: bytes
    part: int
    parts: int
    epochs: tuple[HandoverEpoch, ...]
    entries: tuple[HandoverEntry, ...]
    # Concurrency limit of the upstream and the instance that it applies to.
    limit: int = 0
    instance: str = ''


@attrs.frozen(kw_only=True)
class HandoverAck:
    """Acknowledge one part of a transfer."""

    transfer: bytes
    part: int


@attrs.frozen(kw_only=True)
class HandoverSettled:
    """Report the answer of a request that ran during the handover."""

    service: str
    upstream: str
    entry: HandoverEntry


@attrs.frozen(kw_only=True)
class HandoverSettledAck:
    """Acknowledge the answer of a request that ran during the handover."""

    epoch: bytes
    key: bytes
