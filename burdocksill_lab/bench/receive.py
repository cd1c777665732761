"""Drained batches against one trio.socket wait for each datagram."""

import socket
import time
from typing import Final

import trio

from burdocksill.network.protocols import Address, DatagramSocket
from burdocksill.network.sockets import SocketNetwork

BURST: Final = 64
PAYLOAD: Final = bytes(80)
MICROSECONDS: Final = 1_000_000
RECEIVE_BYTES: Final = 65536


async def drained_microseconds(host: str, count: int) -> float:
    """Return the CPU a datagram takes, received and sent in batches."""
    network = SocketNetwork()
    near = await network.open_datagrams(Address(host, 0))
    far = await network.open_datagrams(Address(host, 0))
    began = time.thread_time()
    for _ in range(count // BURST):
        await drained_burst(near, far)
    spent = time.thread_time() - began
    near.close()
    far.close()
    return spent * MICROSECONDS / count


async def drained_burst(near: DatagramSocket, far: DatagramSocket) -> None:
    """Send one burst and receive all of it."""
    for _ in range(BURST):
        near.send(PAYLOAD, far.local)
    received = 0
    while received < BURST:
        received += len(await far.receive())


async def waiting_microseconds(host: str, count: int) -> float:
    """Return the CPU a datagram takes when trio.socket waits for each."""
    near = trio.socket.socket(type=socket.SOCK_DGRAM)
    far = trio.socket.socket(type=socket.SOCK_DGRAM)
    await near.bind((host, 0))
    await far.bind((host, 0))
    target = far.getsockname()
    began = time.thread_time()
    for _ in range(count // BURST):
        for _ in range(BURST):
            await near.sendto(PAYLOAD, target)
        for _ in range(BURST):
            await far.recvfrom(RECEIVE_BYTES)
    spent = time.thread_time() - began
    near.close()
    far.close()
    return spent * MICROSECONDS / count
