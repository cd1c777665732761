"""The upstreams that a node knows, and for how long an absent one counts."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterator

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.health import UpstreamHealth
from burdocksill.packets.messages import UpstreamRecord, UpstreamState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# An entry that lapsed while the store was in trouble is back within two
# seconds of its return if the upstream lives; the rest is for the way here.
ABSENT_SECONDS: Final = 2.4
# Flows may outlive their upstream's entry by the longest life of a flow.
FORGET_SECONDS: Final = 90.0
# An entry lapses after at most so long without a word of its upstream. Where
# the store has worked for longer, it is the upstream that fell silent.
LEASE_SECONDS: Final = 3.0
ECHO_MASK: Final = (1 << 32) - 1


class Presence(enum.Enum):
    """Name how sure it is that an upstream is there."""

    PRESENT = 'present'
    # Its entry vanished a moment ago, or while the store was in trouble.
    LAPSED = 'lapsed'
    GONE = 'gone'


class KnownUpstream:
    """Hold an upstream's record and what this node has seen of it."""

    __slots__ = (
        'absent_since',
        'echo',
        'flows',
        'health',
        'is_replaced',
        'limiter',
        'record',
        'since',
        'waiting',
        'warm_at',
    )

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        echo: int,
        since: float,
        limiter: ConcurrencyLimiter,
    ) -> None:
        """Take all fields."""
        self.record = record
        self.echo = echo
        self.since = since
        self.warm_at: float = 0
        # When its entry vanished; 0 while it is there.
        self.absent_since: float = 0
        # True once another process is known to run in its place.
        self.is_replaced = False
        self.flows: int = 0
        # Those of them whose client waits for an answer.
        self.waiting: int = 0
        self.health: UpstreamHealth = UpstreamHealth()
        # All upstreams of its service.
        self.limiter = limiter

    @property
    def is_listed(self) -> bool:
        """Return True while its entry stands and no other replaces it."""
        return not self.absent_since and not self.is_replaced

    def presence(self, now: float, store_healthy_since: float) -> Presence:
        """Tell whether it is gone; before a stable time nobody can know."""
        if not self.absent_since:
            return Presence.PRESENT
        counted_from = max(self.absent_since, store_healthy_since)
        if now - counted_from < ABSENT_SECONDS:
            return Presence.LAPSED
        return Presence.GONE

    def admits(self, urgency: int) -> bool:
        """Return True when it would answer one more flow in time."""
        room = self.limiter.limit_for(urgency)
        own = max(1, room * self.record.slots)
        return self.limiter.admits(urgency) and self.waiting < own

    def begin_request(self) -> None:
        """Count a client that waits for an answer."""
        self.waiting += 1
        self.limiter.waiting += 1

    def end_request(self) -> None:
        """Count it out again."""
        self.waiting -= 1
        self.limiter.waiting -= 1

    def is_cold(self, now: float) -> bool:
        """Return True while it is slow after its start."""
        return now < self.warm_at


def echo_of(record: UpstreamRecord) -> int:
    """Return the 32 bits by which packets name an upstream.

    Tags are drawn at random, so their low bits tell upstreams apart as well
    as any hash, and every node finds the same upstream without a table.
    """
    return record.tag & ECHO_MASK


