"""The command `burdocksill-lab bench`: real processes on loopback."""

import os
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import click
import msgspec
import trio

from burdocksill_lab.bench.measure import FULL, PLAN, QUICK, Bench, Sizes
from burdocksill_lab.bench.plots import plot
from burdocksill_lab.bench.receive import (
    drained_microseconds,
    waiting_microseconds,
)
from burdocksill_lab.bench.report import (
    BenchReport,
    Compared,
    bounds,
    describe,
    save,
)
from burdocksill_lab.bench.revisions import (
    checked_out,
    current_revision,
    revision_of,
)
from burdocksill_lab.fleet import HOST_PREFIX, open_fleet

RECEIVE_HOST = f'{HOST_PREFIX}.9.2'


@click.command()
@click.option('--against', help='Another revision to run the same phases on.')
@click.option('--quick', is_flag=True, help='Do less, in under 30 seconds.')
@click.option(
    '--save',
    'folder',
    type=click.Path(path_type=Path),
    help='Folder that keeps the results and plots, such as bench.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def bench(
    against: str | None,
    quick: bool,
    folder: Path | None,
    as_json: bool,
) -> None:
    """Measure entry processes; end with 1 when a bound is broken."""
    sizes = QUICK if quick else FULL
    report = run_bench(sizes, against=against)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        click.echo(describe(report))
    if folder is not None:
        path = save(report, folder)
        plot(report, path.with_suffix('.png'))
    if not all(bound.kept for bound in bounds(report)):
        sys.exit(1)


def run_bench(sizes: Sizes, *, against: str | None = None) -> BenchReport:
    """Run every phase, another revision's first."""
    # The tree may change while the phases run.
    revision = current_revision()
    load_before = os.getloadavg()[0]
    compared = run_against(sizes, against) if against else None
    done = trio.run(run_fleet, sizes, '')
    return BenchReport(
        revision=revision,
        cores=os.cpu_count() or 1,
        load_before=load_before,
        phases=tuple(done.phases),
        held=tuple(done.held),
        drained_microseconds=trio.run(
            drained_microseconds,
            RECEIVE_HOST,
            sizes.datagrams,
        ),
        waiting_microseconds=trio.run(
            waiting_microseconds,
            RECEIVE_HOST,
            sizes.datagrams,
        ),
        flood=done.flood,
        against=compared,
    )


def run_against(sizes: Sizes, against: str) -> Compared:
    """Run the phases on another revision, without the held flows."""
    revision = revision_of(against)
    with temporary_folder() as folder, checked_out(revision, folder) as tree:
        shorter = attrs.evolve(sizes, held=())
        done = trio.run(run_fleet, shorter, str(tree))
    return Compared(
        revision=revision,
        phases=tuple(done.phases),
        flood=done.flood,
    )


async def run_fleet(sizes: Sizes, source: str) -> Bench:
    """Run the phases on a fleet of its own."""
    with temporary_folder() as folder:
        plan = attrs.evolve(PLAN, source=source)
        async with open_fleet(folder, plan) as fleet:
            done = Bench(fleet=fleet, sizes=sizes)
            done.run()
    return done


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Make a folder that goes with the block."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder)
