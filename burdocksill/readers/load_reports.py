"""Exchange loads of upstreams through the readers of the domains.

Each node reports to its domain's reader, which sends the sums to all of them,
and the sums of services to the other domains' readers.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.readers.load_messages import (
    ALL_NODES,
    DELAY_WINDOW_SECONDS,
    JITTER_FRACTION,
    PERIOD_SECONDS,
    LoadReport,
    LoadSummary,
    TransitDelay,
    UpstreamLoad,
    domain_number,
)
from burdocksill.readers.load_sums import (
    GroupSlots,
    LoadSums,
)
from burdocksill.readers.load_wire import (
    MAX_GROUPS,
    encode_report,
    encode_summary,
    report_capacity,
    summary_capacity,
)
from burdocksill.readers.protocols import (
    DomainRole,
    LoadSink,
    ReaderRegistry,
    Sender,
)
from burdocksill.readers.publisher import Publisher

# A new reader sums reports for this long before it tells the sums. All nodes
# subscribe to it meanwhile, without which their reports do not count.
WARM_UP_SECONDS: Final = 2.0
# The sums are told while at least this fraction of the subscribers reports.
# Nodes of earlier builds do not.
MIN_REPORTING: Final = 0.5
# They are compared with the most nodes of this time as well, as subscriptions
# of nodes that the reader no longer reaches expire.
PEAK_SECONDS: Final = 60.0
# Senders whose transit delays are known.
MAX_SENDERS: Final = 2048


@attrs.define(kw_only=True, eq=False, repr=False)
class Rotation:
    """Choose what a datagram tells: what waited longest first."""

    told_at: dict[int, float] = attrs.field(factory=dict)

    def choose(
        self, numbers: Collection[int], capacity: int, now: float
    ) -> list[int]:
        """Return as many numbers as fit, and remember them as told."""
        chosen = list(numbers)
        if len(chosen) > capacity:
            chosen.sort(key=lambda number: self.told_at.get(number, 0))
            chosen = chosen[:capacity]
        self.told_at = {
            number: self.told_at.get(number, 0) for number in numbers
        } | dict.fromkeys(chosen, now)
        return chosen


@attrs.frozen(kw_only=True)
class Portion:
    """Hold what one datagram tells of the groups and rows."""

    groups: dict[int, int]
    rows: tuple[UpstreamLoad, ...]
    # Number of datagrams in which everything is told once.
    rounds: int


@attrs.define(kw_only=True, eq=False, repr=False)
class Rotations:
    """Choose the groups and rows of a series of datagrams."""

    # Returns how many rows fit beside some groups.
    row_capacity: Callable[[int], int]
    groups: Rotation = attrs.field(factory=Rotation)
    rows: Rotation = attrs.field(factory=Rotation)

    def choose(
        self,
        groups: dict[int, int],
        rows: Sequence[UpstreamLoad],
        now: float,
        *,
        always: Collection[int] = (),
    ) -> Portion:
        """Return what fits into the next datagram.

        `always` are the numbers of groups that each datagram tells.
        """
        fixed = [group for group in always if group in groups]
        others = [group for group in groups if group not in fixed]
        room = MAX_GROUPS - len(fixed)
        chosen = fixed + self.groups.choose(others, room, now)
        capacity = self.row_capacity(len(chosen))
        by_echo = {row.echo: row for row in rows}
        return Portion(
            groups={group: groups[group] for group in chosen},
            rows=tuple(
                by_echo[echo]
                for echo in self.rows.choose(by_echo, capacity, now)
            ),
            rounds=max(
                rounds_of(len(others), room), rounds_of(len(rows), capacity)
            ),
        )


@attrs.define(kw_only=True, eq=False, repr=False)
class TransitDelays:
    """Estimate the transit delay of each sender's datagrams."""

    senders: dict[Address, TransitDelay] = attrs.field(factory=dict)

    def measure(self, sender: Address, sent_at: float, now: float) -> float:
        """Return the delay of a datagram that has arrived now."""
        if len(self.senders) >= MAX_SENDERS:
            self.remove_silent(now)
        transit = self.senders.setdefault(sender, TransitDelay())
        return transit.measure(sent_at, now)

    def remove_silent(self, now: float) -> None:
        """Remove the senders without a recent datagram."""
        for sender, transit in list(self.senders.items()):
            if now - transit.measured_at > 2 * DELAY_WINDOW_SECONDS:
                del self.senders[sender]


