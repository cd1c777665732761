"""Steps in which parts of a node fail."""

import itertools
from unittest import mock

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from burdocksill.network.addresses import Address
from burdocksill.network.protocols import Datagram
from burdocksill.packets import node, supervision
from burdocksill.packets.node import PacketNode
from burdocksill.packets.supervision import failures, run_supervised
from burdocksill.readers.exchange import PeerExchange

PART = 'load reports'
PEER = Address('127.0.0.1', 1)


@given('a part of a node that fails {count:d} times')
def make_failing(context: Context, count: int) -> None:
    """Create a task that ends well after some errors."""
    context.started = []
    context.before = failures.copy()
    left = itertools.count(count, -1)

    async def run() -> None:
        context.started.append(trio.current_time())
        if next(left) > 0:
            async with trio.open_nursery():
                raise ZeroDivisionError('x' * 1000)

    context.task = run


@when('it runs for {seconds:d} seconds')
def run_part(context: Context, seconds: int) -> None:
    """Supervise it on virtual time."""

    async def main() -> None:
        with trio.move_on_after(seconds):
            await run_supervised(PART, context.task)

    with mock.patch.object(supervision.logger, 'error') as context.logged:
        trio.run(main, clock=MockClock(autojump_threshold=0))


@then('it was started {count:d} times, a second apart')
def check_started(context: Context, count: int) -> None:
    """Check the times of its starts."""
    pauses = [
        round(after - before, 3)
        for before, after in itertools.pairwise(context.started)
    ]
    assert pauses == [1.0] * (count - 1), pauses


@then('its {count:d} errors are counted and logged with cause and place')
def check_logged(context: Context, count: int) -> None:
    """Check the counter and the bounded log lines."""
    assert (failures - context.before) == {PART: count}
    assert context.logged.call_count == count
    extra = context.logged.call_args.kwargs['extra']
    assert extra['part'] == PART
    assert extra['cause'].startswith('ZeroDivisionError: xxx')
    assert len(extra['cause']) <= supervision.MAX_CAUSE_LETTERS
    assert extra['place'].startswith('packets_supervision.py:')


@given("a node whose metrics can't be loaded")
def make_node(context: Context) -> None:
    """Create the pages of a node without the libraries of the metrics."""
    context.before = failures.copy()
    context.node = PacketNode(
        settings=mock.Mock(),
        core=mock.Mock(),
        store_sync=mock.Mock(),
        clock=mock.Mock(),
        probes=mock.Mock(),
    )


@when('its metrics are read')
def read_metrics(context: Context) -> None:
    """Ask for the page."""
    missing = ModuleNotFoundError("No module named 'hdrh'")
    with mock.patch.object(node, 'import_while_serving', side_effect=missing):
        context.reply = trio.run(context.node.page, '/-/metrics')


@then('the answer has status {status:d}')
def check_status(context: Context, status: int) -> None:
    """Check the reply."""
    assert context.reply.status == status


@then('the error of its "{part}" is counted')
def check_counted(context: Context, part: str) -> None:
    """Check the counter."""
    assert (failures - context.before) == {part: 1}


@given('a node whose handling of a datagram fails once')
def make_exchange(context: Context) -> None:
    """Create an exchange with other nodes that fails at its first message."""
    context.before = failures.copy()
    context.handled = []
    context.exchange = PeerExchange(
        socket=mock.Mock(),
        subscription=mock.Mock(),
        publisher=mock.Mock(),
        read_gate=mock.Mock(),
        observations=mock.Mock(),
    )

    def handle(datagram: Datagram) -> None:
        context.handled.append(datagram.payload)
        if len(context.handled) == 1:
            raise ZeroDivisionError

    context.handle = handle


@when('2 datagrams arrive')
def receive_two(context: Context) -> None:
    """Let the socket return two datagrams, then none."""
    batch = [Datagram(payload=one, peer=PEER) for one in (b'1', b'2')]
    batches = iter([batch])

    async def receive() -> list[Datagram]:
        for found in batches:
            return found
        await trio.sleep_forever()
        return []

    async def main() -> None:
        with trio.move_on_after(1):
            await context.exchange.receive()

    context.exchange.socket.receive = receive
    with mock.patch.object(
        PeerExchange, 'handle_datagram', side_effect=context.handle
    ):
        trio.run(main, clock=MockClock(autojump_threshold=0))


@then('both were handled')
def check_handled(context: Context) -> None:
    """Check what was handled."""
    assert context.handled == [b'1', b'2'], context.handled
