"""Registry of the upstreams that a node knows, and their availability."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterator

from burdocksill.packets.admission import NO_ENDPOINT, ConcurrencyLimiter
from burdocksill.packets.health import UpstreamHealth
from burdocksill.packets.messages import UpstreamRecord, UpstreamState

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# A living upstream whose entry expired while the store was unavailable is
# registered again within two seconds of the store's recovery. The rest is for
# the delay until this node reads the entry.
REGISTRATION_GRACE_SECONDS: Final = 2.4
# Flows may outlive their upstream's entry by at most the lifetime of a flow.
RETENTION_SECONDS: Final = 90.0
# An entry expires at most this long after its upstream last renewed its lease.
# If the store has been healthy for longer, the upstream has stopped renewing.
LEASE_SECONDS: Final = 3.0
ECHO_MASK: Final = (1 << 32) - 1


class RegistrationState(enum.Enum):
    """State of an upstream's registration."""

    REGISTERED = 'registered'
    # Its entry was removed recently, or while the store was unavailable, so
    # that it may be registered again.
    EXPIRED = 'expired'
    GONE = 'gone'


class KnownUpstream:
    """Hold an upstream's record and its state on this node."""

    __slots__ = (
        'absent_since',
        'cold_until',
        'echo',
        'first_seen_at',
        'flows',
        'health',
        'is_withdrawn',
        'limiter',
        'record',
        'replaced',
        'replaced_by',
        'waiting',
    )

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        echo: int,
        first_seen_at: float,
        limiter: ConcurrencyLimiter,
    ) -> None:
        """Store the arguments and start without flows or observations."""
        self.record = record
        self.echo = echo
        self.first_seen_at = first_seen_at
        self.cold_until: float = 0
        # When its entry was removed; 0 while it is registered.
        self.absent_since: float = 0
        # The process that was started later under its name or address.
        self.replaced_by: KnownUpstream | None = None
        # The upstream of another name that it replaced at its address.
        self.replaced: KnownUpstream | None = None
        # True while its entry can't be read. Whoever wrote it tells nothing
        # about the process, which keeps its flows.
        self.is_withdrawn = False
        self.flows: int = 0
        # Flows whose client waits for an answer.
        self.waiting: int = 0
        self.health: UpstreamHealth = UpstreamHealth()
        # Shared by all upstreams of its service.
        self.limiter = limiter

    @property
    def is_replaced(self) -> bool:
        """Return True while another process runs under its name or address."""
        return self.replaced_by is not None

    @property
    def is_registered(self) -> bool:
        """Return True while it is registered and was not replaced."""
        return not self.absent_since and not self.is_replaced

    def registration_state(
        self,
        now: float,
        store_healthy_since: float,
    ) -> RegistrationState:
        """Return whether it is registered, may be again, or is gone for good.

        It is gone if its entry has been absent for the grace period, counted
        only while the store is healthy.
        """
        if not self.absent_since:
            return RegistrationState.REGISTERED
        counted_from = max(self.absent_since, store_healthy_since)
        if now - counted_from < REGISTRATION_GRACE_SECONDS:
            return RegistrationState.EXPIRED
        return RegistrationState.GONE

    def admits(self, urgency: int) -> bool:
        """Return True when it can answer one more flow in time."""
        limit = self.limiter.limit_for(urgency)
        own_limit = max(1, limit * self.record.slots)
        return self.limiter.admits(urgency) and self.waiting < own_limit

    def begin_request(
        self, endpoint: tuple[int, int] = NO_ENDPOINT, now: float = 0
    ) -> None:
        """Count one more request in progress."""
        self.waiting += 1
        self.limiter.begin(endpoint, now)

    def end_request(self, endpoint: tuple[int, int] = NO_ENDPOINT) -> None:
        """Count one request in progress less."""
        self.waiting -= 1
        self.limiter.end(endpoint)

    def is_cold(self, now: float) -> bool:
        """Return True during its slow start."""
        return now < self.cold_until


def echo_of(tag: int) -> int:
    """Return the 32-bit number that names an upstream in packet headers.

    Tags are random, so their low bits are as unique as a hash, and all nodes
    derive the same number without shared state.
    """
    return tag & ECHO_MASK


