"""Steps about the minimal HTTP client."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from burdocksill.network import minimal_http
from burdocksill.network.addresses import Address
from burdocksill.network.minimal_http import (
    MinimalHttpError,
    MinimalHttpExchange,
)

BODY = bytes(range(60)) * 5
UNSUPPORTED = {
    'a chunked response': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'a response without a length': b'HTTP/1.1 200 OK\r\n\r\nabc',
    'a head without an end': b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 20000,
    'bytes that are not HTTP': b'SSH-2.0-x\r\n\r\n',
    'the end of the connection': b'',
}


def response(body: bytes) -> bytes:
    """Return a complete response."""
    head = f'HTTP/1.1 200 OK\r\nCONTENT-LENGTH: {len(body)}\r\n\r\n'
    return head.encode() + body


@given('a minimal HTTP exchange')
def make_exchange(context: Context) -> None:
    """Create an exchange."""
    context.exchange = MinimalHttpExchange(remote=Address('10.0.0.1', 80))


@when('a response of 300 bytes arrives in parts of {size:d} bytes')
def receive_parts(context: Context, size: int) -> None:
    """Receive a response in parts."""
    whole = response(BODY)
    with mock.patch.object(
        minimal_http,
        'read_head',
        wraps=minimal_http.read_head,
    ) as reading:
        context.replies = [
            context.exchange.receive(whole[begin : begin + size])
            for begin in range(0, len(whole), size)
        ]
    context.heads = reading.call_count


@then('its head was decoded {count:d} time')
def check_heads(context: Context, count: int) -> None:
    """Compare the count."""
    assert context.heads == count, context.heads


@then('it is complete with status 200')
def check_whole(context: Context) -> None:
    """Check that only the last part completes the response."""
    *before, last = context.replies
    assert not any(before), before
    assert (last.status, last.body) == (200, BODY), last


@when('two responses arrive in one part')
def receive_two(context: Context) -> None:
    """Receive both but the last byte of the second, then that byte."""
    first = context.exchange.receive(response(b'one') + response(b'two')[:-1])
    context.replies = [first, context.exchange.receive(b'o')]


@then('both are decoded in order')
def check_both(context: Context) -> None:
    """Compare the bodies."""
    bodies = [one.body for one in context.replies]
    assert bodies == [b'one', b'two'], bodies


@when('it receives {what}')
def receive_unsupported(context: Context, what: str) -> None:
    """Receive an unsupported response."""
    context.error = None
    try:
        context.exchange.receive(UNSUPPORTED[what])
    except MinimalHttpError as error:
        context.error = error


@then('it ends with an error')
def check_error(context: Context) -> None:
    """Check that there was an error."""
    assert context.error is not None
