"""A stand-in fabric that sprays each packet over the entry VMs."""

import logging
from random import Random

import attrs
import trio

from burdocksill.network.protocols import (
    Address,
    Datagram,
    DatagramSocket,
    Network,
)

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class Fabric:
    """Forward each packet of callers to an entry VM picked at random.

    One socket stands for each caller, so that an answer finds its way back
    whichever VM sends it.
    """

    network: Network
    listen: Address
    entries: list[Address]
    rng: Random
    callers: dict[Address, DatagramSocket] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Forward until cancelled."""
        front = await self.network.open_datagrams(self.listen)
        logger.info('serving', extra={'listen': str(front.local)})
        async with trio.open_nursery() as nursery:
            while True:
                for datagram in await front.receive():
                    await self.forward(datagram, front, nursery)

    async def forward(
        self,
        datagram: Datagram,
        front: DatagramSocket,
        nursery: trio.Nursery,
    ) -> None:
        """Send one packet on."""
        side = self.callers.get(datagram.peer)
        if side is None:
            local = Address(self.listen.host, 0)
            side = await self.network.open_datagrams(local)
            self.callers[datagram.peer] = side
            nursery.start_soon(self.answer, side, datagram.peer, front)
        side.send(datagram.payload, self.rng.choice(self.entries))

    async def answer(
        self,
        side: DatagramSocket,
        caller: Address,
        front: DatagramSocket,
    ) -> None:
        """Send answers back to their caller."""
        while True:
            for datagram in await side.receive():
                front.send(datagram.payload, caller)
