"""Conclude together with other nodes that an upstream has fallen silent.

In a large domain each node sees few flows of an upstream, and would have to
wait for the third retransmission of each. Together the nodes of a domain see
enough after the second one. Each node reports retransmissions that its clients'
packets show; the domain's reader collects the reports, asks all nodes for
answers that they have seen meanwhile, and tells them when there are none.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Container, Iterator

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.values import Value

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Nodes that must report an upstream, among them those with strong evidence. A
# faulty node and one with a lost packet are not enough.
MIN_REPORTERS: Final = 3
MIN_STRONG_REPORTERS: Final = 2
# A client whose own link fails gets no answer from any upstream.
MIN_CLIENTS: Final = 2
# Most reported upstreams of a service and domain, as a share of all. If more
# are silent, a link of the domain may have failed, or all are slow.
MAX_SILENT_SHARE: Final = 0.5
# Nodes with strong evidence that holds, for each node whose strong evidence
# was refuted. Otherwise something else than upstreams has failed, such as the
# links of clients, and an upstream that few use may only look silent.
MIN_TRUSTED_RATIO: Final = 2
# Time that nodes have to report an answer after the reader asked.
DEFENCE_SECONDS: Final = 0.03
ASK_INTERVAL_SECONDS: Final = 0.5
# Questions and answers that are older than this are forgotten.
ASKED_SECONDS: Final = 3.0
# Older reports say nothing about the upstream now. A second retransmission
# comes up to 0.4 s after the first, from which its report counts.
REPORT_SECONDS: Final = 1.5
# Error of times that were sent as ages.
AGE_ERROR_SECONDS: Final = 0.02
# Bounds the traffic for evidence while many requests take long.
REPORTS_PER_SECOND: Final = 12.0
ASKS_PER_SECOND: Final = 16.0
BURST: Final = 32.0
MAX_HELD: Final = 64
# Interval at which the reader drops what is too old.
EXPIRY_INTERVAL_SECONDS: Final = 0.25
CLIENT_MASK: Final = (1 << 16) - 1

logger = EarlyLogger(__name__)


class Evidence(enum.IntEnum):
    """What a client's packets show about an upstream."""

    ANSWERED = 0
    # Data was sent again. A living upstream may still work on the request.
    DATA_REPEATED = 1
    # An opening was sent again. A living upstream answers at once, unless it
    # has no room for another flow.
    OPENING_REPEATED = 2
    # Data was sent again twice. A living upstream acknowledges the first
    # retransmission at once, however long it works on the request.
    DATA_REPEATED_TWICE = 3


STRONG: Final = frozenset(
    (Evidence.OPENING_REPEATED, Evidence.DATA_REPEATED_TWICE)
)


class SilenceReport(Value):
    """Report what one client's packets show about an upstream.

    An answer that any node saw after `at` (monotonic time of the node that
    holds the report) refutes it.
    """

    __slots__ = ('at', 'client', 'echo', 'evidence')

    def __init__(
        self,
        *,
        echo: int,
        evidence: Evidence,
        at: float,
        client: int = 0,
    ) -> None:
        """Store the arguments; `client` has 16 bits of its address."""
        self.echo = echo
        self.evidence = evidence
        self.at = at
        self.client = client


class SilenceNotice(Value):
    """Ask for answers of an upstream since `at`, or tell of its silence."""

    __slots__ = ('at', 'echo', 'is_confirmed')

    def __init__(self, *, echo: int, at: float, is_confirmed: bool) -> None:
        """Store the arguments."""
        self.echo = echo
        self.at = at
        self.is_confirmed = is_confirmed


