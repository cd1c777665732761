"""Nodes of a packet world that tell each other what openings met."""

from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.platform.keys import READERS
from burdocksill.platform.records import write_reader
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.datagrams import Observations
from burdocksill.readers.messages import Observation, Reader
from burdocksill.readers.observations import BATCH_SECONDS, ObservationExchange
from burdocksill.readers.publisher import Publisher, Subscriber
from burdocksill.readers.wire import decode
from burdocksill_lab.packets.network import Address as Place
from burdocksill_lab.packets.world import LabNode, PacketWorld

PEER_PORT: Final = 7720
FOREVER: Final = float('inf')


@attrs.define(kw_only=True)
class ObservationPeer:
    """Run the product's exchange of observations on one node."""

    node: LabNode
    world: PacketWorld
    exchange: ObservationExchange
    told_at: float = 0
    due: bool = False
    sent_bytes: int = 0

    def schedule_observations(self) -> None:
        """Tell it soon, together with what else comes."""
        if self.due:
            return
        self.due = True
        now = self.world.timeline.now
        wait = max(0, self.told_at + BATCH_SECONDS - now)
        self.world.timeline.after(wait, self.tell)

    def tell(self) -> None:
        """Send what is news."""
        self.due = False
        self.told_at = self.world.timeline.now
        if self.node.alive:
            self.exchange.flush()

    def receive(self, payload: bytes, source: Place) -> None:
        """Take what another node tells."""
        message = decode(payload, self.world.timeline.now)
        if isinstance(message, Observations) and self.node.alive:
            self.exchange.take(message.observations, Address(*source))
            if self.exchange.pending:
                self.schedule_observations()

    def send(self, payload: bytes, peer: Address) -> bool:
        """Send a datagram to another node."""
        source = (self.exchange.local_node.address.host, PEER_PORT)
        self.sent_bytes += len(payload)
        self.world.network.send(payload, source, (peer.host, peer.port))
        return True

    def claim(self, observations: list[Observation]) -> None:
        """Tell what was never seen, as a node that lies does."""
        reader = self.exchange.reader
        assert reader is not None
        self.exchange.send_observations(observations, reader.address)


def share_observations(world: PacketWorld) -> list[ObservationPeer]:
    """Let all nodes share; the first of a domain reads for it."""
    peers = [make_peer(world, node) for node in world.nodes]
    readers: dict[str, ObservationPeer] = {}
    for peer in peers:
        domain = peer.node.domain
        if domain not in readers:
            readers[domain] = peer
            value = write_reader(peer.exchange.local_node)
            world.put(READERS + domain, value)
            continue
        address = peer.exchange.local_node.address
        readers[domain].exchange.publisher.subscribers[address] = Subscriber(
            token=1,
            revision=1,
            expires_at=FOREVER,
        )
    return peers


def make_peer(world: PacketWorld, node: LabNode) -> ObservationPeer:
    """Connect a node with the others."""
    address = Address(node.address[0], PEER_PORT)
    core = node.core

    def send(payload: bytes, peer: Address) -> bool:
        return sender.send(payload, peer)

    exchange = ObservationExchange(
        local_node=Reader(name=node.name, address=address),
        domain=node.domain,
        directory=core.updater,
        sink=core.updater.placer.outages,
        publisher=Publisher(
            store_cache=core.store_cache,
            log=ChangeLog(),
            clock=world.time,
            send=send,
        ),
        clock=world.time,
        send=send,
    )
    sender = ObservationPeer(node=node, world=world, exchange=exchange)
    core.updater.placer.outages.on_observation = sender.schedule_observations
    world.network.receivers[(address.host, PEER_PORT)] = sender.receive
    return sender
