"""Exchange observations of upstreams through the domain's reader.

When many upstreams die together in a domain of many nodes, each node sees only
a few openings a second. Together the nodes see enough to detect it.
"""

import zlib
from collections.abc import Iterator, Sequence
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.readers.messages import Observation, Reader
from burdocksill.readers.protocols import (
    ObservationSink,
    ReaderRegistry,
    Sender,
)
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.wire import MAX_OBSERVATIONS, encode_observations

# Observations within this time share datagrams.
BATCH_SECONDS: Final = 0.04
# A node is sent at most this many at once. What is left out is observed again,
# or its flows are placed as without any observations.
MAX_PENDING: Final = 2 * MAX_OBSERVATIONS
# A reporter is identified by 16 bits; 0 is the local node.
MAX_REPORTERS: Final = (1 << 16) - 1


def reporter_of(address: Address) -> int:
    """Return the number that identifies a node in its observations."""
    return zlib.crc32(str(address).encode()) % MAX_REPORTERS + 1


@attrs.define(kw_only=True, eq=False, repr=False)
class ObservationExchange:
    """Send observations to the domain's reader, which relays them to all."""

    local_node: Reader
    domain: str
    directory: ReaderRegistry
    sink: ObservationSink
    publisher: Publisher
    clock: Clock
    send: Sender
    # Observations that the reader has received but not relayed yet.
    pending: list[Observation] = attrs.field(factory=list)
    sent: int = 0
    received: int = 0

    @property
    def reader(self) -> Reader | None:
        """Return the reader of the own failure domain."""
        entry = self.directory.readers.get(self.domain)
        return None if entry is None else entry.reader

    @property
    def is_reader(self) -> bool:
        """Return True when this node is its domain's reader."""
        return (
            self.reader is not None and self.reader.name == self.local_node.name
        )

    def handle_observations(
        self, observations: Sequence[Observation], sender: Address
    ) -> None:
        """Merge observations of the reader, or as the reader of subscribers."""
        self.received += len(observations)
        now = self.clock()
        if self.is_reader:
            if sender in self.publisher.subscribers:
                self.merge_reports(observations, reporter_of(sender), now)
        elif self.reader is not None and sender == self.reader.address:
            for observation in observations:
                self.sink.merge(observation, now)

    def merge_reports(
        self,
        observations: Sequence[Observation],
        reporter: int,
        now: float,
    ) -> None:
        """Merge observations of one node; keep new ones to relay them."""
        for observation in observations:
            report = observation.with_reporter(reporter)
            if self.sink.merge(report, now):
                self.pending.append(report)

    def flush(self) -> None:
        """Send unsent observations to the reader, or as the reader to all."""
        unsent = self.sink.pop_unsent()
        if self.is_reader:
            reporter = reporter_of(self.local_node.address)
            self.pending.extend(
                observation.with_reporter(reporter) for observation in unsent
            )
            self.relay_pending()
        elif unsent and self.reader is not None:
            self.send_observations(unsent, self.reader.address)

    def relay_pending(self) -> None:
        """Relay observations to all subscribers but their reporters."""
        observations = self.pending[-MAX_PENDING:]
        self.pending = []
        reporters = {observation.reporter for observation in observations}
        for address in self.publisher.subscribers:
            receiver = reporter_of(address)
            if receiver in reporters:
                others = [
                    observation
                    for observation in observations
                    if observation.reporter != receiver
                ]
                self.send_observations(others, address)
            else:
                self.send_observations(observations, address)

    def send_observations(
        self, observations: list[Observation], address: Address
    ) -> None:
        """Send observations in as many datagrams as they need."""
        now = self.clock()
        self.sent += len(observations)
        for batch in split_batches(observations[-MAX_PENDING:]):
            self.send(encode_observations(batch, now), address)


def split_batches(
    observations: list[Observation],
) -> Iterator[list[Observation]]:
    """Yield observations in groups that fit into a datagram."""
    for start in range(0, len(observations), MAX_OBSERVATIONS):
        yield observations[start : start + MAX_OBSERVATIONS]
