"""Messages between entry VMs, with their kind numbers on the wire."""

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
    """Relay a caller's datagram to the VM that owns its upstream.

    `upstream` is set for a new flow only; the owner decides whether to use it.
    `refused` means that the holder of the request's epoch has refused it.
    """

    raw: bytes
    caller_host: str
    caller_port: int
    hops: tuple[str, ...] = ()
    upstream: str = ''
    refused: bool = False
    # W3C Trace Context of the previous hop; empty if it is not traced.
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
    """Hold the payloads that heartbeats piggyback, each of a bounded size.

    Membership encodes states and ages of heard domains, and hints; documents
    encode the digest.
    """

    members: tuple[MemberRecord, ...] = ()
    states: bytes = b''
    heard: bytes = b''
    digest: bytes = b''
    hints: bytes = b''


@attrs.frozen(kw_only=True)
class Probe:
    """Request an ack from a member."""

    number: int
    gossip: Gossip


@attrs.frozen(kw_only=True)
class ProbeAck:
    """Acknowledge a probe; `about` is the target of an indirect probe."""

    number: int
    gossip: Gossip
    about: bytes = b''


@attrs.frozen(kw_only=True)
class ProbeRequest:
    """Request an indirect probe of a member that did not answer."""

    number: int
    target: bytes


@attrs.frozen(kw_only=True)
class SequenceFloor:
    """Tell a sender that its sequence numbers are below the window."""

    floor: int


@attrs.frozen(kw_only=True)
class RecordPull:
    """Request the records after a revision."""

    after: int


@attrs.frozen(kw_only=True)
class RecordChunk:
    """Send a piece of one compressed record; `more` requests another pull.

    `previous` is the revision before it in the order of the sender.
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
