"""Connect a node to the platform and its peers, and run it."""

import _socket
import socket
import time
from collections.abc import Callable
from random import Random

import trio

from burdocksill.network.sockets import SocketNetwork
from burdocksill.observe.early import early_lines
from burdocksill.observe.stdout import log_to_stdout
from burdocksill.packets.core import PacketCore
from burdocksill.packets.node import PacketNode
from burdocksill.packets.reload import Reloader
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.sync import Runtime, make_store_sync


def run(
    settings: PacketSettings,
    core: PacketCore,
    rng: Random,
    read: Callable[[], PacketSettings],
    probes: _socket.socket,
) -> None:
    """Run a node until SIGTERM; `read` reloads its settings."""
    if early_lines.writer is not None:
        log_to_stdout(writer=early_lines.writer, level=settings.log_level)
    trio.run(serve, settings, core, rng, read, probes)


async def serve(
    settings: PacketSettings,
    core: PacketCore,
    rng: Random,
    read: Callable[[], PacketSettings],
    probes: _socket.socket,
) -> None:
    """Create the tasks of a node and run them."""
    runtime = Runtime(
        network=SocketNetwork(),
        clock=time.monotonic,
        rng=rng,
    )
    node = PacketNode(
        settings=settings,
        core=core,
        store_sync=await make_store_sync(
            settings, core.store_cache, runtime, core.silence
        ),
        clock=time.monotonic,
        probes=as_standard_socket(probes),
    )
    reloader = Reloader(read=read, node=node)
    await node.run(reloader.run)


def as_standard_socket(early: _socket.socket) -> socket.socket:
    """Return a socket that trio accepts, in place of an early one."""
    adopted = socket.socket(fileno=early.detach())
    adopted.setblocking(False)
    return adopted
