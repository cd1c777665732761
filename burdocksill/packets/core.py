"""What decides for packets on one node, and the loop that drains a socket."""

import socket
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Final

import attrs

from burdocksill.packets.decisions import PacketDecisions
from burdocksill.packets.forwarder import Forwarder
from burdocksill.packets.header import LARGEST_PACKET
from burdocksill.packets.learner import Decoder, Learner
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.settings import PacketSettings
from burdocksill.packets.upstreams import Upstreams
from burdocksill.packets.verdicts import Drop, Forward, Reset

# One wake-up handles at most this many packets, so that readiness and the
# store's answers are not kept waiting by a flood.
BATCH_LIMIT: Final = 64
# Returns steady seconds: those of the system, or of a test.
Clock = Callable[[], float]


@attrs.define(kw_only=True)
class Progress:
    """Tell how far this node has read the store."""

    # Revision of the store up to which all is known; 0: read it whole.
    revision: int = 0
    # When all changes up to this time were known.
    current_at: float = float('-inf')

    @property
    def is_known(self) -> bool:
        """Return True once the store has been read whole."""
        return self.current_at > float('-inf')

    def age(self, now: float) -> float:
        """Return the seconds since the knowledge was known to be current."""
        return now - self.current_at

    def reach(self, revision: int, current_at: float) -> None:
        """Take note that all changes up to a time are known."""
        self.revision = revision
        self.current_at = current_at


@attrs.define(kw_only=True)
class PacketCore:
    """Hold the state of the packet path and carry out its verdicts."""

    datagrams: socket.socket
    forwarder: Forwarder
    learner: Learner
    progress: Progress
    counts: Counter[str] = attrs.field(factory=Counter)
    # When the last packet came in.
    packet_at: float = float('-inf')

    def drain(self, now: float) -> None:
        """Handle at most one batch of waiting packets."""
        for _ in range(BATCH_LIMIT):
            try:
                payload = self.datagrams.recv(LARGEST_PACKET + 1)
            except BlockingIOError:
                return
            except ConnectionError:
                # An upstream's host refused an earlier datagram; that says
                # nothing about those that wait here.
                continue
            self.packet_at = now
            self.handle(payload, now)

    def handle(self, payload: bytes, now: float) -> None:
        """Carry out the verdict on one packet."""
        verdict = self.forwarder.decide(payload, now)
        if isinstance(verdict, Drop):
            self.counts[verdict.reason.value] += 1
            return
        self.send(verdict)
        while self.forwarder.due:
            self.send(self.forwarder.due.pop())

    def send(self, verdict: Forward | Reset) -> None:
        """Send a packet or a reset, or count it as lost."""
        self.counts[verdict.reason.value] += 1
        try:
            self.datagrams.sendto(verdict.payload, verdict.target)
        except OSError:
            # The sender repeats it; waiting here would stop everyone else.
            self.counts['send-failed'] += 1

    def upkeep(self, now: float) -> None:
        """Forget what has been idle for too long."""
        self.learner.upstreams.forget_old(now)
        manifest = self.learner.table.manifest
        if manifest is not None:
            flows = self.forwarder.flows
            for key in list(flows.idle(now - manifest.idle_seconds)):
                flows.end(key)


def make_core(
    *,
    settings: PacketSettings,
    datagrams: socket.socket,
    decode: Decoder,
    rng: Random,
) -> PacketCore:
    """Compose what decides for packets."""
    table = RoutingTable()
    upstreams = Upstreams()
    progress = Progress()
    placer = PacketPlacer(
        domain=settings.domain,
        table=table,
        upstreams=upstreams,
        rng=rng,
    )
    return PacketCore(
        datagrams=datagrams,
        forwarder=Forwarder(
            client_port=settings.listen.port,
            table=table,
            upstreams=upstreams,
            placer=placer,
            freshness=progress,
            log=PacketDecisions(),
        ),
        learner=Learner(
            table=table,
            placer=placer,
            upstreams=upstreams,
            decode=decode,
        ),
        progress=progress,
    )
