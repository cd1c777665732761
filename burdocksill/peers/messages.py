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
    `refused` says that the holder of the request's epoch refused it.
    """

    raw: bytes
    caller_host: str
    caller_port: int
    hops: tuple[str, ...] = ()
    upstream: str = ''
    refused: bool = False
    # W3C Trace Context of the hop before, empty when it is not traced.
    traceparent: str = ''


@attrs.frozen(kw_only=True)
class MemberRecord:
    """Introduce a member to a VM that may not know it."""

    name: str
    domain: str
    host: str
    port: int
    incarnation: int
    state: str


@attrs.frozen(kw_only=True)
class Gossip:
    """Hold what rides on heartbeats, each part within its own budget.

    The packed parts are written and read by the slices that own them: states
    and heard domains by membership, hints by upstreams' hints, the digest by
    documents.
    """

    members: tuple[MemberRecord, ...] = ()
    states: bytes = b''
    heard: bytes = b''
    digest: bytes = b''
    hints: bytes = b''


@attrs.frozen(kw_only=True)
class Probe:
    """Ask a member for a sign of life."""

    number: int
    gossip: Gossip


@attrs.frozen(kw_only=True)
class ProbeAck:
    """Answer a probe; `about` names a member that a helper has heard."""

    number: int
    gossip: Gossip
    about: bytes = b''


@attrs.frozen(kw_only=True)
class ProbeRequest:
    """Ask a helper to probe a member that did not answer us."""

    number: int
    target: bytes


@attrs.frozen(kw_only=True)
class SequenceFloor:
    """Tell a sender that its sequence numbers have fallen behind."""

    floor: int


@attrs.frozen(kw_only=True)
class RecordPull:
    """Ask for the records after a revision."""

    after: int


@attrs.frozen(kw_only=True)
class RecordChunk:
    """Carry a piece of one compressed record; `more` says to pull on.

    `previous` is the revision that came before it in the sender's order.
    """

    key: str
    revision: int
    previous: int
    index: int
    count: int
    piece: bytes
    more: bool = False


# The number of a kind is part of the wire format: append, never renumber.
MESSAGE_KINDS: Final[Mapping[int, type]] = MappingProxyType(
    {
        1: RelayRequest,
        10: Probe,
        11: ProbeAck,
        12: ProbeRequest,
        13: SequenceFloor,
        14: RecordPull,
        15: RecordChunk,
        2: HandoverRequest,
        3: HandoverNone,
        4: HandoverPart,
        5: HandoverAck,
        6: HandoverSettled,
        7: HandoverSettledAck,
    }
)
