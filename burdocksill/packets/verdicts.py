"""What becomes of a packet, and why."""

from __future__ import annotations

import enum

from burdocksill.values import Value


class Reason(enum.StrEnum):
    """Say what decided; log lines, counters and tests use the same words."""

    OPENED = 'opened'
    OPENED_ELSEWHERE = 'opened-elsewhere'
    FOLLOWED = 'followed'
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
    FLOW_SILENT = 'flow-silent'


class Forward(Value):
    """Send a packet to an upstream."""

    __slots__ = ('payload', 'reason', 'target')

    def __init__(
        self,
        payload: bytes,
        target: tuple[str, int],
        reason: Reason,
    ) -> None:
        """Take all fields."""
        self.payload = payload
        self.target = target
        self.reason = reason


class Reset(Value):
    """End the client's flow at once, so that it can try another."""

    __slots__ = ('payload', 'reason', 'target')

    def __init__(
        self,
        payload: bytes,
        target: tuple[str, int],
        reason: Reason,
    ) -> None:
        """Take all fields."""
        self.payload = payload
        self.target = target
        self.reason = reason


class Drop(Value):
    """Send nothing; the client's own repeat is the next chance."""

    __slots__ = ('reason',)

    def __init__(
        self,
        reason: Reason,
    ) -> None:
        """Take all fields."""
        self.reason = reason


Verdict = Forward | Reset | Drop
