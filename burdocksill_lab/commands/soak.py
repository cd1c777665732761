"""The command `burdocksill-lab soak`."""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs
import click

from burdocksill.conf.exceptions import SettingChoiceError
from burdocksill.packets.features import NONE, parse_features
from burdocksill_lab.soak.broken import SAFEGUARDS
from burdocksill_lab.soak.deployment import SoakSize
from burdocksill_lab.soak.plan import FaultKind
from burdocksill_lab.soak.run import SoakReport, SoakSettings, play

KILOBYTE: Final = 1000
# Name under which the context keeps what each round has besides.
EXTRAS: Final = f'{__name__}.extras'

Decorator = Callable[[Callable[..., None]], Callable[..., None]]


def extra_option(flag: str, kind: FaultKind, text: str) -> Decorator:
    """Return an option that adds a kind of fault to each round."""

    def add(context: click.Context, _: click.Parameter, wanted: bool) -> None:
        if wanted:
            context.meta.setdefault(EXTRAS, []).append(kind)

    return click.option(
        flag, is_flag=True, expose_value=False, callback=add, help=text
    )


@click.command()
@click.option('--seed', default=1, show_default=True, help='Draws the plan.')
@click.option(
    '--minutes',
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help='How long; a round takes 15 seconds.',
)
@click.option(
    '--processes',
    default=6,
    show_default=True,
    type=click.IntRange(2, 250),
    help='Nodes to start.',
)
@click.option(
    '--skip',
    default=0,
    show_default=True,
    type=click.IntRange(0),
    help='Rounds of the plan to leave out at its beginning.',
)
@click.option(
    '--without',
    default='',
    type=click.Choice(['', *SAFEGUARDS]),
    help='Run nodes without one guard, as a control.',
)
@click.option(
    '--routes',
    default=0,
    show_default=True,
    type=click.IntRange(0, 20000),
    help='Further routes of each manifest, which nobody uses.',
)
@click.option(
    '--link',
    default=0,
    show_default=True,
    type=click.IntRange(0),
    help='KB a second from the store to each node; 0 for any amount.',
)
@extra_option(
    '--restores',
    FaultKind.STORE_RESTORED,
    'Restore the store from a copy in each round.',
)
@extra_option(
    '--foreign',
    FaultKind.FOREIGN_ENTRY,
    'Write an unusable entry of an upstream in each round.',
)
@extra_option(
    '--moves',
    FaultKind.FLOWS_MOVED,
    'Move flows between nodes while an upstream is busy, in each round.',
)
@click.option(
    '--features',
    default=NONE,
    show_default=True,
    help='Features of the nodes: none, all or names with commas.',
)
@click.option('--logs', type=click.Path(path_type=Path), help='Keep logs here.')
@click.option('--json', 'as_json', is_flag=True, help='Write a JSON object.')
def soak(
    *,
    seed: int,
    minutes: float,
    processes: int,
    skip: int,
    without: str,
    routes: int,
    link: int,
    features: str,
    logs: Path | None,
    as_json: bool,
) -> None:
    """Harm real nodes from outside and check what must hold.

    The seed draws what happens and when; how far a node has come by then
    depends on the machine.

    \b
    Exit codes: 0 every promise held, 1 one was broken.
    """
    try:
        parse_features(features)
    except SettingChoiceError as error:
        raise click.BadParameter(str(error)) from error
    report = play(
        SoakSettings(
            seed=seed,
            minutes=minutes,
            nodes=processes,
            skipped=skip,
            without=without,
            logs=logs,
            extras=tuple(click.get_current_context().meta.get(EXTRAS, ())),
            features=features,
            size=SoakSize(
                idle_routes=routes,
                link_bytes_per_second=link * KILOBYTE,
            ),
        ),
    )
    if as_json:
        click.echo(json.dumps(attrs.asdict(report)))
    else:
        show(report)
    sys.exit(1 if report.violations else 0)


def show(report: SoakReport) -> None:
    """Print a report for people."""
    click.echo(f'seed {report.seed}')
    for line in report.troubles:
        click.echo(f'  {line}')
    click.echo(f'requests: {report.outcomes}')
    click.echo(f'checked: {report.checked}')
    click.echo(f'the soak itself stood still: {report.stalls} times')
    for violation in report.violations:
        click.echo(
            f'BROKEN {violation.at} {violation.promise}: {violation.trace}',
        )
