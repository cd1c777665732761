"""What a bench found, its regression bounds and the files that keep it."""

from pathlib import Path
from typing import Final

import attrs
import msgspec

from burdocksill_lab.bench.measure import (
    FloodFigures,
    HeldFigures,
    PhaseFigures,
)

RELAYED_REQUESTS: Final = 'requests through a relay'
# Bounds are on counts, on ratios within one run and on bytes: a slow or busy
# machine changes none of them much, as it would absolute times.
LARGEST_RELAY_SHARE: Final = 0.5
LARGEST_DRAIN_RATIO: Final = 0.6
LARGEST_COST_GROWTH: Final = 1.6
LARGEST_OWNER_BYTES: Final = 3000
# A relay holds no flow; a growing heap's noise is allowed for.
LARGEST_RELAY_BYTES: Final = 256


@attrs.frozen(kw_only=True)
class Compared:
    """Hold the same phases as another revision ran them."""

    revision: str
    phases: tuple[PhaseFigures, ...]
    flood: FloodFigures | None = None


@attrs.frozen(kw_only=True)
class BenchReport:
    """Hold the figures of one bench and the revision that gave them."""

    revision: str
    cores: int
    load_before: float
    phases: tuple[PhaseFigures, ...]
    held: tuple[HeldFigures, ...]
    drained_microseconds: float
    waiting_microseconds: float
    flood: FloodFigures | None = None
    against: Compared | None = None

    def phase(self, name: str) -> PhaseFigures:
        """Return a phase by its name."""
        return next(known for known in self.phases if known.name == name)


@attrs.frozen(kw_only=True)
class Bound:
    """Hold a figure and the largest value that it may take."""

    name: str
    value: float
    largest: float

    @property
    def kept(self) -> bool:
        """Return True when the figure is within its bound."""
        return self.value <= self.largest


def bounds(report: BenchReport) -> tuple[Bound, ...]:
    """Return every figure that a regression would move."""
    return (*count_bounds(report), *cost_bounds(report), *byte_bounds(report))


def count_bounds(report: BenchReport) -> tuple[Bound, ...]:
    """Return the bounds on requests that went wrong: none may."""
    lost = sum(phase.unanswered for phase in report.phases)
    failed = sum(phase.failed for phase in report.phases)
    return (
        Bound(name='requests without an answer', value=lost, largest=0),
        Bound(
            name='flows not opened, requests not run', value=failed, largest=0
        ),
        Bound(
            name='requests of held flows that did not run',
            value=sum(held.failed for held in report.held),
            largest=0,
        ),
    )


def cost_bounds(report: BenchReport) -> tuple[Bound, ...]:
    """Return the bounds on ratios of CPU within this run."""
    relayed = report.phase(RELAYED_REQUESTS)
    first, last = report.held[0], report.held[-1]
    return (
        Bound(
            name="relay's CPU over its owner's",
            value=relayed.relay_microseconds / relayed.owner_microseconds,
            largest=LARGEST_RELAY_SHARE,
        ),
        Bound(
            name='drained receive over a wait for each datagram',
            value=report.drained_microseconds / report.waiting_microseconds,
            largest=LARGEST_DRAIN_RATIO,
        ),
        Bound(
            name=f'a request at {last.flows} held flows over {first.flows}',
            value=last.request_microseconds / first.request_microseconds,
            largest=LARGEST_COST_GROWTH,
        ),
        Bound(
            name=f'a new flow at {last.flows} held flows over {first.flows}',
            value=last.flow_microseconds / first.flow_microseconds,
            largest=LARGEST_COST_GROWTH,
        ),
    )


def byte_bounds(report: BenchReport) -> tuple[Bound, ...]:
    """Return the bounds on the memory of a held flow."""
    last = report.held[-1]
    return (
        Bound(
            name='bytes of the owner for a held flow',
            value=last.owner_bytes_each,
            largest=LARGEST_OWNER_BYTES,
        ),
        Bound(
            name='bytes of a relay for a held flow',
            value=last.relay_bytes_each,
            largest=LARGEST_RELAY_BYTES,
        ),
    )


def describe(report: BenchReport) -> str:
    """Write a report as a table."""
    against = report.against.phases if report.against else ()
    old = {phase.name: phase for phase in against}
    lines = [
        f'revision {report.revision}, {report.cores} cores, '
        f'load {report.load_before:.1f} before',
        f'{"phase":26} {"sent":>6} {"a second":>9} {"p50":>6} {"p99":>6} '
        f'{"p999":>6} ms {"owner":>6} {"relay":>6} us CPU each',
    ]
    for phase in report.phases:
        lines.append(describe_phase(phase))
        before = old.get(phase.name)
        if before is not None:
            lines.append(describe_phase(before, indent='  before'))
    lines.extend(describe_flood(report.flood))
    if report.against:
        lines.extend(describe_flood(report.against.flood, indent='  before'))
    lines.extend(
        f'{held.flows:>7} held flows: {held.owner_bytes_each:.0f} bytes each '
        f'at the owner, {held.relay_bytes_each:.0f} at a relay, '
        f'{held.request_microseconds:.0f} us CPU a request, '
        f'{held.flow_microseconds:.0f} a new flow'
        for held in report.held
    )
    lines.append(
        f'a datagram sent and received: {report.drained_microseconds:.1f} us '
        f'drained, {report.waiting_microseconds:.1f} us by trio.socket',
    )
    lines.extend(
        f'{"kept  " if bound.kept else "BROKEN"} {bound.name}: '
        f'{bound.value:.2f}, at most {bound.largest:g}'
        for bound in bounds(report)
    )
    return '\n'.join(lines)


def describe_phase(phase: PhaseFigures, *, indent: str = '') -> str:
    """Write one phase as a line of the table."""
    return (
        f'{indent or phase.name:26} {phase.sent:>6} {phase.rate:>9.0f} '
        f'{phase.p50_ms:>6.2f} {phase.p99_ms:>6.2f} {phase.p999_ms:>6.2f}    '
        f'{phase.owner_microseconds:>6.0f} {phase.relay_microseconds:>6.0f}'
    )


def describe_flood(
    flood: FloodFigures | None,
    *,
    indent: str = 'a relay flooded',
) -> list[str]:
    """Write a flood as a line of the table."""
    if flood is None:
        return []
    return [
        f'{indent:26} {flood.sent:>6} {flood.rate:>9.0f} dropped '
        f'{flood.dropped}, {flood.relay_microseconds:.0f} us CPU each, '
        f'{flood.busy:.0%} of a core',
    ]


def save(report: BenchReport, folder: Path) -> Path:
    """Keep a report under the revision that gave it."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f'{report.revision}.json'
    encoded = msgspec.json.encode(report)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b'\n')
    return path
