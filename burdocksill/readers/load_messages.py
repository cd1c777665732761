"""Loads that nodes tell each other."""

from __future__ import annotations

import binascii

from burdocksill.values import Value

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Interval of load reports and summaries. Each is jittered by this fraction.
PERIOD_SECONDS: Final = 0.5
JITTER_FRACTION: Final = 0.1
# Clocks of two machines drift by less than 10 ms in this time.
DELAY_WINDOW_SECONDS: Final = 30.0

# Number under which the nodes of all domains are counted.
ALL_NODES: Final = 0


def group_number(service: str, domain: str) -> int:
    """Return the number that names a service's upstreams in a domain."""
    return binascii.crc32(f'{service}/{domain}'.encode())


def domain_number(domain: str) -> int:
    """Return the number under which a domain's nodes are counted."""
    return group_number('', domain)


class UpstreamLoad(Value):
    """Load of one upstream, as one node sees it or summed over nodes."""

    __slots__ = (
        'answer_seconds',
        'echo',
        'errors_per_second',
        'flows',
        'in_progress',
    )

    def __init__(
        self,
        *,
        echo: int,
        flows: float = 0,
        in_progress: float = 0,
        answer_seconds: float = 0,
        errors_per_second: float = 0,
    ) -> None:
        """Store the arguments."""
        self.echo = echo
        self.flows = flows
        self.in_progress = in_progress
        # 0 if unknown.
        self.answer_seconds = answer_seconds
        self.errors_per_second = errors_per_second


class LoadReport(Value):
    """Loads that a node sees, for the reader of its domain."""

    __slots__ = ('groups', 'rounds', 'rows', 'sent_at')

    def __init__(
        self,
        *,
        sent_at: float,
        rounds: int = 1,
        groups: dict[int, int],
        rows: tuple[UpstreamLoad, ...],
    ) -> None:
        """Store the arguments."""
        # Monotonic time of the sender.
        self.sent_at = sent_at
        # Number of reports in which every upstream with load is told once.
        self.rounds = rounds
        # Requests in progress by the number of a service in a domain.
        self.groups = groups
        self.rows = rows


class LoadSummary(Value):
    """Sums of a domain's loads, from its reader.

    `groups` also holds the numbers of nodes of all domains and of each.
    """

    __slots__ = (
        'age_seconds',
        'for_readers',
        'groups',
        'rounds',
        'rows',
        'sent_at',
    )

    def __init__(
        self,
        *,
        sent_at: float,
        age_seconds: float,
        groups: dict[int, int],
        rows: tuple[UpstreamLoad, ...] = (),
        rounds: int = 1,
        for_readers: bool = False,
    ) -> None:
        """Store the arguments."""
        self.sent_at = sent_at
        # Age of the oldest report in the sums, when the summary was sent.
        self.age_seconds = age_seconds
        self.groups = groups
        self.rows = rows
        self.rounds = rounds
        # True for the sums of one domain, for the readers of the others.
        self.for_readers = for_readers


class ToldGroups:
    """Hold the sums of groups, which several datagrams may tell in turn."""

    __slots__ = ('lapses_at', 'sums')

    def __init__(self) -> None:
        """Start without groups."""
        self.sums: dict[int, int] = {}
        self.lapses_at: dict[int, float] = {}

    def store(
        self,
        told: dict[int, int],
        *,
        is_whole: bool,
        now: float,
        lapses_at: float,
    ) -> None:
        """Store what a datagram tells; keep others until they lapse.

        `is_whole` is True if it tells all groups. Those that it leaves out have
        no request in progress then.
        """
        if is_whole:
            self.sums.clear()
            self.lapses_at.clear()
        for group, lapsed_at in list(self.lapses_at.items()):
            if lapsed_at < now:
                del self.lapses_at[group]
                del self.sums[group]
        self.sums.update(told)
        self.lapses_at.update(dict.fromkeys(told, lapses_at))


class TransitDelay:
    """Estimate how long datagrams of one sender were under way or waited.

    The clocks of two nodes differ. The datagram that was the fastest of the
    last minute counts as not delayed at all.
    """

    __slots__ = ('fastest', 'fastest_before', 'measured_at', 'window_at')

    def __init__(self) -> None:
        """Start without datagrams."""
        self.fastest = float('inf')
        self.fastest_before = float('inf')
        self.window_at = float('-inf')
        self.measured_at = float('-inf')

    def measure(self, sent_at: float, now: float) -> float:
        """Return the delay of a datagram that has arrived now."""
        offset = now - sent_at
        fastest = min(self.fastest, self.fastest_before)
        if offset - fastest > DELAY_WINDOW_SECONDS:
            # The sender's clock was set anew: its machine has restarted.
            self.fastest = offset
            self.fastest_before = offset
        if now - self.window_at > DELAY_WINDOW_SECONDS:
            self.fastest_before = self.fastest
            self.fastest = offset
            self.window_at = now
        self.fastest = min(self.fastest, offset)
        self.measured_at = now
        return offset - min(self.fastest, self.fastest_before)