class UpstreamRegistry:
    """Index upstreams by service for new flows and by echo for open ones."""

    __slots__ = (
        'by_address',
        'by_echo',
        'by_name',
        'by_service',
        'expired',
        'limiters',
        'make_limiter',
        'replaced',
        'store_healthy_since',
        'unreadable',
    )

    def __init__(
        self, make_limiter: type[ConcurrencyLimiter] = ConcurrencyLimiter
    ) -> None:
        """Start without upstreams."""
        # Class of the limiters of services.
        self.make_limiter = make_limiter
        self.by_name: dict[str, KnownUpstream] = {}
        self.by_echo: dict[int, KnownUpstream] = {}
        # The process that was started last at each address.
        self.by_address: dict[tuple[str, int], KnownUpstream] = {}
        # Echoes of the upstreams whose entries can't be read, by name. They may
        # live, although this node has never read an entry of theirs.
        self.unreadable: dict[str, int] = {}
        # Upstreams that were replaced, or whose entry expired, and that were
        # not returned by pop_replaced() or pop_expired() yet.
        self.replaced: list[KnownUpstream] = []
        self.expired: list[KnownUpstream] = []
        # Upstreams that accept new flows, by service, failure domain and name.
        self.by_service: dict[str, dict[str, dict[str, KnownUpstream]]] = {}
        # By service.
        self.limiters: dict[str, ConcurrencyLimiter] = {}
        # Since when the store has answered without failure; 0 while it is
        # unavailable.
        self.store_healthy_since: float = 0

    def register(
        self,
        record: UpstreamRecord,
        now: float,
        *,
        replaces: bool = True,
    ) -> bool:
        """Add or update an upstream; return False if nothing changed.

        `replaces` is False if the entry proves nothing about the upstream that
        had its address before.
        """
        self.unreadable.pop(record.name, None)
        upstream = self.by_name.get(record.name)
        if upstream is None or upstream.record.started_at != record.started_at:
            self.add_process(record, now, replaces=replaces)
            return True
        changed = (
            upstream.record != record
            or bool(upstream.absent_since)
            or upstream.is_withdrawn
        )
        self.remove_candidate(upstream)
        upstream.record = record
        upstream.absent_since = 0
        upstream.is_withdrawn = False
        # Its process has written the entry again, so that it runs.
        self.take_back(upstream)
        self.add_candidate(upstream)
        if record.cold_seconds:
            upstream.cold_until = now + record.cold_seconds
        return changed

    def add_process(
        self,
        record: UpstreamRecord,
        now: float,
        *,
        replaces: bool,
    ) -> None:
        """Add a new upstream, or a new process of an existing one."""
        previous = self.by_name.get(record.name)
        if previous is not None:
            self.remove_candidate(previous)
        upstream = KnownUpstream(
            record=record,
            echo=echo_of(record.tag),
            first_seen_at=now,
            limiter=self.limiters.setdefault(
                record.service,
                self.make_limiter(),
            ),
        )
        if record.cold_seconds:
            upstream.cold_until = now + record.cold_seconds
        self.by_name[record.name] = upstream
        holder = self.by_echo.get(upstream.echo)
        # If two upstreams have the same echo, the one with the lower name keeps
        # it on every node. The other gets no flows, because their packets would
        # reach the wrong upstream.
        if holder is None or record.name <= holder.record.name:
            self.by_echo[upstream.echo] = upstream
        self.add_candidate(upstream)
        if previous is not None:
            self.mark_replaced(previous, upstream)
        address = (record.host, record.port)
        holder = self.by_address.get(address)
        if holder is not None and replaces:
            self.mark_replaced(holder, upstream)
        if holder is None or replaces:
            self.by_address[address] = upstream

    def mark_replaced(
        self,
        previous: KnownUpstream,
        upstream: KnownUpstream,
    ) -> None:
        """Mark a process as replaced by one that was started later.

        Nothing follows if both were read at the same time or if a start time is
        unknown, because the clocks of two hosts may differ.
        """
        is_later = 0 < previous.record.started_at < upstream.record.started_at
        if (
            is_later
            and previous.first_seen_at < upstream.first_seen_at
            and not previous.is_replaced
        ):
            previous.replaced_by = upstream
            if previous.record.name != upstream.record.name:
                upstream.replaced = previous
            self.remove_candidate(previous)
            self.replaced.append(previous)

    def restore_replaced(self, upstream: KnownUpstream) -> None:
        """Use the upstream again that one without an entry has replaced.

        If its own entry is still there, it is renewed, so that it runs.
        """
        previous = upstream.replaced
        if previous is None or previous.replaced_by is not upstream:
            return
        is_current = self.by_name.get(previous.record.name) is previous
        if is_current and not previous.absent_since:
            self.take_back(previous)
            if not previous.is_withdrawn:
                self.add_candidate(previous)

    def take_back(self, upstream: KnownUpstream) -> None:
        """Conclude that an upstream was not replaced at its address."""
        if upstream.replaced_by is not None:
            upstream.replaced_by = None
            address = (upstream.record.host, upstream.record.port)
            self.by_address[address] = upstream

    def pop_replaced(self) -> list[KnownUpstream]:
        """Return and remove those that were replaced since the last call."""
        popped = self.replaced
        self.replaced = []
        return [upstream for upstream in popped if upstream.is_replaced]

    def pop_expired(self) -> list[KnownUpstream]:
        """Return and remove those whose entry expired since the last call."""
        popped = self.expired
        self.expired = []
        return popped

    def add_candidate(self, upstream: KnownUpstream) -> None:
        """Make an upstream available to new flows if it is ready."""
        record = upstream.record
        if record.state is UpstreamState.READY:
            domains = self.by_service.setdefault(record.service, {})
            domains.setdefault(record.domain, {})[record.name] = upstream
            upstream.limiter.slots += record.slots

    def remove_candidate(self, upstream: KnownUpstream) -> None:
        """Make an upstream unavailable to new flows."""
        record = upstream.record
        domains = self.by_service.get(record.service, {})
        candidates = domains.get(record.domain, {})
        if candidates.get(record.name) is upstream:
            del candidates[record.name]
            upstream.limiter.slots -= record.slots

    def mark_absent(self, name: str, now: float) -> bool:
        """Record that an entry was removed; return False if it was absent."""
        self.unreadable.pop(name, None)
        upstream = self.by_name.get(name)
        if upstream is None or upstream.absent_since:
            return False
        upstream.absent_since = now
        self.restore_replaced(upstream)
        if self.stopped_renewing(upstream):
            self.expired.append(upstream)
        return True

    def withdraw(self, name: str, tag: int | None = None) -> bool:
        """Place no new flows on an upstream; return True if this is new."""
        if tag is not None:
            self.unreadable[name] = echo_of(tag)
        upstream = self.by_name.get(name)
        if upstream is None or upstream.is_withdrawn:
            return False
        upstream.is_withdrawn = True
        self.remove_candidate(upstream)
        self.restore_replaced(upstream)
        return True

    def remove_expired(self, now: float) -> None:
        """Remove upstreams that have been absent for RETENTION_SECONDS."""
        for name, upstream in list(self.by_name.items()):
            absent = upstream.absent_since
            if absent and now - absent > RETENTION_SECONDS:
                del self.by_name[name]
                self.remove_candidate(upstream)
                self.remove_address(upstream)
                if self.by_echo.get(upstream.echo) is upstream:
                    del self.by_echo[upstream.echo]

    def remove_address(self, upstream: KnownUpstream) -> None:
        """Remove an upstream from the index of addresses."""
        address = (upstream.record.host, upstream.record.port)
        if self.by_address.get(address) is upstream:
            del self.by_address[address]

    def available_in_service(
        self,
        service: str,
        now: float,
    ) -> Iterator[KnownUpstream]:
        """Yield the available upstreams of a service."""
        for domain in self.by_service.get(service, {}):
            yield from self.available_in_domain(service, domain, now)

    def available_in_domain(
        self,
        service: str,
        domain: str,
        now: float,
    ) -> Iterator[KnownUpstream]:
        """Yield the available upstreams of a service in one failure domain."""
        for upstream in self.candidates(service, domain):
            if self.is_available(upstream, now):
                yield upstream

    def candidates(
        self,
        service: str,
        domain: str,
    ) -> Collection[KnownUpstream]:
        """Return the upstreams of a failure domain that accept new flows."""
        return self.by_service.get(service, {}).get(domain, {}).values()

    def is_available(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True when its echo is its own and it is not gone for good."""
        return (
            self.by_echo.get(upstream.echo) is upstream
            and self.registration_state(upstream, now)
            is not RegistrationState.GONE
        )

    def stopped_renewing(self, upstream: KnownUpstream) -> bool:
        """Return True when its entry expired while the store was healthy."""
        since = self.store_healthy_since
        return 0 < since <= upstream.absent_since - LEASE_SECONDS

    def registration_state(
        self,
        upstream: KnownUpstream,
        now: float,
    ) -> RegistrationState:
        """Return the state of an upstream's registration."""
        if upstream.is_replaced:
            return RegistrationState.GONE
        if not self.store_healthy_since and upstream.absent_since:
            return RegistrationState.EXPIRED
        return upstream.registration_state(now, self.store_healthy_since)
