"""Steps about the count of an upstream's flows."""

from behave import given, then, when
from behave.runner import Context

from burdocksill.upstreams.flows import FlowCounter


@given('a flow counter whose cookies last {seconds:d} seconds')
def make_counter(context: Context, seconds: int) -> None:
    """Make a counter without flows."""
    context.flow_counter = FlowCounter(lifetime_seconds=seconds)


@when('the flows "{names}" are opened at {now:d} seconds')
def open_flows(context: Context, names: str, now: int) -> None:
    """Open some flows."""
    for name in names.split(', '):
        context.flow_counter.open(name.encode(), now)


@when('the flow "{name}" is used at {now:d} seconds')
def use_flow(context: Context, name: str, now: int) -> None:
    """Record a request of a flow."""
    context.flow_counter.record_request(name.encode(), now)


@when('the flows "{names}" are closed')
def close_flows(context: Context, names: str) -> None:
    """Close some flows."""
    for name in names.split(', '):
        context.flow_counter.close(name.encode())


@then('the flow counter counts {count:d} at {now:d} seconds')
def check_count(context: Context, count: int, now: int) -> None:
    """Check the count at a time."""
    assert context.flow_counter.count(now) == count, context.flow_counter
