"""Exchange of observations between the nodes of a packet simulation."""

from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.packets.silence import SilenceJudge
from burdocksill.platform.keys import READERS
from burdocksill.platform.records import write_reader
from burdocksill.readers.changes import ChangeLog
from burdocksill.readers.datagrams import (
    Message,
    Observations,
    SilenceNotices,
    SilenceReports,
)
from burdocksill.readers.messages import Observation, Reader
from burdocksill.readers.observations import BATCH_SECONDS, ObservationExchange
from burdocksill.readers.publisher import Publisher, Subscriber
from burdocksill.readers.silence_reports import SilenceExchange
from burdocksill.readers.wire import decode
from burdocksill_lab.packets.network import Address as SocketAddress
from burdocksill_lab.packets.world import LabNode, PacketWorld

PEER_PORT: Final = 7720
FOREVER: Final = float('inf')


@attrs.define(kw_only=True)
class ObservationPeer:
    """Run the real observation exchange of one node on virtual time."""

    node: LabNode
    world: PacketWorld
    exchange: ObservationExchange
    # None if the node does not report silent upstreams.
    silence: SilenceExchange | None = None
    flushed_at: float = 0
    is_scheduled: bool = False
    sent_bytes: int = 0

    def schedule_observations(self) -> None:
        """Schedule a flush, so that observations are sent in batches."""
        if self.is_scheduled:
            return
        self.is_scheduled = True
        now = self.world.timeline.now
        wait = max(0, self.flushed_at + BATCH_SECONDS - now)
        self.world.timeline.after(wait, self.send_pending)

    def send_pending(self) -> None:
        """Send the pending observations."""
        self.is_scheduled = False
        self.flushed_at = self.world.timeline.now
        if self.node.alive:
            self.exchange.flush()
            if self.silence is not None:
                self.silence.flush()

    def receive(self, payload: bytes, source: SocketAddress) -> None:
        """Handle a datagram of another node."""
        message = decode(payload, self.world.timeline.now)
        if isinstance(message, Observations) and self.node.alive:
            self.exchange.handle_observations(
                message.observations, Address(*source)
            )
            if self.exchange.pending:
                self.schedule_observations()
        elif self.silence is not None and self.node.alive:
            self.receive_silence(message, Address(*source))

    def receive_silence(self, message: Message | None, sender: Address) -> None:
        """Handle a datagram about silent upstreams."""
        assert self.silence is not None
        if isinstance(message, SilenceReports):
            self.silence.handle_reports(message.reports, sender)
        elif isinstance(message, SilenceNotices):
            self.silence.handle_notices(message.notices, sender)

    def send(self, payload: bytes, peer: Address) -> bool:
        """Send a datagram to another node."""
        source = (self.exchange.local_node.address.host, PEER_PORT)
        self.sent_bytes += len(payload)
        self.world.network.send(payload, source, (peer.host, peer.port))
        return True

    def send_forged(self, observations: list[Observation]) -> None:
        """Send forged observations to the reader, as a faulty node does."""
        reader = self.exchange.reader
        assert reader is not None
        self.exchange.send_observations(observations, reader.address)


def share_observations(world: PacketWorld) -> list[ObservationPeer]:
    """Connect all nodes; the first node of each domain is its reader."""
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
    """Create the exchange of a node and connect it to the network."""
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
    if core.silence is not None:
        sender.silence = SilenceExchange(
            role=exchange,
            detector=core.silence,
            judge=SilenceJudge(upstreams=core.silence.upstreams),
            publisher=exchange.publisher,
            clock=world.time,
            send=send,
            on_waiting=sender.schedule_observations,
        )
        core.silence.on_report = sender.silence.report
    world.network.receivers[(address.host, PEER_PORT)] = sender.receive
    return sender
