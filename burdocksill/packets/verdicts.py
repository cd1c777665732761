"""Verdicts on packets and their reasons."""

from __future__ import annotations

import enum

from burdocksill.values import Value


class Reason(enum.StrEnum):
    """Reason of a verdict, as log lines, counters and tests show it."""

    OPENED = 'opened'
    OPENED_ELSEWHERE = 'opened-elsewhere'
    FOLLOWED = 'followed'
    PROBED = 'probed'
    OPENING_MISSED = 'opening-missed'
    MALFORMED = 'malformed'
    NO_ROUTE = 'no-route'
    ROUTE_REMOVED = 'route-removed'
    NOT_READY = 'not-ready'
    NO_UPSTREAM = 'no-upstream'
    OVERLOADED = 'overloaded'
    UNKNOWN_ECHO = 'unknown-echo'
    UPSTREAM_GONE = 'upstream-gone'
    UPSTREAM_REPLACED = 'upstream-replaced'
    UPSTREAM_DARK = 'upstream-dark'
    UPSTREAM_SILENT = 'upstream-silent'
    FLOW_SILENT = 'flow-silent'


class Forward(Value):
    """Verdict: send a packet to an upstream."""

    __slots__ = ('payload', 'reason', 'target')

    def __init__(
        self,
        payload: bytes,
        target: tuple[str, int],
        reason: Reason,
    ) -> None:
        """Store the arguments."""
        self.payload = payload
        self.target = target
        self.reason = reason


class Reset(Value):
    """Verdict: reset the client's flow, so that it opens another at once."""

    __slots__ = ('payload', 'reason', 'target')

    def __init__(
        self,
        payload: bytes,
        target: tuple[str, int],
        reason: Reason,
    ) -> None:
        """Store the arguments."""
        self.payload = payload
        self.target = target
        self.reason = reason


class Drop(Value):
    """Verdict: send nothing; the client retransmits."""

    __slots__ = ('reason',)

    def __init__(
        self,
        reason: Reason,
    ) -> None:
        """Store the arguments."""
        self.reason = reason


Verdict = Forward | Reset | Drop
