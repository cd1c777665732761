"""Exchange of reports about silent upstreams through the domain's reader."""

from collections.abc import Callable, Iterable, Sequence

import attrs

from burdocksill.network.addresses import Address
from burdocksill.network.clock import Clock
from burdocksill.packets.outages import LOCAL_REPORTER
from burdocksill.packets.silence import (
    SilenceDetector,
    SilenceJudge,
    SilenceNotice,
    SilenceReport,
)
from burdocksill.readers.datagrams import SilenceNotices, SilenceReports
from burdocksill.readers.observations import reporter_of
from burdocksill.readers.protocols import DomainRole, Sender
from burdocksill.readers.publisher import Publisher
from burdocksill.readers.silence_wire import (
    MAX_ENTRIES,
    encode_silence_notices,
    encode_silence_reports,
)


def ignore_waiting() -> None:
    """Do nothing; the default callback."""


@attrs.define(kw_only=True, eq=False, repr=False)
class SilenceExchange:
    """Send reports to the domain's reader, and its notices to all nodes.

    Reports are rare and urgent, so that they are not collected.
    """

    role: DomainRole
    detector: SilenceDetector
    judge: SilenceJudge
    publisher: Publisher
    clock: Clock
    send: Sender
    # Called while a decision waits; `flush` is due soon afterwards.
    on_waiting: Callable[[], None] = ignore_waiting
    # Reports of this node as the reader, which are judged by `flush`: they come
    # up while a packet is handled, and a decision may end its flow.
    own_reports: list[SilenceReport] = attrs.field(factory=list)
    sent: int = 0
    received: int = 0

    def report(self, report: SilenceReport) -> None:
        """Report what this node has seen."""
        if self.role.is_reader:
            self.own_reports.append(report)
            self.on_waiting()
        elif self.role.reader is not None:
            self.sent += 1
            payload = encode_silence_reports((report,), self.clock())
            self.send(payload, self.role.reader.address)

    def handle(
        self, message: SilenceReports | SilenceNotices, sender: Address
    ) -> None:
        """Handle a message of another node."""
        if isinstance(message, SilenceReports):
            self.handle_reports(message.reports, sender)
        else:
            self.handle_notices(message.notices, sender)

    def handle_reports(
        self, reports: Sequence[SilenceReport], sender: Address
    ) -> None:
        """Judge reports of a subscriber, if this node is the reader."""
        self.received += len(reports)
        if not self.role.is_reader or sender not in self.publisher.subscribers:
            return
        now = self.clock()
        for report in reports:
            self.relay(self.judge.add(report, reporter_of(sender), now))

    def handle_notices(
        self, notices: Sequence[SilenceNotice], sender: Address
    ) -> None:
        """Follow notices of the own reader."""
        self.received += len(notices)
        if self.role.reader is None or sender != self.role.reader.address:
            return
        for notice in notices:
            self.detector.handle_notice(notice)

    def relay(self, notices: Iterable[SilenceNotice]) -> None:
        """Send notices to all subscribers, and follow them here."""
        now = self.clock()
        relayed = list(notices)
        for start in range(0, len(relayed), MAX_ENTRIES):
            part = relayed[start : start + MAX_ENTRIES]
            payload = encode_silence_notices(part, now)
            for address in self.publisher.subscribers:
                self.sent += len(part)
                self.send(payload, address)
        for notice in relayed:
            self.detector.handle_notice(notice)
        if self.judge.waiting:
            self.on_waiting()

    def flush(self) -> None:
        """Judge own reports, and cases that nodes had time to refute."""
        own_reports = self.own_reports
        self.own_reports = []
        for report in own_reports:
            self.relay(self.judge.add(report, LOCAL_REPORTER, self.clock()))
        if self.judge.waiting:
            self.relay(self.judge.decide_waiting(self.clock()))
