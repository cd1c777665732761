"""Measure a node's processor time per packet.

A plain socket is measured in the same run for comparison.
"""

import logging
import os
import socket
import sys
import time
from collections.abc import Callable
from typing import Final

from burdocksill.observe.stdout import StdoutHandler
from burdocksill.observe.writer import LineWriter
from burdocksill_lab.packets.world import ROUTE_PORT, PacketWorld

PACKETS: Final = 20_000
UPSTREAM_COUNTS: Final = (10, 100, 1_000, 10_000)
FLOW_COUNTS: Final = (1_000, 10_000, 100_000)
MICROSECONDS: Final = 1_000_000


def per_packet(work: Callable[[], None], count: int) -> float:
    """Return the processor time per packet in microseconds."""
    started = time.process_time()
    work()
    return (time.process_time() - started) / count * MICROSECONDS


def plain_socket() -> float:
    """Return the cost of sending and receiving 31 bytes on loopback."""
    endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    endpoint.bind(('127.0.0.1', 0))
    address = endpoint.getsockname()
    payload = bytes(31)

    def work() -> None:
        for _ in range(PACKETS):
            endpoint.sendto(payload, address)
            endpoint.recv(2048)

    return per_packet(work, PACKETS)


def decision_costs(
    upstreams: int,
    flows: int,
    *,
    logs: bool,
) -> tuple[float, float]:
    """Return the cost of an opening packet and of a packet of an open flow."""
    world = PacketWorld(seed=1)
    world.put_manifest(1, {ROUTE_PORT: 'ledger'})
    for number in range(upstreams):
        world.add_upstream('a' if number % 14 == 0 else f'd{number % 14}')
    forwarder = world.add_node('a').core.forwarder
    logging.getLogger().handlers = [
        StdoutHandler(
            writer=LineWriter(
                node='n',
                descriptor=os.open(os.devnull, os.O_WRONLY),
            ),
        ),
    ]
    logging.getLogger().setLevel(logging.INFO if logs else logging.WARNING)
    openings = [make_opening(world, number) for number in range(flows)]
    opened = min(flows, PACKETS)
    now = world.timeline.now

    def open_all() -> None:
        for payload in openings:
            forwarder.decide(payload, now)

    opening_cost = per_packet(open_all, flows)
    echo = next(iter(forwarder.upstreams.by_echo)).to_bytes(4, 'big')
    flow_packets = [
        payload[:2] + echo + payload[6:30] + b'\x40'
        for payload in openings[-opened:]
    ]

    def forward_all() -> None:
        for _ in range(PACKETS // opened):
            for payload in flow_packets:
                forwarder.decide(payload, now)

    cost = per_packet(forward_all, PACKETS // opened * opened)
    return opening_cost, cost


def make_opening(world: PacketWorld, number: int) -> bytes:
    """Return the opening packet of one of many flows."""
    sent: list[bytes] = []
    flow = world.open_flow('a')
    client, _, address, port = flow.key
    flow.key = (client + number // 50_000, number % 50_000 + 1, address, port)
    flow.send = lambda payload, _: sent.append(payload)
    flow.request()
    world.timeline.queue.clear()
    return sent[0]


def main() -> int:
    """Print a table."""
    print(f'bare socket, one in and out: {plain_socket():.1f} us')
    print('upstreams  flows    logs  opening us  open flow us')
    for upstreams in UPSTREAM_COUNTS:
        print_row(upstreams, FLOW_COUNTS[0], logs=False)
    for flows in FLOW_COUNTS:
        print_row(UPSTREAM_COUNTS[0], flows, logs=False)
    print_row(UPSTREAM_COUNTS[0], FLOW_COUNTS[0], logs=True)
    return 0


def print_row(upstreams: int, flows: int, *, logs: bool) -> None:
    """Print one row."""
    opened, followed = decision_costs(upstreams, flows, logs=logs)
    print(
        f'{upstreams:9} {flows:7} {"on" if logs else "off":>6}'
        f'{opened:12.1f}{followed:14.1f}',
    )


if __name__ == '__main__':
    sys.exit(main())
