"""The command `burdocksill-lab run`: a deployment under load and faults."""

import logging
import sys
from pathlib import Path
from typing import Final

import click
import msgspec

from burdocksill_lab.runs.deployments import DEPLOYMENTS
from burdocksill_lab.runs.figures import Count, RunReport
from burdocksill_lab.runs.plan import FaultPlan, read_plan
from burdocksill_lab.runs.story import RunPlan, run_deployment

DEFAULT_CALLERS: Final = 60
DEFAULT_SECONDS: Final = 30


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(sorted(DEPLOYMENTS)),
    required=True,
)
@click.option(
    '--faults',
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help='A TOML file; see docs/reference/faults.md.',
)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--callers', default=DEFAULT_CALLERS, show_default=True)
@click.option(
    '--seconds',
    default=DEFAULT_SECONDS,
    show_default=True,
    help='Seconds of virtual time under load.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def run(
    deployment: str,
    faults: Path | None,
    seed: int,
    callers: int,
    seconds: int,
    as_json: bool,
) -> None:
    """Run the real entry code at a deployment's size on the fakes.

    Ends with 1 when a request ran twice, was lost, got another's answer or
    was called "not run" although it ran. The same seed gives the same output.
    """
    # The nodes' lines of state changes are not this command's output.
    logging.disable(logging.CRITICAL)
    report = run_deployment(
        RunPlan(
            deployment=deployment,
            seed=seed,
            callers=callers,
            seconds=seconds,
            faults=read_plan(faults) if faults else FaultPlan(),
        ),
    )
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        show(report)
    if not report.sound:
        sys.exit(1)


def show(report: RunReport) -> None:
    """Print a run's figures."""
    click.echo(
        f'{report.deployment} seed {report.seed}: {report.vms} entry VMs, '
        f'{report.flows} flows, {report.requests} requests',
    )
    for fault in report.faults:
        click.echo(f'  fault {fault}')
    click.echo(f'  outcomes      {joined(report.outcomes)}')
    click.echo(f'  reasons       {joined(report.reasons) or "none"}')
    click.echo(
        f'  broken flows  {report.broken_flows}, and in domains taken out '
        f'{report.broken_in_domains_out}',
    )
    click.echo(
        f'  double runs {report.double_runs}, lost {report.lost}, '
        f'mixed {report.mixed}, untrue {report.untrue}, '
        f'unanswered {report.unanswered}',
    )
    for one in report.imbalance:
        click.echo(
            f'  {one.service}: largest over mean '
            f'{one.largest_over_mean:.3f}, variation {one.variation:.3f} '
            f'({joined(one.work)})',
        )
    numbers = ' '.join(str(number) for number in report.goodput)
    click.echo(f'  answers in each second: {numbers}')


def joined(counted: tuple[Count, ...]) -> str:
    """Write counts on one line."""
    return ', '.join(f'{count.name} {count.times}' for count in counted)
