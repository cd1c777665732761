"""What becomes of a packet, and why."""

import enum

import attrs


class Reason(enum.StrEnum):
    """Say what decided; log lines, counters and tests use the same words."""

    OPENED = 'opened'
    OPENED_ELSEWHERE = 'opened-elsewhere'
    FOLLOWED = 'followed'
    MALFORMED = 'malformed'
    NO_ROUTE = 'no-route'
    ROUTE_REMOVED = 'route-removed'
    NOT_READY = 'not-ready'
    NO_UPSTREAM = 'no-upstream'
    UNKNOWN_ECHO = 'unknown-echo'
    UPSTREAM_GONE = 'upstream-gone'
    UPSTREAM_DARK = 'upstream-dark'
    FLOW_SILENT = 'flow-silent'


@attrs.frozen
class Forward:
    """Send a packet to an upstream."""

    payload: bytes
    target: tuple[str, int]
    reason: Reason


@attrs.frozen
class Reset:
    """End the client's flow at once, so that it can try another."""

    payload: bytes
    target: tuple[str, int]
    reason: Reason


@attrs.frozen
class Drop:
    """Send nothing; the client's own repeat is the next chance."""

    reason: Reason


Verdict = Forward | Reset | Drop
