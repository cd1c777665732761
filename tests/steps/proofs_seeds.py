"""Steps that run a proof with one seed."""

from behave import then
from behave.runner import Context

from burdocksill_lab.proofs.catalog import find_proof


@then('the proof {name} holds with seed {seed:d}')
def check_held(context: Context, name: str, seed: int) -> None:
    """Run a proof twice: it holds, and its trace is the same."""
    proof = find_proof(name)
    assert proof is not None, name
    first = proof.run(seed=seed, control=False)
    assert first.held, first
    again = proof.run(seed=seed, control=False)
    assert first.trace == again.trace


@then('the proof {name} sees its control fail with seed {seed:d}')
def check_control(context: Context, name: str, seed: int) -> None:
    """Run a proof's control: the violation must be seen."""
    proof = find_proof(name)
    assert proof is not None, name
    assert not proof.run(seed=seed, control=True).held
