"""Steps about the proofs of the promises."""

import os
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

from burdocksill_lab.commands.prove import (
    EXIT_HELD,
    EXIT_NO_PROOF,
    EXIT_VIOLATED,
    Outcome,
    exit_code,
    run_proof,
)
from burdocksill_lab.proofs.catalog import find_proof

LAB = Path(sys.executable).parent / 'burdocksill-lab'
# A bound on a run that hangs, not a check of its speed.
LIMIT_SECONDS = 900


@given('the proof "{name}"')
def find_named_proof(context: Context, name: str) -> None:
    """Remember the proof; a promise without one is reported as not run."""
    context.name = name
    if find_proof(name) is None:
        context.scenario.skip(f'{name} has no proof yet')


@when('the proof runs with seeds {first:d} to {last:d}')
def run_seeds(context: Context, first: int, last: int) -> None:
    """Run the proof on each seed."""
    context.reports = [
        run_proof(context.name, seed=seed, control=False)
        for seed in range(first, last + 1)
    ]


@then('the promise held on every seed')
def check_held(context: Context) -> None:
    """Check that no seed showed a violation."""
    assert exit_code(context.reports, control=False) == EXIT_HELD, [
        report
        for report in context.reports
        if report.outcome is not Outcome.HELD
    ]


@when("the proof's control runs with seed {seed:d}")
def run_control(context: Context, seed: int) -> None:
    """Run the proof with its guard replaced."""
    context.reports = [run_proof(context.name, seed=seed, control=True)]


@then('the control shows the violation and its trace')
def check_violated(context: Context) -> None:
    """Check that the control ends as it must."""
    assert exit_code(context.reports, control=True) == EXIT_VIOLATED
    assert context.reports[0].violation
    assert context.reports[0].trace


@when('all proofs run twice in processes of different hash seeds')
def run_twice(context: Context) -> None:
    """Run every proof in two processes at once and keep what they print."""
    runs = [
        subprocess.Popen(
            [LAB, 'prove', 'all', '--seed', '7', '--json'],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={**os.environ, 'PYTHONHASHSEED': hash_seed},
        )
        for hash_seed in ('1', '2')
    ]
    context.printed = [run.communicate(timeout=LIMIT_SECONDS) for run in runs]
    context.codes = [run.returncode for run in runs]


@then('both printed the same')
def check_same(context: Context) -> None:
    """Compare the results and traces byte for byte."""
    assert context.codes[0] == context.codes[1], context.codes
    first, second = context.printed
    assert first[0] and first[0] == second[0]


@when('the proof of a missing module is asked for')
def run_missing(context: Context) -> None:
    """Ask for a promise that nobody proves."""
    context.reports = [run_proof('no-such-promise', seed=1, control=False)]


@then('it reports no proof and the exit code 2')
def check_missing(context: Context) -> None:
    """Check that a missing proof is not taken for one that held."""
    assert context.reports[0].outcome is Outcome.NO_PROOF
    assert exit_code(context.reports, control=False) == EXIT_NO_PROOF
