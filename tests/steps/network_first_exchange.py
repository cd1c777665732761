"""Steps that feed answers to the first reading of the store."""

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
SPOILED = {
    'an answer in chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ),
    'an answer without a length': b'HTTP/1.1 200 OK\r\n\r\nabc',
    'a head without an end': b'HTTP/1.1 200 OK\r\nX: ' + b'y' * 20000,
    'something that is no HTTP': b'SSH-2.0-x\r\n\r\n',
    'the end of the connection': b'',
}


def answer(body: bytes) -> bytes:
    """Write a whole answer."""
    head = f'HTTP/1.1 200 OK\r\nCONTENT-LENGTH: {len(body)}\r\n\r\n'
    return head.encode() + body


@given('a first exchange')
def make_exchange(context: Context) -> None:
    """Begin with nothing read."""
    context.exchange = MinimalHttpExchange(remote=Address('10.0.0.1', 80))


@when('an answer of 300 bytes arrives in pieces of {size:d} bytes')
def receive_pieces(context: Context, size: int) -> None:
    """Feed an answer piece by piece."""
    whole = answer(BODY)
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


@then('its head was read {count:d} time')
def check_heads(context: Context, count: int) -> None:
    """Compare the count."""
    assert context.heads == count, context.heads


@then('it is read whole with status 200')
def check_whole(context: Context) -> None:
    """See the answer at the last piece, and none before."""
    *before, last = context.replies
    assert not any(before), before
    assert (last.status, last.body) == (200, BODY), last


@when('two answers arrive in one piece')
def receive_two(context: Context) -> None:
    """Feed both; the second is taken when it is asked for."""
    first = context.exchange.receive(answer(b'one') + answer(b'two')[:-1])
    context.replies = [first, context.exchange.receive(b'o')]


@then('both are read, in their order')
def check_both(context: Context) -> None:
    """Compare the bodies."""
    bodies = [one.body for one in context.replies]
    assert bodies == [b'one', b'two'], bodies


@when('it receives {what}')
def receive_spoiled(context: Context, what: str) -> None:
    """Feed what can't be read."""
    context.error = None
    try:
        context.exchange.receive(SPOILED[what])
    except MinimalHttpError as error:
        context.error = error


@then('it ends with an error')
def check_error(context: Context) -> None:
    """See that there was one."""
    assert context.error is not None