class TokenBucket:
    """Limit the rate of events, with short bursts."""

    __slots__ = ('per_second', 'tokens', 'updated_at')

    def __init__(self, per_second: float) -> None:
        """Store the rate and start with a full burst."""
        self.per_second = per_second
        self.tokens = BURST
        self.updated_at = float('-inf')

    def take(self, now: float) -> bool:
        """Count an event; return False if there were too many."""
        gained = (now - self.updated_at) * self.per_second
        self.tokens = min(BURST, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class HeldReport:
    """Hold a report until another upstream has answered since `since`."""

    __slots__ = ('report', 'since', 'upstream')

    def __init__(
        self,
        *,
        report: SilenceReport,
        upstream: KnownUpstream,
        since: float,
    ) -> None:
        """Store the arguments; `since` is when the client sent first."""
        self.report = report
        self.upstream = upstream
        self.since = since


class SilenceDetector:
    """Report retransmissions and answers that this node sees.

    A retransmission is reported only once another upstream of the same failure
    domain has answered a request that this node forwarded later than the
    unanswered one. So a node that is cut off from the domain reports nothing.
    """

    __slots__ = (
        'answered',
        'asked',
        'bucket',
        'confirmed',
        'denied',
        'held',
        'on_confirmed',
        'on_report',
        'proven_at',
        'reported',
        'upstreams',
    )

    def __init__(self, *, upstreams: UpstreamRegistry) -> None:
        """Start without evidence."""
        self.upstreams = upstreams
        # When each upstream answered last. Its health counts when a client was
        # seen to acknowledge, which may be much later.
        self.answered: dict[KnownUpstream, float] = {}
        # Questions of the reader that no answer has settled yet.
        self.asked: dict[KnownUpstream, SilenceNotice] = {}
        self.bucket = TokenBucket(REPORTS_PER_SECOND)
        self.held: list[HeldReport] = []
        # When the last answered request was sent, by failure domain.
        self.proven_at: dict[str, float] = {}
        # Counts for the metrics.
        self.reported = 0
        self.confirmed = 0
        self.denied = 0
        # Called with each report; does nothing without peers.
        self.on_report: Callable[[SilenceReport], None] = ignore_report
        # Ends the flows of an upstream that is silent since a time; returns
        # False if this node knows better.
        self.on_confirmed: Callable[[KnownUpstream, float], bool] = ignore_loss

    def record_repeat(
        self,
        upstream: KnownUpstream,
        client: int,
        sent_at: float,
        repeated_at: float,
        now: float,
    ) -> None:
        """Record data that was sent at `sent_at`, again at `repeated_at`.

        `repeated_at` is now for the first retransmission.
        """
        evidence = (
            Evidence.DATA_REPEATED
            if repeated_at == now
            else Evidence.DATA_REPEATED_TWICE
        )
        self.record(upstream, client, evidence, sent_at, repeated_at, now)

    def record_opening(
        self,
        upstream: KnownUpstream,
        client: int,
        sent_at: float,
        now: float,
    ) -> None:
        """Record an opening that was sent at `sent_at` and again now."""
        evidence = Evidence.OPENING_REPEATED
        # A living upstream would have answered by then.
        at = (sent_at + now) / 2
        self.record(upstream, client, evidence, sent_at, at, now)

    def record(
        self,
        upstream: KnownUpstream,
        client: int,
        evidence: Evidence,
        sent_at: float,
        at: float,
        now: float,
    ) -> None:
        """Report evidence, or hold it until another upstream has answered."""
        if self.answered_at(upstream) > at or not upstream.is_registered:
            return
        held = HeldReport(
            report=SilenceReport(
                echo=upstream.echo,
                evidence=evidence,
                at=at,
                client=(client ^ (client >> 16)) & CLIENT_MASK,
            ),
            upstream=upstream,
            since=sent_at,
        )
        if self.is_proven(held):
            self.send(held.report, now)
        else:
            self.held.append(held)
            del self.held[:-MAX_HELD]

    def is_proven(self, held: HeldReport) -> bool:
        """Return True when its domain answers this node meanwhile."""
        domain = held.upstream.record.domain
        return self.proven_at.get(domain, 0) > held.since

    def record_answer(
        self,
        upstream: KnownUpstream,
        sent_at: float,
        answered_at: float,
        now: float,
    ) -> None:
        """Record an answer to a request of `sent_at`, 0 if it is unknown."""
        if answered_at > self.answered_at(upstream):
            self.answered[upstream] = answered_at
        domain = upstream.record.domain
        if sent_at > self.proven_at.get(domain, 0):
            self.proven_at[domain] = sent_at
            if self.held:
                self.release(now)
        question = self.asked.get(upstream)
        if question is not None and is_refuted(question.at, answered_at):
            del self.asked[upstream]
            self.deny(upstream)

    def answered_at(self, upstream: KnownUpstream) -> float:
        """Return when an upstream answered last, as this node sees it."""
        return self.answered.get(upstream, float('-inf'))

    def release(self, now: float) -> None:
        """Report held evidence that is proven now; drop what is old."""
        kept: list[HeldReport] = []
        for held in self.held:
            report = held.report
            answered_at = self.answered_at(held.upstream)
            if answered_at > report.at or now - report.at > REPORT_SECONDS:
                continue
            if self.is_proven(held):
                self.send(report, now)
            else:
                kept.append(held)
        self.held = kept

    def send(self, report: SilenceReport, now: float) -> None:
        """Send a report, unless there were too many."""
        if self.bucket.take(now):
            self.reported += 1
            self.on_report(report)

    def deny(self, upstream: KnownUpstream) -> None:
        """Report the last answer of an upstream."""
        self.denied += 1
        self.on_report(
            SilenceReport(
                echo=upstream.echo,
                evidence=Evidence.ANSWERED,
                at=self.answered_at(upstream),
            )
        )

    def handle_notice(self, notice: SilenceNotice) -> None:
        """Answer a question of the reader, or end the flows of an upstream."""
        upstream = self.upstreams.by_echo.get(notice.echo)
        if upstream is None:
            return
        is_known_to_live = is_refuted(notice.at, self.answered_at(upstream))
        if notice.is_confirmed and not is_known_to_live:
            is_known_to_live = not self.on_confirmed(upstream, notice.at)
            self.confirmed += not is_known_to_live
        if is_known_to_live:
            self.deny(upstream)
        elif not notice.is_confirmed:
            self.asked[upstream] = notice

    def expire(self, now: float) -> None:
        """Drop questions and evidence that are too old."""
        for upstream, question in list(self.asked.items()):
            if now - question.at > ASKED_SECONDS:
                del self.asked[upstream]
        for upstream, at in list(self.answered.items()):
            if now - at > ASKED_SECONDS:
                del self.answered[upstream]
        self.held = [
            held for held in self.held if now - held.report.at <= REPORT_SECONDS
        ]


def ignore_report(_report: SilenceReport) -> None:
    """Do nothing; the default callback."""


def ignore_loss(_upstream: KnownUpstream, _at: float) -> bool:
    """End no flows; the default callback."""
    return False


def is_refuted(at: float, answered_at: float) -> bool:
    """Return True when an answer refutes evidence of a silence."""
    return answered_at > at - AGE_ERROR_SECONDS


class SilenceCase:
    """Hold what the nodes of a domain reported about one upstream."""

    __slots__ = ('answered_at', 'asked_at', 'first_asked_at', 'reports')

    def __init__(self) -> None:
        """Start without reports."""
        self.answered_at = float('-inf')
        # When the nodes were asked last, and first since the last answer.
        self.asked_at = float('-inf')
        self.first_asked_at = float('inf')
        # The latest report of each kind, by reporter.
        self.reports: dict[tuple[int, Evidence], SilenceReport] = {}

    def add(self, report: SilenceReport, reporter: int) -> set[int]:
        """Add a report; return the nodes whose strong evidence is refuted."""
        before = self.strong_reporters
        if report.evidence is Evidence.ANSWERED:
            self.answered_at = max(self.answered_at, report.at)
            self.asked_at = float('-inf')
            self.first_asked_at = float('inf')
            self.remove(float('-inf'))
        else:
            if report.evidence in STRONG:
                before.add(reporter)
            if not is_refuted(report.at, self.answered_at):
                self.reports[reporter, report.evidence] = report
        return before - self.strong_reporters

    def without(self, excluded: Container[int]) -> SilenceCase:
        """Return a copy without the reports of some nodes."""
        case = SilenceCase()
        case.reports = {
            key: report
            for key, report in self.reports.items()
            if key[0] not in excluded
        }
        return case

    def remove(self, before: float) -> None:
        """Remove reports that are refuted, or older than `before`."""
        self.reports = {
            key: report
            for key, report in self.reports.items()
            if report.at >= before
            and not is_refuted(report.at, self.answered_at)
        }

    @property
    def reporters(self) -> set[int]:
        """Return the nodes that reported the upstream."""
        return {reporter for reporter, _ in self.reports}

    @property
    def strong_reporters(self) -> set[int]:
        """Return the nodes whose evidence does not depend on load."""
        return {
            reporter
            for reporter, evidence in self.reports
            if evidence in STRONG
        }

    @property
    def clients(self) -> set[int]:
        """Return the clients without an answer."""
        return {report.client for report in self.reports.values()}

    @property
    def begin(self) -> float:
        """Return since when the upstream is silent."""
        return min(report.at for report in self.reports.values())

    @property
    def is_worth_asking(self) -> bool:
        """Return True when more than a slow request seems to be wrong."""
        return bool(self.strong_reporters) or len(self.reporters) > 1

    @property
    def is_proven(self) -> bool:
        """Return True when the reports suffice, if nobody refutes them.

        An opening may be ignored by an upstream that has no room for another
        flow, so that at least one open flow must have sent its data twice.
        """
        return (
            len(self.reporters) >= MIN_REPORTERS
            and len(self.strong_reporters) >= MIN_STRONG_REPORTERS
            and len(self.clients) >= MIN_CLIENTS
            and any(
                evidence is Evidence.DATA_REPEATED_TWICE
                for _, evidence in self.reports
            )
        )

    @property
    def defence_ends_at(self) -> float:
        """Return when the nodes will have had time to report an answer."""
        return self.first_asked_at + DEFENCE_SECONDS


class SilenceJudge:
    """Decide from the reports of a domain's nodes which upstreams are silent.

    Used on the domain's reader only. Its state is soft: a new reader starts
    without any, and meanwhile each node goes by what it sees itself.
    """

    __slots__ = (
        'bucket',
        'cases',
        'confirmed',
        'expired_at',
        'refuted',
        'upstreams',
        'waiting',
    )

    def __init__(self, *, upstreams: UpstreamRegistry) -> None:
        """Start without reports."""
        self.upstreams = upstreams
        self.bucket = TokenBucket(ASKS_PER_SECOND)
        self.cases: dict[KnownUpstream, SilenceCase] = {}
        # When strong evidence of a node was refuted last. Its link, or that of
        # its clients, may have failed, or it may be faulty.
        self.refuted: dict[int, float] = {}
        # Upstreams whose nodes may still refute the reports.
        self.waiting: set[KnownUpstream] = set()
        self.confirmed = 0
        self.expired_at = float('-inf')

    def add(
        self,
        report: SilenceReport,
        reporter: int,
        now: float,
    ) -> Iterator[SilenceNotice]:
        """Add a report and yield what the nodes are to be told."""
        upstream = self.upstreams.by_echo.get(report.echo)
        if upstream is None or not 0 <= now - report.at <= REPORT_SECONDS:
            return
        case = self.cases.setdefault(upstream, SilenceCase())
        for refuted in case.add(report, reporter):
            self.refuted[refuted] = now
        if now - self.expired_at >= EXPIRY_INTERVAL_SECONDS:
            self.expire(now)
        yield from self.decide(upstream, case, now)

    def decide_waiting(self, now: float) -> Iterator[SilenceNotice]:
        """Decide the cases whose defence may be over."""
        for upstream in list(self.waiting):
            case = self.cases.get(upstream)
            self.waiting.discard(upstream)
            if case is not None:
                yield from self.decide(upstream, case, now)

    def decide(
        self,
        upstream: KnownUpstream,
        case: SilenceCase,
        now: float,
    ) -> Iterator[SilenceNotice]:
        """Yield a question about an upstream, or that it is silent."""
        case.remove(now - REPORT_SECONDS)
        if not case.reports or not case.is_worth_asking:
            return
        if now - case.asked_at >= ASK_INTERVAL_SECONDS and self.bucket.take(
            now
        ):
            case.asked_at = now
            case.first_asked_at = min(case.first_asked_at, now)
            yield SilenceNotice(
                echo=upstream.echo, at=case.begin, is_confirmed=False
            )
        trusted = case.without(self.refuted)
        if (
            not trusted.is_proven
            or not self.is_evidence_reliable
            or self.are_most_silent(upstream)
        ):
            return
        if now < case.defence_ends_at:
            self.waiting.add(upstream)
            return
        self.log_confirmed(upstream, case, now)
        yield SilenceNotice(
            echo=upstream.echo, at=case.begin, is_confirmed=True
        )
        self.confirmed += 1
        # Later evidence is about flows that were opened since.
        del self.cases[upstream]

    @property
    def is_evidence_reliable(self) -> bool:
        """Return True when little of the recent evidence was refuted."""
        if not self.refuted:
            return True
        strong = set[int]().union(
            *(case.strong_reporters for case in self.cases.values())
        )
        trusted = len(strong - set(self.refuted))
        return trusted >= len(self.refuted) * MIN_TRUSTED_RATIO

    def are_most_silent(self, upstream: KnownUpstream) -> bool:
        """Return True when most of its service in its domain is reported."""
        record = upstream.record
        known = self.upstreams.candidates(record.service, record.domain)
        silent = sum(
            one in self.cases and bool(self.cases[one].strong_reporters)
            for one in known
        )
        return silent > len(known) * MAX_SILENT_SHARE

    def expire(self, now: float) -> None:
        """Drop what is too old to count."""
        self.expired_at = now
        self.refuted = {
            reporter: at
            for reporter, at in self.refuted.items()
            if now - at <= REPORT_SECONDS
        }
        for upstream, case in list(self.cases.items()):
            case.remove(now - REPORT_SECONDS)
            if not case.reports and now - case.answered_at > REPORT_SECONDS:
                del self.cases[upstream]

    def log_confirmed(
        self,
        upstream: KnownUpstream,
        case: SilenceCase,
        now: float,
    ) -> None:
        """Log that the nodes agree, with what they reported."""
        logger.warning(
            'upstream silent',
            extra={
                'upstream': upstream.record.name,
                'domain': upstream.record.domain,
                'reporters': len(case.reporters),
                'strong': len(case.strong_reporters),
                'clients': len(case.clients),
                'since_s': round(now - case.begin, 3),
            },
        )
