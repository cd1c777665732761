"""Measure a reader's processor time per request of a follower."""

import socket
import time
from random import Random
from typing import Final

import trio

from burdocksill.network.addresses import Address
from burdocksill.network.protocols import DatagramSocket
from burdocksill.network.sockets import SocketNetwork
from burdocksill.packets.core import PacketCore
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.datagrams import UpdateRequest
from burdocksill.readers.exchange import PeerExchange, SharedReadGate
from burdocksill.readers.messages import Reader
from burdocksill.readers.observations import ObservationExchange
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.subscription import Subscription
from burdocksill.readers.wire import encode_update_request
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

ASKS: Final = 2_000
# The interval between requests when 714 followers each ask every 1.6 s.
GAP_SECONDS: Final = 1.6 / 714
MICROSECONDS: Final = 1_000_000


async def serve(exchange: PeerExchange, reader: Address) -> tuple[float, float]:
    """Return the processor seconds with and without requests to answer."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    payload = encode_update_request(
        UpdateRequest(
            token=1, revision=exchange.publisher.store_cache.revision
        ),
    )
    with sender:
        idle = await send_at_interval(sender, payload, None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange.receive)
            busy = await send_at_interval(sender, payload, reader)
            nursery.cancel_scope.cancel()
    return busy, idle


async def send_at_interval(
    sender: socket.socket,
    payload: bytes,
    reader: Address | None,
) -> float:
    """Send requests at their interval, or only wait; return the seconds."""
    started = time.process_time()
    for _ in range(ASKS):
        if reader is not None:
            sender.sendto(payload, (reader.host, reader.port))
        await trio.sleep(GAP_SECONDS)
    return time.process_time() - started


def make_exchange(core: PacketCore, sockets: DatagramSocket) -> PeerExchange:
    """Return a reader's exchange on a socket."""
    revision = core.store_cache.revision
    subscription = Subscription(
        name='r',
        domain='a',
        directory=core.updater,
        store_cache=core.store_cache,
        clock=time.monotonic,
        rng=Random(1),
    )
    publisher = Publisher(
        store_cache=core.store_cache,
        log=ChangeLog(start=revision, end=revision),
        clock=time.monotonic,
        send=sockets.send,
    )
    return PeerExchange(
        socket=sockets,
        subscription=subscription,
        publisher=publisher,
        read_gate=SharedReadGate(subscription=subscription),
        observations=ObservationExchange(
            local_node=Reader(name='r', address=sockets.local),
            domain='a',
            directory=core.updater,
            sink=core.updater.placer.outages,
            publisher=publisher,
            clock=time.monotonic,
            send=sockets.send,
        ),
    )


async def main() -> None:
    """Print the cost of one request."""
    world = PacketWorld(seed=1)
    world.put_manifest(1, {ROUTE_PORT: 'ledger'})
    core = world.add_node('a').core
    sockets = await SocketNetwork().open_datagrams(Address('127.0.0.1', 0))
    exchange = make_exchange(core, sockets)
    busy, idle = await serve(exchange, sockets.local)
    each = (busy - idle) / ASKS * MICROSECONDS
    print(f'{each:.0f} us an ask, its sending included')


if __name__ == '__main__':
    trio.run(main)
