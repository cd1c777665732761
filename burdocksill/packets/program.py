"""Connect a node with the platform and run it."""

import time
from random import Random

import trio

from burdocksill.network.http import HttpConnection
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.core import PacketCore
from burdocksill.packets.follower import Follower
from burdocksill.packets.node import PacketNode
from burdocksill.packets.settings import PacketSettings
from burdocksill.platform.records import EVERYTHING
from burdocksill.platform.store import StorePlatform


def run(settings: PacketSettings, core: PacketCore, rng: Random) -> None:
    """Run a node until it is asked to stop."""
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
    trio.run(node.run)
