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


async def close_with_datagram(sender: socket.socket) -> None:
    """Close a session while its receiver is being woken by a datagram."""
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


@when('{count:d} sessions are closed, each while a datagram arrives')
def close_sessions(context: Context, count: int) -> None:
    """Close enough sessions that both orders of the two tasks occur."""

    async def script() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.bind(('127.0.0.1', 0))
            for _ in range(count):
                await close_with_datagram(sender)
                context.closed_without_error += 1

    context.closed_without_error = 0
    context.sessions = count
    trio.run(script)


@then('all these sessions were closed without an error')
def check_no_error(context: Context) -> None:
    """Check that no session raised."""
    assert context.closed_without_error == context.sessions
