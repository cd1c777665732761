"""Steps about requests that run at most once."""

from behave import then, when
from behave.runner import Context

from burdocksill_lab.proofs.at_most_once import PROOF


@when('the at-most-once simulation runs with seed {seed:d}')
def run_simulation(context: Context, seed: int) -> None:
    """Run the simulation with the components of the product."""
    context.result = PROOF.run(seed=seed, control=False)


@when('the at-most-once simulation runs with seed {seed:d} as a control run')
def run_control(context: Context, seed: int) -> None:
    """Run the simulation with the baseline components."""
    context.result = PROOF.run(seed=seed, control=True)


@then('no request ran twice')
def check_held(context: Context) -> None:
    """Check that the promise held."""
    assert context.result.held, context.result.violation


@then('some request ran twice')
def check_seen(context: Context) -> None:
    """Check that the violation was detected."""
    assert not context.result.held
