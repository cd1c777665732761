"""Encoding of the datagrams with loads.

Loads take one byte: exact up to 16, then in steps of 5 percent.
"""

import struct
from bisect import bisect_left
from collections.abc import Iterable
from itertools import islice
from typing import Final

import attrs

from burdocksill.readers.load_messages import (
    LoadReport,
    LoadSummary,
    UpstreamLoad,
)

LOAD_REPORT_KIND: Final = 9
LOAD_SUMMARY_KIND: Final = 10
# Kind, time of sending in milliseconds, rounds, number of groups.
REPORT: Final = struct.Struct('>BIBB')
# Kind, time of sending in milliseconds, whether it is for readers, age, rounds,
# number of groups.
SUMMARY: Final = struct.Struct('>BI?BBB')
# Number of the group, requests in progress or nodes.
GROUP: Final = struct.Struct('>IH')
# Echo, flows, requests in progress, answer time, errors.
ROW: Final = struct.Struct('>IBBBB')
# With two datagrams a second, a node sends and receives less than 2 KB.
MAX_REPORT_BYTES: Final = 380
MAX_SUMMARY_BYTES: Final = 460
MAX_GROUPS: Final = 48
MAX_ROWS: Final = MAX_SUMMARY_BYTES // ROW.size
MAX_COUNT: Final = (1 << 16) - 1
MAX_BYTE: Final = (1 << 8) - 1
MILLISECONDS: Final = 1000
TIME_BITS: Final = 32
# Unit of errors: a tenth of one a second.
ERROR_UNITS: Final = 10
# Unit of ages: 20 ms.
AGE_UNITS: Final = 50
EXACT_STEPS: Final = 16
STEP_FACTOR: Final = 1.05
STEPS: Final[tuple[float, ...]] = tuple(
    float(code)
    if code <= EXACT_STEPS
    else EXACT_STEPS * STEP_FACTOR ** (code - EXACT_STEPS)
    for code in range(MAX_BYTE + 1)
)
# Bounds between the values of neighbouring codes.
STEP_BOUNDS: Final = tuple(
    (low + high) / 2 for low, high in zip(STEPS, STEPS[1:], strict=False)
)


@attrs.frozen
class SummaryHeader:
    """Hold the fixed part of a summary, with fields in wire order."""

    kind: int
    sent_ms: int
    for_readers: bool
    age: int
    rounds: int
    group_count: int


def quantise(amount: float) -> int:
    """Return the code of the nearest step."""
    return bisect_left(STEP_BOUNDS, amount)


def report_capacity(groups: int) -> int:
    """Return how many rows a report with at most MAX_GROUPS groups holds."""
    return (MAX_REPORT_BYTES - REPORT.size - groups * GROUP.size) // ROW.size


def summary_capacity(groups: int) -> int:
    """Return how many rows a summary with at most MAX_GROUPS groups holds."""
    return (MAX_SUMMARY_BYTES - SUMMARY.size - groups * GROUP.size) // ROW.size


def encode_report(report: LoadReport) -> bytes:
    """Encode a report of a node."""
    head = REPORT.pack(
        LOAD_REPORT_KIND,
        milliseconds(report.sent_at),
        min(report.rounds, MAX_BYTE),
        min(len(report.groups), MAX_GROUPS),
    )
    return head + encode_groups(report.groups) + encode_rows(report.rows)


def encode_summary(summary: LoadSummary) -> bytes:
    """Encode a summary of a reader."""
    head = SUMMARY.pack(
        LOAD_SUMMARY_KIND,
        milliseconds(summary.sent_at),
        summary.for_readers,
        min(round(summary.age_seconds * AGE_UNITS), MAX_BYTE),
        min(summary.rounds, MAX_BYTE),
        min(len(summary.groups), MAX_GROUPS),
    )
    return head + encode_groups(summary.groups) + encode_rows(summary.rows)


def milliseconds(seconds: float) -> int:
    """Return a time in milliseconds, without its upper bits."""
    return round(seconds * MILLISECONDS) % (1 << TIME_BITS)


def encode_groups(groups: dict[int, int]) -> bytes:
    """Encode the sums of groups."""
    return b''.join(
        GROUP.pack(number, min(count, MAX_COUNT))
        for number, count in islice(groups.items(), MAX_GROUPS)
    )


def encode_rows(rows: Iterable[UpstreamLoad]) -> bytes:
    """Encode the loads of upstreams."""
    return b''.join(
        ROW.pack(
            row.echo,
            quantise(row.flows),
            quantise(row.in_progress),
            quantise(row.answer_seconds * MILLISECONDS),
            quantise(row.errors_per_second * ERROR_UNITS),
        )
        for row in rows
    )


def decode_load(payload: bytes) -> LoadReport | LoadSummary | None:
    """Decode a datagram with loads; return None if it is another or invalid."""
    kind = payload[0] if payload else 0
    if kind == LOAD_REPORT_KIND and len(payload) >= REPORT.size:
        _, sent_ms, rounds, count = REPORT.unpack_from(payload)
        body = decode_body(payload[REPORT.size :], count)
        if body is None or not rounds:
            return None
        return LoadReport(
            sent_at=sent_ms / MILLISECONDS,
            rounds=rounds,
            groups=body[0],
            rows=body[1],
        )
    if kind == LOAD_SUMMARY_KIND and len(payload) >= SUMMARY.size:
        return decode_summary(payload)
    return None


def decode_summary(payload: bytes) -> LoadSummary | None:
    """Decode a summary; return None if it is invalid."""
    head = SummaryHeader(*SUMMARY.unpack_from(payload))
    body = decode_body(payload[SUMMARY.size :], head.group_count)
    if body is None or not head.rounds:
        return None
    return LoadSummary(
        sent_at=head.sent_ms / MILLISECONDS,
        age_seconds=head.age / AGE_UNITS,
        groups=body[0],
        rows=body[1],
        rounds=head.rounds,
        for_readers=head.for_readers,
    )


def decode_body(
    body: bytes, group_count: int
) -> tuple[dict[int, int], tuple[UpstreamLoad, ...]] | None:
    """Decode groups and rows; return None if they are invalid."""
    rows_at = group_count * GROUP.size
    rows, rest = divmod(len(body) - rows_at, ROW.size)
    if rest or group_count > MAX_GROUPS or not 0 <= rows <= MAX_ROWS:
        return None
    return (
        dict(GROUP.iter_unpack(body[:rows_at])),
        tuple(
            UpstreamLoad(
                echo=echo,
                flows=STEPS[flows],
                in_progress=STEPS[in_progress],
                answer_seconds=STEPS[answer] / MILLISECONDS,
                errors_per_second=STEPS[errors] / ERROR_UNITS,
            )
            for echo, flows, in_progress, answer, errors in ROW.iter_unpack(
                body[rows_at:]
            )
        ),
    )
