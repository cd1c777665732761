"""Steps about the end of a session."""

import socket

import trio
import trio.lowlevel
import trio.testing
from behave import then, when
from behave.runner import Context

from burdocksill.callers.session import open_session
from burdocksill.network.protocols import Address
from burdocksill.network.sockets import SocketNetwork


async def end_with_datagram(sender: socket.socket) -> None:
    """End a session while its receiver wakes up for a datagram."""
    server = Address('127.0.0.1', sender.getsockname()[1])
    async with open_session(
        service='kiosk-ledger',
        server=server,
        network=SocketNetwork(),
    ) as session:
        await trio.testing.wait_all_tasks_blocked()
        local = session.socket.local
        sender.sendto(b'late', (local.host, local.port))
        await trio.lowlevel.checkpoint()


@when('{count:d} sessions end, each while a datagram arrives')
def end_sessions(context: Context, count: int) -> None:
    """Try until both orders of the two tasks have come up."""

    async def story() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(('127.0.0.1', 0))
            for _ in range(count):
                await end_with_datagram(sender)
                context.quiet_ends += 1

    context.quiet_ends = 0
    context.ends = count
    trio.run(story)


@then('all sessions that ended so ended quietly')
def check_quiet(context: Context) -> None:
    """Check that no session raised."""
    assert context.quiet_ends == context.ends