@attrs.define(kw_only=True, eq=False, repr=False)
class LoadExchange:
    """Report the load of this node, and as the reader sum and relay it."""

    local_address: Address
    domain: str
    role: DomainRole
    directory: ReaderRegistry
    sink: LoadSink
    publisher: Publisher
    clock: Clock
    rng: Random
    send: Sender
    sums: LoadSums = attrs.field(factory=LoadSums)
    delays: TransitDelays = attrs.field(factory=TransitDelays)
    report_rotations: Rotations = attrs.field(
        factory=lambda: Rotations(row_capacity=report_capacity)
    )
    summary_rotations: Rotations = attrs.field(
        factory=lambda: Rotations(row_capacity=summary_capacity)
    )
    # Those of the sums for other domains' readers.
    domain_rotations: Rotations = attrs.field(
        factory=lambda: Rotations(row_capacity=summary_capacity)
    )
    # Since when this node is its domain's reader; infinite while it is not.
    reader_since: float = float('inf')
    # The most nodes that reported lately, and when.
    peak_nodes: int = 0
    peak_at: float = 0
    sent: int = 0
    received: int = 0

    async def run(self) -> None:
        """Report and relay loads until cancelled."""
        while True:
            jitter = self.rng.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            await trio.sleep(PERIOD_SECONDS * (1 + jitter))
            self.tick()

    def tick(self) -> None:
        """Send what is due."""
        now = self.clock()
        if self.role.is_reader:
            self.reader_since = min(self.reader_since, now)
            self.sums.add_report(self.local_address, self.make_report(now), now)
            self.sums.remove_lapsed(now)
            if self.is_ready(now):
                self.relay(now)
        else:
            if self.reader_since <= now:
                self.reader_since = float('inf')
                self.sums = LoadSums()
            reader = self.role.reader
            if reader is not None:
                report = self.make_report(now)
                self.sent += len(report.rows)
                self.send(encode_report(report), reader.address)
        self.sink.log_change(now)

    def is_ready(self, now: float) -> bool:
        """Return True when the sums of this reader are meaningful."""
        nodes = len(self.sums.nodes)
        if nodes >= self.peak_nodes or now - self.peak_at > PEAK_SECONDS:
            self.peak_nodes = nodes
            self.peak_at = now
        if now - self.reader_since < WARM_UP_SECONDS:
            return False
        subscribers = sum(
            subscriber.expires_at >= now
            for subscriber in self.publisher.subscribers.values()
        )
        return nodes > max(subscribers, self.peak_nodes) * MIN_REPORTING

    def make_report(self, now: float) -> LoadReport:
        """Return a report of what this node sees."""
        rows, groups = self.sink.collect(now)
        self.sink.record_reported(now)
        portion = self.report_rotations.choose(groups, rows, now)
        return LoadReport(
            sent_at=now,
            rounds=portion.rounds,
            groups=portion.groups,
            rows=portion.rows,
        )

    def relay(self, now: float) -> None:
        """Send the sums to the nodes of the domain and to other readers."""
        age = now - self.sums.oldest_report(now)
        summary = self.make_summary(age, now)
        self.sink.apply(summary, 0, now)
        payload = encode_summary(summary)
        for address, subscriber in self.publisher.subscribers.items():
            if subscriber.expires_at >= now:
                self.sent += len(summary.rows)
                self.send(payload, address)
        payload = encode_summary(self.make_domain_sums(age, now))
        for domain, entry in self.directory.readers.items():
            if domain != self.domain and entry.reader is not None:
                self.send(payload, entry.reader.address)

    def make_summary(self, age: float, now: float) -> LoadSummary:
        """Return the sums for the nodes of the domain."""
        found = self.sink.group_slots()
        domains = len({domain for domain, _ in found.values()})
        group_slots = {
            group: GroupSlots(domain=domain, slots=slots, domains=domains)
            for group, (domain, slots) in found.items()
        }
        portion = self.summary_rotations.choose(
            self.sums.sum_domains(self.domain, group_slots),
            self.sums.sum_rows(now),
            now,
            always=(ALL_NODES, domain_number(self.domain)),
        )
        return LoadSummary(
            sent_at=now,
            age_seconds=age,
            groups=portion.groups,
            rounds=portion.rounds,
            rows=portion.rows,
        )

    def make_domain_sums(self, age: float, now: float) -> LoadSummary:
        """Return the sums of services for other domains' readers."""
        local_count = domain_number(self.domain)
        portion = self.domain_rotations.choose(
            {local_count: len(self.sums.nodes), **self.sums.sum_groups()},
            (),
            now,
            always=(local_count,),
        )
        return LoadSummary(
            sent_at=now,
            age_seconds=age,
            groups=portion.groups,
            rounds=portion.rounds,
            for_readers=True,
        )

    def handle(
        self, message: LoadReport | LoadSummary, sender: Address
    ) -> None:
        """Handle a report or a summary of another node."""
        now = self.clock()
        delay = self.delays.measure(sender, message.sent_at, now)
        self.received += len(message.rows)
        if isinstance(message, LoadReport):
            if self.role.is_reader and sender in self.publisher.subscribers:
                self.sums.add_report(sender, message, now - delay)
        elif message.for_readers:
            self.handle_domain_sums(message, sender, delay)
        elif not self.role.is_reader and self.is_own_reader(sender):
            self.sink.apply(message, delay, now)

    def is_own_reader(self, sender: Address) -> bool:
        """Return True for the address of the own domain's reader."""
        reader = self.role.reader
        return reader is not None and reader.address == sender

    def handle_domain_sums(
        self, summary: LoadSummary, sender: Address, delay: float
    ) -> None:
        """Keep the sums of another domain's reader, to relay them."""
        if not self.role.is_reader:
            return
        summed_at = self.clock() - delay
        for domain, entry in self.directory.readers.items():
            reader = entry.reader
            if (
                domain != self.domain
                and reader is not None
                and reader.address == sender
            ):
                self.sums.add_summary(domain, summary, summed_at)


def rounds_of(count: int, capacity: int) -> int:
    """Return the number of datagrams in which all of a count are told once."""
    return max(1, -(-count // capacity))
