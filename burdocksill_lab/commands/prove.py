"""The command `burdocksill-lab prove`: the ten promises on given seeds."""

import enum
import logging
import sys
from collections.abc import Iterable
from typing import Final

import attrs
import click
import msgspec

from burdocksill.exceptions import BurdocksillError
from burdocksill_lab.proofs.base import Figure
from burdocksill_lab.proofs.catalog import NAMES, find_proof

EVERY_NAME: Final = 'all'
EXIT_HELD: Final = 0
EXIT_VIOLATED: Final = 1
EXIT_NO_PROOF: Final = 2


class SeedRangeError(BurdocksillError):
    """Name a range of seeds that cannot be read."""

    code = 'burdocksill.E902'


class Outcome(enum.StrEnum):
    """Say how one run of a proof ended."""

    HELD = 'held'
    VIOLATED = 'violated'
    NO_PROOF = 'no-proof'


@attrs.frozen(kw_only=True)
class ProofReport:
    """Hold what one run of a proof showed."""

    name: str
    seed: int
    control: bool
    outcome: Outcome
    promise: str = ''
    violation: str = ''
    figures: tuple[Figure, ...] = ()
    trace: tuple[str, ...] = ()


@click.command()
@click.argument('name', required=False)
@click.option('--list', 'list_only', is_flag=True, help='List the promises.')
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--seeds', help='A range of seeds, as in 1-20.')
@click.option(
    '--control',
    is_flag=True,
    help='Replace the guard by a naive baseline; must end with 1.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def prove(
    name: str | None,
    list_only: bool,
    seed: int,
    seeds: str | None,
    control: bool,
    as_json: bool,
) -> None:
    """Bring about the failures of a promise (or of `all`) and check it.

    Ends with 0 when the promise held, with 1 and the trace of the violation
    when not, and with 2 while there is no proof. A control over several seeds
    or names ends with 1 only if every one of its runs showed the violation.
    """
    if list_only:
        show_list()
        return
    if name not in {EVERY_NAME, *NAMES}:
        raise click.BadParameter(
            f'{name!r} is no promise; see --list',
            param_hint='NAME',
        )
    # The nodes' lines of state changes are not this command's output.
    logging.disable(logging.CRITICAL)
    names = NAMES if name == EVERY_NAME else (str(name),)
    reports: list[ProofReport] = []
    for known in names:
        for one in read_seeds(seeds) if seeds else (seed,):
            report = run_proof(known, seed=one, control=control)
            reports.append(report)
            if not as_json:
                show(report)
    if as_json:
        click.echo(msgspec.json.encode(reports))
    sys.exit(exit_code(reports, control=control))


def read_seeds(text: str) -> Iterable[int]:
    """Read a range of seeds, its last one included."""
    first, separator, last = text.partition('-')
    if not separator or not (first.isdecimal() and last.isdecimal()):
        raise SeedRangeError(
            message=f'--seeds is {text!r}',
            hint='write the first and the last seed, as in 1-20',
        )
    return range(int(first), int(last) + 1)


def run_proof(name: str, *, seed: int, control: bool) -> ProofReport:
    """Run one proof once."""
    proof = find_proof(name)
    if proof is None:
        return ProofReport(
            name=name,
            seed=seed,
            control=control,
            outcome=Outcome.NO_PROOF,
        )
    seen = proof.run(seed=seed, control=control)
    return ProofReport(
        name=name,
        seed=seed,
        control=control,
        outcome=Outcome.HELD if seen.held else Outcome.VIOLATED,
        promise=proof.promise,
        violation=seen.violation,
        figures=seen.figures,
        trace=seen.trace,
    )


def exit_code(reports: Iterable[ProofReport], *, control: bool) -> int:
    """Return the command's exit code.

    A control that held on one of its runs is a check that cannot fail there,
    so it hides behind no other run's violation.
    """
    outcomes = {report.outcome for report in reports}
    if control and Outcome.HELD in outcomes:
        return EXIT_HELD
    if Outcome.VIOLATED in outcomes and not (
        control and Outcome.NO_PROOF in outcomes
    ):
        return EXIT_VIOLATED
    if Outcome.NO_PROOF in outcomes:
        return EXIT_NO_PROOF
    return EXIT_HELD


def show_list() -> None:
    """Print the promises in the brief's order."""
    for name in NAMES:
        proof = find_proof(name)
        click.echo(f'{name:20} {proof.promise if proof else "no proof yet"}')


def show(report: ProofReport) -> None:
    """Print one run; the trace only where the promise did not hold."""
    kind = ' (control)' if report.control else ''
    click.echo(f'{report.name} seed {report.seed}{kind}: {report.outcome}')
    for figure in report.figures:
        click.echo(f'  {figure.name} = {figure.value:g}')
    if report.outcome is Outcome.VIOLATED:
        for line in report.trace:
            click.echo(f'  | {line}')
        click.echo(f'  violation: {report.violation}')