class UpstreamRegistry:
    """Find upstreams by service for new flows, by echo for open ones."""

    __slots__ = (
        'by_address',
        'by_echo',
        'by_name',
        'by_service',
        'expired',
        'limiters',
        'replaced',
        'store_healthy_since',
    )

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.by_name: dict[str, KnownUpstream] = {}
        self.by_echo: dict[int, KnownUpstream] = {}
        # The process that started last behind each address.
        self.by_address: dict[tuple[str, int], KnownUpstream] = {}
        # Those whose end, or whose entry's end, whoever follows their flows
        # has not heard of yet.
        self.replaced: list[KnownUpstream] = []
        self.expired: list[KnownUpstream] = []
        # Those that want new flows, by service, failure domain and name.
        self.by_service: dict[str, dict[str, dict[str, KnownUpstream]]] = {}
        # What is in progress, by service.
        self.limiters: dict[str, ConcurrencyLimiter] = {}
        # Since when the list has been read without trouble; 0 while that
        # can't be.
        self.store_healthy_since: float = 0

    def register(self, record: UpstreamRecord, now: float) -> bool:
        """Take in an entry; return True if it differs in more than age."""
        known = self.by_name.get(record.name)
        if known is None or known.record.started_at != record.started_at:
            self.add(record, now)
            return True
        changed = known.record != record or bool(known.absent_since)
        self.remove_candidate(known)
        known.record = record
        known.absent_since = 0
        self.add_candidate(known)
        if record.cold_seconds:
            known.warm_at = now + record.cold_seconds
        return changed

    def add(self, record: UpstreamRecord, now: float) -> None:
        """Start to know an upstream, or a new start of one."""
        before = self.by_name.get(record.name)
        if before is not None:
            self.remove_candidate(before)
        known = KnownUpstream(
            record=record,
            echo=echo_of(record),
            since=now,
            limiter=self.limiters.setdefault(
                record.service, ConcurrencyLimiter()
            ),
        )
        if record.cold_seconds:
            known.warm_at = now + record.cold_seconds
        self.by_name[record.name] = known
        holder = self.by_echo.get(known.echo)
        # Of two upstreams with one echo the lower name keeps it, on every
        # node alike; the other gets no flows, as their packets would go astray.
        if holder is None or record.name <= holder.record.name:
            self.by_echo[known.echo] = known
        self.add_candidate(known)
        if before is not None:
            self.replace(before, known)
        address = (record.host, record.port)
        holder = self.by_address.get(address)
        if holder is not None:
            self.replace(holder, known)
        self.by_address[address] = known

    def replace(self, before: KnownUpstream, known: KnownUpstream) -> None:
        """Take note that a process ended, as another one runs in its place.

        Two that were read at once, or whose starts can't be compared, show
        nothing: clocks of machines differ.
        """
        is_later = 0 < before.record.started_at < known.record.started_at
        if is_later and before.since < known.since and not before.is_replaced:
            before.is_replaced = True
            self.remove_candidate(before)
            self.replaced.append(before)

    def pop_replaced(self) -> list[KnownUpstream]:
        """Return the upstreams whose end nobody was told of yet."""
        ended = self.replaced
        self.replaced = []
        return ended

    def pop_expired(self) -> list[KnownUpstream]:
        """Return the upstreams whose entry's end nobody was told of yet."""
        lapsed = self.expired
        self.expired = []
        return lapsed

    def add_candidate(self, known: KnownUpstream) -> None:
        """Let new flows find an upstream that wants them."""
        record = known.record
        if record.state is UpstreamState.READY:
            domains = self.by_service.setdefault(record.service, {})
            domains.setdefault(record.domain, {})[record.name] = known
            known.limiter.slots += record.slots

    def remove_candidate(self, known: KnownUpstream) -> None:
        """Hide an upstream from new flows."""
        record = known.record
        domains = self.by_service.get(record.service, {})
        placed = domains.get(record.domain, {})
        if placed.get(record.name) is known:
            del placed[record.name]
            known.limiter.slots -= record.slots

    def mark_absent(self, name: str, now: float) -> bool:
        """Take note that an entry vanished; return True if it was there."""
        known = self.by_name.get(name)
        if known is None or known.absent_since:
            return False
        known.absent_since = now
        if self.stopped_renewing(known):
            self.expired.append(known)
        return True

    def forget_old(self, now: float) -> None:
        """Drop what has been absent for longer than any flow lives."""
        for name, known in list(self.by_name.items()):
            absent = known.absent_since
            if absent and now - absent > FORGET_SECONDS:
                del self.by_name[name]
                self.remove_candidate(known)
                self.forget_address(known)
                if self.by_echo.get(known.echo) is known:
                    del self.by_echo[known.echo]

    def forget_address(self, known: KnownUpstream) -> None:
        """Drop an upstream as the one behind its address."""
        address = (known.record.host, known.record.port)
        if self.by_address.get(address) is known:
            del self.by_address[address]

    def of_service(self, service: str, now: float) -> Iterator[KnownUpstream]:
        """Return the upstreams of a service that may get new flows."""
        for domain in self.by_service.get(service, {}):
            yield from self.of_domain(service, domain, now)

    def of_domain(
        self,
        service: str,
        domain: str,
        now: float,
    ) -> Iterator[KnownUpstream]:
        """Return those of them in one failure domain."""
        for known in self.placed(service, domain):
            if self.may_serve(known, now):
                yield known

    def placed(
        self,
        service: str,
        domain: str,
    ) -> Collection[KnownUpstream]:
        """Return those that want new flows in one failure domain."""
        return self.by_service.get(service, {}).get(domain, {}).values()

    def may_serve(self, known: KnownUpstream, now: float) -> bool:
        """Return True when packets find it, and it isn't known to be gone."""
        return (
            self.by_echo.get(known.echo) is known
            and self.presence(known, now) is not Presence.GONE
        )

    def stopped_renewing(self, known: KnownUpstream) -> bool:
        """Return True when an entry vanished that the store did not lose."""
        since = self.store_healthy_since
        return 0 < since <= known.absent_since - LEASE_SECONDS

    def presence(self, known: KnownUpstream, now: float) -> Presence:
        """Tell whether an upstream is gone, by what is certain."""
        if known.is_replaced:
            return Presence.GONE
        if not self.store_healthy_since and known.absent_since:
            return Presence.LAPSED
        return known.presence(now, self.store_healthy_since)
