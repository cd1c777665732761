"""Steps about upstreams that leave."""

from behave import then, when
from behave.runner import Context

from burdocksill_lab.proofs.upstream_leaving import PROOF


@when('the proof of leaving upstreams runs with seed {seed:d}')
def run_proof(context: Context, seed: int) -> None:
    """Run the proof."""
    context.result = PROOF.run(seed=seed, control=False)


@then('the promise of leaving upstreams held')
def check_held(context: Context) -> None:
    """Check that the promise held."""
    assert context.result.held, context.result.violation
