"""Steps that run the proofs about requests."""

from behave import then, when
from behave.runner import Context

from burdocksill_lab.proofs.base import Proof
from burdocksill_lab.proofs.catalog import find_proof


def require_proof(name: str) -> Proof:
    """Return a proof that must exist."""
    proof = find_proof(name)
    assert proof is not None, name
    return proof


@when('the request proof "{name}" runs on seeds 1 to {last:d}')
def run_product(context: Context, name: str, last: int) -> None:
    """Run a proof with the components of the product."""
    context.proof = require_proof(name)
    context.proven = [
        context.proof.run(seed=seed, control=False)
        for seed in range(1, last + 1)
    ]


@when('the request proof "{name}" runs on seeds 1 to {last:d} as a control run')
def run_control(context: Context, name: str, last: int) -> None:
    """Run a proof with a baseline in the place of a component."""
    context.proven = [
        require_proof(name).run(seed=seed, control=True)
        for seed in range(1, last + 1)
    ]


@then('the request promise holds each time')
def check_held(context: Context) -> None:
    """Check every seed."""
    broken = [proven.violation for proven in context.proven]
    assert not any(broken), broken
    assert all(proven.trace for proven in context.proven)


@then('the request promise is broken each time')
def check_broken(context: Context) -> None:
    """Check that the proof detects the violation on every seed."""
    assert not any(proven.held for proven in context.proven)


@then('the request proof leaves the same trace for the same seed')
def check_trace(context: Context) -> None:
    """Run the first and the second seed again."""
    again = [context.proof.run(seed=seed, control=False) for seed in (1, 2)]
    assert [proven.trace for proven in again] == [
        proven.trace for proven in context.proven[:2]
    ]
    assert again[0].trace != again[1].trace
