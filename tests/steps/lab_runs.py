"""Steps about runs of deployments."""

from behave import then, when
from behave.runner import Context

from burdocksill_lab.runs.plan import (
    Fault,
    FaultKind,
    FaultPlan,
    FaultPlanError,
    parse_plan,
)
from burdocksill_lab.runs.story import RunPlan, run_deployment

CALLERS = 20
SECONDS = 6


def make_plan(deployment: str, seed: int, faults: FaultPlan) -> RunPlan:
    """Plan a short run."""
    return RunPlan(
        deployment=deployment,
        seed=seed,
        callers=CALLERS,
        seconds=SECONDS,
        faults=faults,
    )


def find_error(group: BaseException) -> BaseException:
    """Return the one error inside of nested groups."""
    while isinstance(group, BaseExceptionGroup):
        assert len(group.exceptions) == 1, group
        group = group.exceptions[0]
    return group


@when('{deployment} runs twice with seed {seed:d} through these faults')
def run_twice(context: Context, deployment: str, seed: int) -> None:
    """Run the same plan two times."""
    plan = make_plan(deployment, seed, parse_plan(context.text))
    context.reports = [run_deployment(plan) for _ in range(2)]


@then('the run doubled, lost, mixed and misreported nothing')
def check_sound(context: Context) -> None:
    """Check what callers were told against the ledgers."""
    assert context.reports[0].sound, context.reports[0]


@then("most of the run's requests were answered by their service")
def check_load(context: Context) -> None:
    """Check that the run did put load on the fleet."""
    report = context.reports[0]
    assert report.requests > CALLERS * SECONDS / 2, report
    assert sum(report.goodput) > report.requests / 2, report


@then('both runs gave the same report')
def check_same(context: Context) -> None:
    """Compare the two reports."""
    first, second = context.reports
    assert first == second


@when('a run\'s faults name the kind "{kind}"')
def read_unknown(context: Context, kind: str) -> None:
    """Read a file with a kind that there is not."""
    try:
        parse_plan(f'[[faults]]\nat = 1.0\nkind = "{kind}"')
    except FaultPlanError as error:
        context.error = error


@when('vratka runs through a kill of "{name}"')
def kill_unknown(context: Context, name: str) -> None:
    """Run with a fault whose target is not there."""
    fault = Fault(at=1, kind=FaultKind.KILL, target=name)
    try:
        run_deployment(make_plan('vratka', 1, FaultPlan(faults=(fault,))))
    except BaseExceptionGroup as group:
        context.error = find_error(group)


@then('the run is refused with "{code}"')
def check_refused(context: Context, code: str) -> None:
    """Check the error's code."""
    assert str(context.error).startswith(code), context.error
