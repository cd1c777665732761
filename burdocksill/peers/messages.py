"""Messages between entry VMs; each slice adds its own to the catalog."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from burdocksill.ownership.messages import (
    HandoverAck,
    HandoverNone,
    HandoverPart,
    HandoverRequest,
    HandoverSettled,
    HandoverSettledAck,
)


@attrs.frozen(kw_only=True)
class RelayRequest:
    """Pass a caller's datagram on to the VM that owns its upstream.

    `upstream` is set for a new flow only: the owner has the last word on it.
    """

    raw: bytes
    caller_host: str
    caller_port: int
    hops: tuple[str, ...] = ()
    upstream: str = ''
    # W3C Trace Context of the hop before, empty when it is not traced.
    traceparent: str = ''


# The number of a kind is part of the wire format: append, never renumber.
MESSAGE_KINDS: Final[Mapping[int, type]] = MappingProxyType(
    {
        1: RelayRequest,
        2: HandoverRequest,
        3: HandoverNone,
        4: HandoverPart,
        5: HandoverAck,
        6: HandoverSettled,
        7: HandoverSettledAck,
    }
)
