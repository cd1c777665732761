"""Connect a node with the platform and run it."""

import socket
from random import Random

import trio

from burdocksill.network.http import HttpConnection
from burdocksill.network.sockets import SocketNetwork
from burdocksill.observe.stdout import log_to_stdout
from burdocksill.packets.node import make_node
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.records import EVERYTHING, decode
from burdocksill.platform.store import StorePlatform


def run(
    settings: PacketSettings,
    datagrams: socket.socket,
    rng: Random,
) -> None:
    """Run a node until it is asked to stop."""
    log_to_stdout(node=settings.name, level=settings.log_level)
    node = make_node(
        settings=settings,
        datagrams=datagrams,
        prefix=EVERYTHING,
        source=connect(settings),
        decode=decode,
        rng=rng,
    )
    trio.run(node.run)


def connect(settings: PacketSettings) -> StorePlatform:
    """Return a client with a connection of its own."""
    connection = HttpConnection(
        network=SocketNetwork(),
        remote=settings.platform,
    )
    return StorePlatform(connection=connection)
