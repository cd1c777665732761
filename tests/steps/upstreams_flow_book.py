"""Steps about the flows that count against an upstream."""

from behave import given, then, when
from behave.runner import Context

from burdocksill.upstreams.flows import FlowCounter


@given('a flow book whose cookies last {seconds:d} seconds')
def open_book(context: Context, seconds: int) -> None:
    """Make an empty book."""
    context.book = FlowCounter(lifetime_seconds=seconds)


@when('the flows "{names}" are opened at {now:d} seconds')
def open_flows(context: Context, names: str, now: int) -> None:
    """Open some flows."""
    for name in names.split(', '):
        context.book.open(name.encode(), now)


@when('the flow "{name}" is used at {now:d} seconds')
def use_flow(context: Context, name: str, now: int) -> None:
    """Use a flow."""
    context.book.record_request(name.encode(), now)


@when('the flows "{names}" are closed')
def close_flows(context: Context, names: str) -> None:
    """Close some flows."""
    for name in names.split(', '):
        context.book.close(name.encode())


@then('the flow book counts {count:d} at {now:d} seconds')
def check_count(context: Context, count: int, now: int) -> None:
    """Check the count at a time."""
    assert context.book.count(now) == count, context.book
