"""Steps about log lines on standard output."""

import json
import logging
import os
import time
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.observe.stdout import StdoutHandler
from burdocksill.observe.writer import LineWriter


@given('a handler that writes to a pipe')
def make_handler(context: Context) -> None:
    """Create a pipe and a handler that writes to it."""
    context.reader, writer = os.pipe()
    os.set_blocking(context.reader, False)
    context.handler = StdoutHandler(
        writer=LineWriter(node='entry-1', descriptor=writer),
    )
    context.written = b''


def log(context: Context, message: str, **fields: object) -> None:
    """Log a record with the handler."""
    record = logging.LogRecord('x', logging.INFO, '', 0, message, (), None)
    record.__dict__.update(fields)
    context.handler.emit(record)


def lines(context: Context) -> list[dict[str, object]]:
    """Return all lines that were written so far."""
    while True:
        try:
            context.written += os.read(context.reader, 65536)
        except BlockingIOError:
            break
    return [json.loads(line) for line in context.written.splitlines()]


@when('{many:d} lines of "{one}" and 1 of "{two}" are logged within a second')
def log_many(context: Context, many: int, one: str, two: str) -> None:
    """Log within one second, and once in the next one."""
    with mock.patch('time.monotonic', return_value=5.0):
        for _ in range(many):
            log(context, one)
        log(context, two)
    context.first = lines(context)
    with mock.patch('time.monotonic', return_value=6.0):
        log(context, one)


@then('{many:d} lines of "{one}" and 1 of "{two}" were written')
def check_many(context: Context, many: int, one: str, two: str) -> None:
    """Count the lines."""
    found = [line['message'] for line in context.first]
    assert found.count(one) == many, found.count(one)
    assert found.count(two) == 1


@then('the next line of "{one}" shows that {count:d} were left out')
def check_left_out(context: Context, one: str, count: int) -> None:
    """Check the line of the next second."""
    last = lines(context)[-1]
    assert last['message'] == one
    assert last['left_out'] == count, last


@when('{count:d} lines of {kinds:d} messages are logged and nobody reads')
def fill_pipe(context: Context, count: int, kinds: int) -> None:
    """Log more than the capacity of the pipe."""
    began = time.monotonic()
    for number in range(count):
        log(context, f'message {number % kinds}', padding='x' * 100)
    context.took = time.monotonic() - began


@then('that took less than {limit:d} seconds and lines were dropped')
def check_never_blocks(context: Context, limit: int) -> None:
    """Check the duration and the dropped lines."""
    assert context.took < limit, context.took
    assert context.handler.writer.dropped > 0


@when('a decision is logged with its flow and an error with its trace')
def log_two(context: Context) -> None:
    """Log a decision and an exception."""
    log(context, 'opened', flow='1.2.3.4:5>6.7.8.9:1', upstream='i-1')
    try:
        raise ValueError('wrong')
    except ValueError as error:
        info = (type(error), error, error.__traceback__)
        log(context, 'failed', exc_info=info)


@then('both are JSON objects with node, time, level and message')
def check_json(context: Context) -> None:
    """Check the fields of both lines."""
    decision, failure = lines(context)
    for line in (decision, failure):
        assert {'node', 'time', 'level', 'message'} <= line.keys()
    assert decision['upstream'] == 'i-1'
    assert 'ValueError: wrong' in str(failure['trace'])
