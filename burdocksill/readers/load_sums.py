"""Sums of the loads that a domain's nodes report, robust against wrong ones."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from burdocksill.network.addresses import Address
from burdocksill.readers.load_messages import (
    ALL_NODES,
    PERIOD_SECONDS,
    LoadReport,
    LoadSummary,
    ToldGroups,
    UpstreamLoad,
    domain_number,
)

# The report of a node counts for this long: two may be lost in a row.
REPORT_LIFE_SECONDS: Final = 3.2 * PERIOD_SECONDS
MAX_REPORTERS: Final = 1024
# Most reports in which a node may tell its rows.
MAX_ROUNDS: Final = 6
# Routers spread flows evenly over nodes. What a node reports counts up to this
# many times the others' mean, and that much more, as small numbers vary.
SHARE_FACTOR: Final = 3
SHARE_MARGIN: Final = 3
# The margin of errors a second.
ERROR_MARGIN: Final = 0.25
# Number of nodes that must have seen an upstream's answer times.
MIN_AGREEING: Final = 2
# The mean leaves out the highest of this many reports, and at least one.
TRIM_INTERVAL: Final = 8
# A reader's claim for its own domain counts up to this many times its slots.
MAX_CLAIMED_SLOTS: Final = 2
# For another domain it counts up to that domain's slots, shared by the other
# domains, at least this many.
MIN_SHARERS: Final = 2


def claim_bound(
    claims: Iterable[float], count: int, margin: float = SHARE_MARGIN
) -> float:
    """Return the bound on a claim by the mean of `count` nodes' claims.

    Nodes without a claim count as zero.
    """
    if count <= 1:
        return math.inf
    left_out = math.ceil(count / TRIM_INTERVAL)
    mean = sum(sorted(claims)[:-left_out]) / (count - left_out)
    return mean * SHARE_FACTOR + margin


def bounded_sum(
    claims: Sequence[float], count: int, margin: float = SHARE_MARGIN
) -> float:
    """Return the sum of the claims of `count` nodes, each bounded."""
    bound = claim_bound(claims, count, margin)
    return sum(min(claim, bound) for claim in claims)


def lowest_agreed(amounts: Iterable[float], count: int) -> float:
    """Return the second lowest of known amounts; unknown ones are 0.

    What one of several nodes alone says of an upstream is left out, and so is
    the higher of two.
    """
    known = sorted(amount for amount in amounts if amount > 0)
    if len(known) < min(count, MIN_AGREEING):
        return 0
    return known[int(len(known) > MIN_AGREEING)] if known else 0


def sum_upstream(
    echo: int, rows: Sequence[UpstreamLoad], count: int
) -> UpstreamLoad:
    """Sum the rows of one upstream over `count` nodes."""
    return UpstreamLoad(
        echo=echo,
        flows=bounded_sum([row.flows for row in rows], count),
        # A flow has at most one request in progress.
        in_progress=bounded_sum(
            [min(row.in_progress, row.flows) for row in rows], count
        ),
        answer_seconds=lowest_agreed(
            [row.answer_seconds for row in rows], count
        ),
        errors_per_second=bounded_sum(
            [row.errors_per_second for row in rows], count, ERROR_MARGIN
        ),
    )


@attrs.frozen(kw_only=True)
class GroupSlots:
    """Hold the slots of a service's upstreams in a domain."""

    domain: str
    slots: int
    # Domains with upstreams of any service.
    domains: int

    def most_claimed(self, claimant: str) -> int:
        """Return how many requests a domain's reader may claim for them."""
        if claimant == self.domain:
            return MAX_CLAIMED_SLOTS * self.slots
        return math.ceil(self.slots / max(MIN_SHARERS, self.domains - 1))


