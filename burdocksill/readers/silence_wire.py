"""Encoding of the datagrams about upstreams that have fallen silent."""

import struct
from collections.abc import Sequence
from typing import Final

from burdocksill.packets.silence import Evidence, SilenceNotice, SilenceReport
from burdocksill.readers.datagrams import SilenceNotices, SilenceReports

SILENCE_REPORTS_KIND: Final = 11
SILENCE_NOTICES_KIND: Final = 12
# Echo, evidence, client, age in milliseconds.
REPORT: Final = struct.Struct('>IBHH')
# Echo, age in milliseconds, whether it is confirmed.
NOTICE: Final = struct.Struct('>IH?')
# As many as one datagram carries without IP fragmentation.
MAX_ENTRIES: Final = 128
MILLISECONDS: Final = 1000
MAX_AGE_MS: Final = (1 << 16) - 1


def age_ms(at: float, now: float) -> int:
    """Return an age in whole milliseconds, as the clocks of nodes differ."""
    return min(max(round((now - at) * MILLISECONDS), 0), MAX_AGE_MS)


def encode_silence_reports(
    reports: Sequence[SilenceReport], now: float
) -> bytes:
    """Encode reports of one node."""
    return bytes((SILENCE_REPORTS_KIND,)) + b''.join(
        REPORT.pack(
            report.echo,
            report.evidence,
            report.client,
            age_ms(report.at, now),
        )
        for report in reports
    )


def decode_silence_reports(body: bytes, now: float) -> SilenceReports | None:
    """Decode reports by the local clock; return None if invalid."""
    if not is_whole(body, REPORT):
        return None
    try:
        return SilenceReports(
            reports=tuple(
                SilenceReport(
                    echo=echo,
                    evidence=Evidence(evidence),
                    at=now - age / MILLISECONDS,
                    client=client,
                )
                for echo, evidence, client, age in REPORT.iter_unpack(body)
            ),
        )
    except ValueError:
        return None


def encode_silence_notices(
    notices: Sequence[SilenceNotice], now: float
) -> bytes:
    """Encode notices of a domain's reader."""
    return bytes((SILENCE_NOTICES_KIND,)) + b''.join(
        NOTICE.pack(notice.echo, age_ms(notice.at, now), notice.is_confirmed)
        for notice in notices
    )


def decode_silence_notices(body: bytes, now: float) -> SilenceNotices | None:
    """Decode notices by the local clock; return None if invalid."""
    if not is_whole(body, NOTICE):
        return None
    return SilenceNotices(
        notices=tuple(
            SilenceNotice(
                echo=echo,
                at=now - age / MILLISECONDS,
                is_confirmed=is_confirmed,
            )
            for echo, age, is_confirmed in NOTICE.iter_unpack(body)
        ),
    )


def is_whole(body: bytes, entry: struct.Struct) -> bool:
    """Return True when a body holds a valid number of whole entries."""
    count, rest = divmod(len(body), entry.size)
    return not rest and 0 < count <= MAX_ENTRIES
