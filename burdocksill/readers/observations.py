"""Pass on what openings on upstreams met, through the domain's reader.

Answers the load of upstreams that die together in a domain of many nodes: each
node sees a few openings a second, all of them together see enough.
"""

import zlib
from collections.abc import Iterator, Sequence
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.readers.messages import Observation, Reader
from burdocksill.readers.protocols import Directory, ObservationSink, Sender
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.wire import MAX_OBSERVATIONS, encode_observations

# Signs that come together share a datagram.
BATCH_SECONDS: Final = 0.04
# A node is sent at most this many at once. What is left out is observed again,
# or its flows are placed as without any observations.
MOST_WAITING: Final = 2 * MAX_OBSERVATIONS
# A reporter is named by 16 bits, none of which stand for the receiver itself.
MOST_REPORTERES: Final = (1 << 16) - 1


def reporter_of(address: Address) -> int:
    """Return the number that identifies a node in its observations."""
    return zlib.crc32(str(address).encode()) % MOST_REPORTERES + 1


@attrs.define(kw_only=True, eq=False, repr=False)
class ObservationExchange:
    """Tell the domain's reader what this node saw, or all that it told."""

    local_node: Reader
    domain: str
    directory: Directory
    sink: ObservationSink
    publisher: Publisher
    clock: Clock
    send: Sender
    # What the reader has heard and not passed on yet.
    pending: list[Observation] = attrs.field(factory=list)
    sent: int = 0
    received: int = 0

    @property
    def reader(self) -> Reader | None:
        """Return who reads for the own failure domain."""
        entry = self.directory.readers.get(self.domain)
        return None if entry is None else entry.reader

    @property
    def is_reader(self) -> bool:
        """Return True when this node is the one that passes observations on."""
        return (
            self.reader is not None and self.reader.name == self.local_node.name
        )

    def take(
        self, observations: Sequence[Observation], sender: Address
    ) -> None:
        """Learn from the domain's reader, or as the reader from its nodes."""
        self.received += len(observations)
        now = self.clock()
        if self.is_reader:
            if sender in self.publisher.subscribers:
                self.take_reports(observations, reporter_of(sender), now)
        elif self.reader is not None and sender == self.reader.address:
            for observation in observations:
                self.sink.merge(observation, now)

    def take_reports(
        self,
        observations: Sequence[Observation],
        reporter: int,
        now: float,
    ) -> None:
        """Learn what one node saw, and keep what is news for the others."""
        for observation in observations:
            report = observation.with_reporter(reporter)
            if self.sink.merge(report, now):
                self.pending.append(report)

    def flush(self) -> None:
        """Send all that is news to whom it is for."""
        own = self.sink.pop_unsent()
        if self.is_reader:
            reporter = reporter_of(self.local_node.address)
            self.pending.extend(
                observation.with_reporter(reporter) for observation in own
            )
            self.tell_nodes()
        elif own and self.reader is not None:
            self.send_observations(own, self.reader.address)

    def tell_nodes(self) -> None:
        """Relay observations to all subscribers but their reporters."""
        observations = self.pending[-MOST_WAITING:]
        self.pending = []
        reporteres = {observation.reporter for observation in observations}
        for address in self.publisher.subscribers:
            seen_there = reporter_of(address)
            if seen_there in reporteres:
                others = [
                    observation
                    for observation in observations
                    if observation.reporter != seen_there
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
        for part in parts_of(observations[-MOST_WAITING:]):
            self.send(encode_observations(part, now), address)


def parts_of(observations: list[Observation]) -> Iterator[list[Observation]]:
    """Return as many observations at a time as a datagram carries."""
    for start in range(0, len(observations), MAX_OBSERVATIONS):
        yield observations[start : start + MAX_OBSERVATIONS]