@attrs.define(kw_only=True, eq=False, repr=False)
class NodeLoad:
    """Hold what one node reported last."""

    reported_at: float
    told_groups: ToldGroups = attrs.field(factory=ToldGroups)
    # By echo, with the time after which they do not count.
    rows: dict[int, tuple[UpstreamLoad, float]] = attrs.field(factory=dict)

    @property
    def groups(self) -> dict[int, int]:
        """Return the groups that it told last."""
        return self.told_groups.sums

    def apply(
        self, report: LoadReport | LoadSummary, reported_at: float
    ) -> None:
        """Replace the groups and the rows that are told anew."""
        self.reported_at = reported_at
        more_rounds = min(report.rounds, MAX_ROUNDS) - 1
        lapses_at = (
            reported_at + REPORT_LIFE_SECONDS + more_rounds * PERIOD_SECONDS
        )
        self.told_groups.store(
            report.groups,
            is_whole=report.rounds == 1,
            now=reported_at,
            lapses_at=lapses_at,
        )
        if report.rounds == 1:
            self.rows.clear()
        for row in report.rows:
            self.rows[row.echo] = (row, lapses_at)


@attrs.define(kw_only=True, eq=False, repr=False)
class LoadSums:
    """Sum the reports of a domain's nodes and the sums of other domains."""

    nodes: dict[Address, NodeLoad] = attrs.field(factory=dict)
    # Of the readers of other domains, by domain.
    domains: dict[str, NodeLoad] = attrs.field(factory=dict)

    def add_report(
        self, sender: Address, report: LoadReport, reported_at: float
    ) -> None:
        """Apply a node's report, unless a newer one has arrived."""
        known = self.nodes.get(sender)
        if known is None:
            if len(self.nodes) >= MAX_REPORTERS:
                return
            known = NodeLoad(reported_at=reported_at)
            self.nodes[sender] = known
        if reported_at >= known.reported_at:
            known.apply(report, reported_at)

    def add_summary(
        self, domain: str, summary: LoadSummary, summed_at: float
    ) -> None:
        """Apply the sums of another domain."""
        known = self.domains.setdefault(domain, NodeLoad(reported_at=summed_at))
        known.apply(summary, summed_at)

    def remove_lapsed(self, now: float) -> None:
        """Remove reports and sums that are too old to count."""
        before = now - REPORT_LIFE_SECONDS
        for sender, node in list(self.nodes.items()):
            if node.reported_at < before:
                del self.nodes[sender]
        for domain, sums in list(self.domains.items()):
            if sums.reported_at < before:
                del self.domains[domain]

    def oldest_report(self, now: float) -> float:
        """Return the time of the oldest report in the sums."""
        return min(
            (node.reported_at for node in self.nodes.values()), default=now
        )

    def sum_rows(self, now: float) -> list[UpstreamLoad]:
        """Return the sums of all upstreams with load."""
        by_echo: dict[int, list[UpstreamLoad]] = {}
        for node in self.nodes.values():
            for row, lapses_at in node.rows.values():
                if lapses_at >= now:
                    by_echo.setdefault(row.echo, []).append(row)
        count = len(self.nodes)
        return [
            sum_upstream(echo, rows, count) for echo, rows in by_echo.items()
        ]

    def sum_groups(self) -> dict[int, int]:
        """Return the requests in progress of the own domain's nodes."""
        by_group: dict[int, list[float]] = {}
        for node in self.nodes.values():
            for group, in_progress in node.groups.items():
                by_group.setdefault(group, []).append(in_progress)
        count = len(self.nodes)
        return {
            number: round(bounded_sum(claims, count))
            for number, claims in by_group.items()
        }

    def sum_domains(
        self, domain: str, group_slots: dict[int, GroupSlots]
    ) -> dict[int, int]:
        """Return numbers of nodes, then requests in progress of all domains.

        `domain` is the own one.
        """
        requests = Counter(self.sum_groups())
        for remote, sums in self.domains.items():
            requests.update(
                {
                    group: min(claimed, group_slots[group].most_claimed(remote))
                    for group, claimed in sums.groups.items()
                    if group in group_slots
                }
            )
        return self.count_nodes(domain) | dict(requests)

    def count_nodes(self, domain: str) -> dict[int, int]:
        """Return the numbers of nodes of all domains, by their numbers."""
        own_count = len(self.nodes)
        claims = {
            remote: sums.groups.get(domain_number(remote), 0)
            for remote, sums in self.domains.items()
        }
        bound = claim_bound([own_count, *claims.values()], len(claims) + 1)
        counts = {domain_number(domain): own_count} | {
            domain_number(remote): round(min(claimed, bound))
            for remote, claimed in claims.items()
        }
        return {ALL_NODES: sum(counts.values())} | counts
