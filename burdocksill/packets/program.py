"""Connect a node with the platform and run it."""

import time
from collections.abc import Callable
from random import Random

import trio

from burdocksill.network.http import HttpConnection
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.core import PacketCore
from burdocksill.packets.follower import Follower
from burdocksill.packets.node import PacketNode
from burdocksill.packets.reload import Reloader
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.records import EVERYTHING
from burdocksill.platform.store import StorePlatform


def run(
    settings: PacketSettings,
    core: PacketCore,
    rng: Random,
    read: Callable[[], PacketSettings],
) -> None:
    """Run a node until it is asked to stop; `read` reads its settings anew."""
    connection = HttpConnection(
        network=SocketNetwork(),
        remote=settings.platform,
    )
    node = PacketNode(
        settings=settings,
        core=core,
        follower=Follower(
            prefix=EVERYTHING,
            source=StorePlatform(connection=connection),
            learner=core.learner,
            progress=core.progress,
            clock=time.monotonic,
            rng=rng,
        ),
        clock=time.monotonic,
    )
    reloader = Reloader(read=read, node=node, connection=connection)
    trio.run(node.run, reloader.run)
