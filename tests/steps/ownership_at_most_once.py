"""Steps about requests that run at most once."""

from behave import then, when
from behave.runner import Context

from burdocksill_lab.proofs.at_most_once import PROOF


@when('the story of at-most-once runs with seed {seed:d}')
def run_story(context: Context, seed: int) -> None:
    """Run the story with the product's guards."""
    context.result = PROOF.run(seed=seed, control=False)


@when('the story of at-most-once runs with seed {seed:d} and naive guards')
def run_control(context: Context, seed: int) -> None:
    """Run the story with naive guards."""
    context.result = PROOF.run(seed=seed, control=True)


@then('no count ran twice')
def check_held(context: Context) -> None:
    """Check that the promise held."""
    assert context.result.held, context.result.violation


@then('some count ran twice')
def check_seen(context: Context) -> None:
    """Check that the violation was seen."""
    assert not context.result.held
