"""Load of upstreams as the reader of the own domain last told it."""

from __future__ import annotations

from collections import deque

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.shared_load import SharedLoad
from burdocksill.readers.load_messages import (
    ALL_NODES,
    PERIOD_SECONDS,
    LoadSummary,
    ToldGroups,
    UpstreamLoad,
    domain_number,
    group_number,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.local_load import LocalLoad
    from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry

# Sums older than four periods do not count. Three may be lost in a row.
MAX_AGE_SECONDS: Final = 4 * PERIOD_SECONDS
# A summary takes less than this to arrive, and a report to be summed.
TRANSIT_SECONDS: Final = 0.1
# Routers spread flows evenly over nodes. A sum of more than this many times the
# share that this node sees, and that many more, is wrong for certain.
PLAUSIBLE_FACTOR: Final = 4
PLAUSIBLE_MARGIN: Final = 3
# Loads of upstreams differ by less than this factor from their median.
UNUSUAL_FACTOR: Final = 8
# Flows and requests in progress are rounded, each by less than this fraction.
ROUNDING: Final = 0.06
# Where more summaries are needed to tell all loads, those that are not told
# count as unknown.
MAX_ROUNDS: Final = 6
# Bounds the memory of flows placed since the last report.
MAX_PLACED: Final = 4096

logger = EarlyLogger(__name__)


class ToldLoad:
    """Hold the load of one upstream and the time of its oldest report."""

    __slots__ = ('lapses_at', 'reported_at', 'row')

    def __init__(
        self, row: UpstreamLoad, reported_at: float, lapses_at: float
    ) -> None:
        """Store the arguments."""
        self.row = row
        self.reported_at = reported_at
        self.lapses_at = lapses_at


class PlacedFlows:
    """Count this node's new flows that no summary includes yet."""

    __slots__ = ('by_echo', 'recent', 'reports')

    def __init__(self) -> None:
        """Start without flows and reports."""
        self.recent: deque[tuple[float, int]] = deque()
        self.by_echo: dict[int, int] = {}
        # Times of reports that no summary includes yet.
        self.reports: deque[float] = deque(maxlen=16)

    def add(self, echo: int, now: float) -> None:
        """Count a new flow."""
        if len(self.recent) >= MAX_PLACED:
            self.remove_oldest()
        self.recent.append((now, echo))
        self.by_echo[echo] = self.by_echo.get(echo, 0) + 1

    def remove_reported(self, summary_at: float) -> None:
        """Remove the flows whose report a summary includes."""
        included = float('-inf')
        while self.reports and self.reports[0] <= summary_at - TRANSIT_SECONDS:
            included = self.reports.popleft()
        self.remove_until(included)

    def remove_until(self, until: float) -> None:
        """Remove the flows that were placed up to a time."""
        while self.recent and self.recent[0][0] <= until:
            self.remove_oldest()

    def remove_oldest(self) -> None:
        """Remove the oldest flow."""
        _, echo = self.recent.popleft()
        self.by_echo[echo] -= 1
        if not self.by_echo[echo]:
            del self.by_echo[echo]


class LoadTable:
    """Hold the loads of the last summaries; soft state that lapses."""

    __slots__ = (
        'domain',
        'groups',
        'implausible',
        'is_known',
        'local_load',
        'placed',
        'received_in_row',
        'reported_at',
        'rounds',
        'summed_at',
        'told',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        upstreams: UpstreamRegistry,
        local_load: LocalLoad,
    ) -> None:
        """Store the arguments and start without loads."""
        self.domain = domain
        self.upstreams = upstreams
        # What this node itself sees.
        self.local_load = local_load
        self.told: dict[int, ToldLoad] = {}
        # Requests in progress of services and numbers of nodes.
        self.groups = ToldGroups()
        # Times of the last summary and of the oldest report in it.
        self.summed_at = float('-inf')
        self.reported_at = float('-inf')
        # Number of summaries in which each upstream and service is told once.
        self.rounds: int = 1
        # Number of summaries since the load was last unknown.
        self.received_in_row: int = 0
        self.placed = PlacedFlows()
        # Whether the load is known, as logged.
        self.is_known = False
        # What was wrong in the last summary; empty if nothing.
        self.implausible: str = ''

    def collect(self, now: float) -> tuple[list[UpstreamLoad], dict[int, int]]:
        """Return loads of the own domain's upstreams, and sums of services."""
        return self.local_load.collect(self.domain, now)

    def group_slots(self) -> dict[int, tuple[str, int]]:
        """Return domain and slots of each service in each domain."""
        return {
            group_number(service, domain): (domain, self.slots(service, domain))
            for service, domains in self.upstreams.by_service.items()
            for domain in domains
        }

    def is_current(self, now: float) -> bool:
        """Return True while the last summary counts."""
        return now - self.summed_at <= MAX_AGE_SECONDS

    def age(self, now: float) -> float:
        """Return the seconds since the oldest report of the last summary."""
        return now - self.reported_at

    def load_of(self, upstream: KnownUpstream, now: float) -> SharedLoad | None:
        """Return the load of an upstream of the own domain, None if unknown.

        The nodes of other domains tell no loads of single upstreams, so that
        the own domain's sums say nothing about upstreams there.
        """
        if upstream.record.domain != self.domain or not self.is_current(now):
            return None
        told = self.told.get(upstream.echo)
        if told is None or told.lapses_at < now:
            if not self.is_complete():
                return None
            # It would have been told by now if it had load.
            told = ToldLoad(
                UpstreamLoad(echo=upstream.echo), self.reported_at, now
            )
        placed = self.placed.by_echo.get(upstream.echo, 0)
        return SharedLoad(
            flows=told.row.flows + placed,
            # A flow is not a request: short ones end before the next report.
            in_progress=told.row.in_progress,
            answer_seconds=told.row.answer_seconds,
            errors_per_second=told.row.errors_per_second,
            age_seconds=now - told.reported_at,
        )

    def is_complete(self) -> bool:
        """Return True when all upstreams and services have been told."""
        return self.rounds <= min(self.received_in_row, MAX_ROUNDS)

    def spare_slots(
        self, service: str, domain: str, now: float
    ) -> float | None:
        """Return the free slots of a service in a domain; None if unknown."""
        if not self.is_current(now) or not self.nodes_of(domain):
            return None
        group = group_number(service, domain)
        waiting = self.groups.sums.get(group)
        if waiting is None and not self.is_complete():
            return None
        return self.slots(service, domain) - (waiting or 0)

    def slots(self, service: str, domain: str) -> int:
        """Return the slots of the upstreams that accept new flows."""
        return sum(
            upstream.record.slots
            for upstream in self.upstreams.candidates(service, domain)
        )

    def nodes_of(self, domain: str) -> int:
        """Return the number of nodes that a domain's reader counts, 0: none."""
        return self.groups.sums.get(domain_number(domain), 0)

    def node_count(self, now: float) -> int | None:
        """Return the number of nodes of the deployment; None if unknown."""
        if not self.is_current(now):
            return None
        return self.groups.sums.get(ALL_NODES)

    def domain_nodes(self, domain: str, now: float) -> int | None:
        """Return the number of nodes of a domain; None if unknown."""
        if not self.is_current(now):
            return None
        return self.groups.sums.get(domain_number(domain))

    def record_placed(self, upstream: KnownUpstream, now: float) -> None:
        """Count a new flow until a summary includes it."""
        self.placed.remove_until(now - MAX_AGE_SECONDS)
        self.placed.add(upstream.echo, now)

    def record_reported(self, now: float) -> None:
        """Record that this node told its reader its load."""
        self.placed.reports.append(now)

    def apply(self, summary: LoadSummary, delay: float, now: float) -> bool:
        """Apply a summary; return False if it is too old or implausible."""
        if delay > MAX_AGE_SECONDS or now - delay < self.summed_at:
            return False
        implausible = self.find_implausible(summary)
        self.log_implausible(implausible)
        if implausible:
            return False
        if not self.is_current(now):
            self.received_in_row = 0
        self.received_in_row += 1
        self.summed_at = now - delay
        self.reported_at = self.summed_at - summary.age_seconds
        self.rounds = summary.rounds
        self.store(summary)
        self.placed.remove_reported(self.summed_at)
        self.log_change(now)
        return True

    def store(self, summary: LoadSummary) -> None:
        """Store the groups and rows of the last summary."""
        more_rounds = min(self.rounds, MAX_ROUNDS) - 1
        lapses_at = (
            self.summed_at + MAX_AGE_SECONDS + more_rounds * PERIOD_SECONDS
        )
        self.groups.store(
            summary.groups,
            is_whole=self.rounds == 1,
            now=self.summed_at,
            lapses_at=lapses_at,
        )
        if not more_rounds:
            self.told.clear()
        for row in summary.rows:
            self.told[row.echo] = ToldLoad(row, self.reported_at, lapses_at)

    def find_implausible(self, summary: LoadSummary) -> str:
        """Return what a summary has wrong by this node's own share, or ''."""
        nodes = summary.groups.get(domain_number(self.domain), 0)
        share = nodes * PLAUSIBLE_FACTOR
        if self.has_implausible_flows(summary.rows, share):
            return 'flows'
        for row in summary.rows:
            # A flow has at most one request in progress.
            if row.in_progress > row.flows * (1 + ROUNDING) + 1:
                return 'requests'
        for service in self.upstreams.by_service:
            group = group_number(service, self.domain)
            waiting = sum(
                upstream.waiting
                for upstream in self.upstreams.candidates(service, self.domain)
            )
            if summary.groups.get(group, 0) > share * (
                waiting + PLAUSIBLE_MARGIN
            ):
                return service
        return ''

    def has_implausible_flows(
        self, rows: tuple[UpstreamLoad, ...], share: int
    ) -> bool:
        """Return True when the flows of all rows or of one are too many.

        Of one upstream a node may see none by chance, so that a single row must
        also differ from the others.
        """
        if not rows:
            return False
        by_echo = self.upstreams.by_echo
        usual = sorted(row.flows for row in rows)[len(rows) // 2]
        total = 0
        for row in rows:
            upstream = by_echo.get(row.echo)
            own = 0 if upstream is None else upstream.flows
            total += own
            if (
                row.flows > share * (own + PLAUSIBLE_MARGIN)
                and row.flows > usual * UNUSUAL_FACTOR
            ):
                return True
        claimed = sum(told.flows for told in rows)
        return claimed > share * (total + PLAUSIBLE_MARGIN)

    def log_implausible(self, implausible: str) -> None:
        """Log the first implausible summary in a row."""
        if implausible and not self.implausible:
            logger.warning(
                'load summary implausible',
                extra={'sum': implausible, 'nodes': self.nodes_of(self.domain)},
            )
        self.implausible = implausible

    def log_change(self, now: float) -> None:
        """Log whether the shared load has become known or unknown."""
        is_known = self.is_current(now)
        if is_known == self.is_known:
            return
        self.is_known = is_known
        extra = {
            'age_s': round(self.age(now), 3),
            'nodes': self.node_count(now),
        }
        if is_known:
            logger.info('shared load known', extra=extra)
            return
        logger.info('shared load lost', extra=extra)
