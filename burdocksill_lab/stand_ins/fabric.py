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
class FabricFaults:
    """Hold what the fabric does to packets, in both directions."""

    loss: float = 0
    copies: float = 0
    # Each packet waits up to this long, so that packets overtake each other.
    delay_seconds: float = 0
    # Entry VMs whose packets are lost on the way there.
    cut: set[Address] = attrs.field(factory=set)


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
    faults: FabricFaults = attrs.field(factory=FabricFaults)
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
        """Send one packet on to an entry VM."""
        side = self.callers.get(datagram.peer)
        if side is None:
            local = Address(self.listen.host, 0)
            side = await self.network.open_datagrams(local)
            self.callers[datagram.peer] = side
            nursery.start_soon(
                self.answer,
                side,
                datagram.peer,
                front,
                nursery,
            )
        entry = self.rng.choice(self.entries)
        if entry not in self.faults.cut:
            self.carry(side, datagram.payload, entry, nursery)

    async def answer(
        self,
        side: DatagramSocket,
        caller: Address,
        front: DatagramSocket,
        nursery: trio.Nursery,
    ) -> None:
        """Send answers back to their caller."""
        while True:
            for datagram in await side.receive():
                self.carry(front, datagram.payload, caller, nursery)

    def carry(
        self,
        socket: DatagramSocket,
        payload: bytes,
        target: Address,
        nursery: trio.Nursery,
    ) -> None:
        """Carry one packet, or lose it, copy it, hold it up."""
        times = 2 if self.rng.random() < self.faults.copies else 1
        for _ in range(times):
            if self.rng.random() < self.faults.loss:
                continue
            if self.faults.delay_seconds:
                nursery.start_soon(self.carry_late, socket, payload, target)
            else:
                socket.send(payload, target)

    async def carry_late(
        self,
        socket: DatagramSocket,
        payload: bytes,
        target: Address,
    ) -> None:
        """Send one packet after a while."""
        await trio.sleep(self.rng.uniform(0, self.faults.delay_seconds))
        socket.send(payload, target)
