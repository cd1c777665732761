"""Steps about counting checks."""

import contextlib
import io

from behave import given, then, when
from behave.runner import Context

from tools.tally import Tally, read_known_red


@given('a list of known faults that names "{names}"')
def list_faults(context: Context, names: str) -> None:
    """Write the list, one line for each name."""
    lines = [f'{name} | some cause | 6' for name in names.split(', ')]
    context.tally = Tally(red=read_known_red('\n'.join(lines)))


@when('the verified test "{test}" fails')
def fail_test(context: Context, test: str) -> None:
    """Count a failed test."""
    with contextlib.redirect_stdout(io.StringIO()):
        context.tally.add(test, good=False)
        if len(context.tally.red) > 1:
            context.tally.check_known_red()


@then('verifying counts {failed:d} failed and {known:d} known')
def check_counts(context: Context, failed: int, known: int) -> None:
    """Check the counts."""
    assert context.tally.failed == failed, context.tally
    assert context.tally.known == known, context.tally
