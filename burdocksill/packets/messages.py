"""Routes, upstreams and store updates, independent of platform formats."""

from __future__ import annotations

import enum

from burdocksill.readers.messages import ReaderEntry
from burdocksill.values import Value


class WeightedService(Value):
    """Service of a route with its weight in the traffic split."""

    __slots__ = ('service', 'weight')

    def __init__(
        self,
        *,
        service: str,
        weight: float = 1,
    ) -> None:
        """Store the arguments."""
        self.service = service
        self.weight = weight


class Route(Value):
    """Services to which new flows of one address and port are sent."""

    __slots__ = (
        'address',
        'name',
        'objective_seconds',
        'port',
        'priority',
        'timeout_seconds',
        'weighted_services',
    )

    def __init__(
        self,
        *,
        name: str,
        address: int,
        port: int,
        weighted_services: tuple[WeightedService, ...],
        objective_seconds: float = 0,
        priority: int = 0,
        timeout_seconds: float = 0,
    ) -> None:
        """Store the arguments."""
        self.name = name
        self.address = address
        self.port = port
        self.weighted_services = weighted_services
        # Latency objective of requests; 0 where none is set.
        self.objective_seconds = objective_seconds
        # 0 is the most urgent.
        self.priority = priority
        # Time for which clients wait for an answer; 0 where none is set.
        self.timeout_seconds = timeout_seconds


class ServiceLimits(Value):
    """Slow-start limits of a service's upstreams.

    `cold_per_second` is the rate of new requests that a cold upstream may get,
    0 where the operators set no limit.
    """

    __slots__ = ('cold_per_second', 'cold_seconds')

    def __init__(
        self,
        *,
        cold_seconds: float = 0,
        cold_per_second: float = 0,
    ) -> None:
        """Store the arguments."""
        self.cold_seconds = cold_seconds
        self.cold_per_second = cold_per_second


class Manifest(Value):
    """One complete version of the operators' configuration."""

    __slots__ = (
        'faults',
        'has_unread_routes',
        'idle_seconds',
        'routes',
        'services',
        'version',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceLimits],
        idle_seconds: float = 15,
        faults: tuple[str, ...] = (),
        has_unread_routes: bool = False,
    ) -> None:
        """Store the arguments."""
        # True if some rows name no route that can be used.
        self.has_unread_routes = has_unread_routes
        # Why some of its fields or rows are left out.
        self.faults = faults
        self.version = version
        self.routes = routes
        self.services = services
        self.idle_seconds = idle_seconds


class UpstreamState(enum.Enum):
    """State that an upstream reports."""

    READY = 'ready'
    DRAINING = 'draining'


class UpstreamRecord(Value):
    """Entry that an upstream registered in the store."""

    __slots__ = (
        'cold_seconds',
        'domain',
        'host',
        'name',
        'port',
        'service',
        'slots',
        'started_at',
        'state',
        'tag',
    )

    def __init__(
        self,
        *,
        name: str,
        tag: int,
        service: str,
        host: str,
        port: int,
        domain: str,
        slots: int,
        state: UpstreamState,
        cold_seconds: float = 0,
        started_at: int = 0,
    ) -> None:
        """Store the arguments."""
        self.name = name
        # Prefix of its datagrams, so that another process at the same address
        # does not accept them.
        self.tag = tag
        self.service = service
        self.host = host
        self.port = port
        self.domain = domain
        self.slots = slots
        self.state = state
        # Remaining warm-up time, from when the entry was received.
        self.cold_seconds = cold_seconds
        # Start time of the process, by the upstream's clock; 0 if unknown.
        self.started_at = started_at


class ManifestUpdate(Value):
    """A version of the manifest was written."""

    __slots__ = ('manifest',)

    def __init__(
        self,
        manifest: Manifest,
    ) -> None:
        """Store the arguments."""
        self.manifest = manifest


class DomainUpdate(Value):
    """Operators took a failure domain out of service, or put it back."""

    __slots__ = ('domain', 'out')

    def __init__(
        self,
        domain: str,
        out: bool,
    ) -> None:
        """Store the arguments."""
        self.domain = domain
        self.out = out


class UpstreamUpdate(Value):
    """An upstream registered or changed its entry."""

    __slots__ = ('record',)

    def __init__(
        self,
        record: UpstreamRecord,
    ) -> None:
        """Store the arguments."""
        self.record = record


class UpstreamRemoval(Value):
    """An upstream's entry was removed."""

    __slots__ = ('name',)

    def __init__(
        self,
        name: str,
    ) -> None:
        """Store the argument."""
        self.name = name


class UpstreamUnreadable(Value):
    """An upstream's entry was overwritten with one that names no upstream.

    `tag` is that of the upstream whose key it is, None if the key has none.
    """

    __slots__ = ('cause', 'name', 'tag')

    def __init__(
        self,
        name: str,
        cause: str,
        tag: int | None = None,
    ) -> None:
        """Store the arguments."""
        self.name = name
        self.cause = cause
        self.tag = tag


class ReaderUpdate(Value):
    """The node that reads the store for a failure domain changed."""

    __slots__ = ('entry',)

    def __init__(
        self,
        entry: ReaderEntry,
    ) -> None:
        """Store the arguments."""
        self.entry = entry


StoreUpdate = (
    ManifestUpdate
    | DomainUpdate
    | UpstreamUpdate
    | UpstreamRemoval
    | UpstreamUnreadable
    | ReaderUpdate
)
