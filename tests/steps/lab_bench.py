"""Steps about the bench."""

import attrs
from behave import then, when
from behave.runner import Context

from burdocksill_lab.bench.measure import QUICK, HeldFigures, PhaseFigures
from burdocksill_lab.bench.report import (
    LARGEST_RELAY_BYTES,
    RELAYED_REQUESTS,
    BenchReport,
    bounds,
)
from burdocksill_lab.commands.bench import run_bench

GOOD_PHASE = PhaseFigures(
    name=RELAYED_REQUESTS,
    sent=100,
    failed=0,
    unanswered=0,
    rate=1000,
    p50_ms=1,
    p99_ms=2,
    p999_ms=3,
    owner_microseconds=300,
    relay_microseconds=50,
)
GOOD_HELD = HeldFigures(
    flows=1000,
    owner_bytes_each=1000,
    relay_bytes_each=0,
    request_microseconds=300,
    flow_microseconds=100,
    failed=0,
)


@when('the quick bench runs')
def run_quick(context: Context) -> None:
    """Run the quick bench."""
    context.report = run_bench(QUICK)


@then('no bench request was lost or refused')
def check_answers(context: Context) -> None:
    """Check that each request of each phase was answered."""
    for phase in context.report.phases:
        assert phase.sent > 0, phase
        assert phase.unanswered == 0, phase
        assert phase.failed == 0, phase


@then('every bench bound is kept')
def check_bounds(context: Context) -> None:
    """Check all bounds."""
    broken = [bound for bound in bounds(context.report) if not bound.kept]
    assert not broken, broken


@when('a bench report shows a lost request and a relay that holds flows')
def make_worse(context: Context) -> None:
    """Make a report that a regression would give."""
    held = attrs.evolve(GOOD_HELD, relay_bytes_each=LARGEST_RELAY_BYTES + 1)
    context.report = BenchReport(
        revision='',
        cores=1,
        load_before=0,
        phases=(attrs.evolve(GOOD_PHASE, unanswered=1),),
        held=(GOOD_HELD, held),
        drained_microseconds=1,
        waiting_microseconds=4,
    )


@then('the bench bounds on both are broken')
def check_broken(context: Context) -> None:
    """Check that just the two bounds are broken."""
    broken = {bound.name for bound in bounds(context.report) if not bound.kept}
    assert broken == {
        'requests without an answer',
        'bytes of a relay for a held flow',
    }, broken
