"""What a node knows of routes and upstreams, free of any platform's names."""

from __future__ import annotations

import enum

from burdocksill.readers.messages import ReaderEntry
from burdocksill.values import Value


class WeightedService(Value):
    """Give a service its weight among those that a route may choose."""

    __slots__ = ('service', 'weight')

    def __init__(
        self,
        *,
        service: str,
        weight: float = 1,
    ) -> None:
        """Take all fields."""
        self.service = service
        self.weight = weight


class Route(Value):
    """Send new flows of one address and port to services."""

    __slots__ = (
        'address',
        'name',
        'objective_seconds',
        'port',
        'priority',
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
    ) -> None:
        """Take all fields."""
        self.name = name
        self.address = address
        self.port = port
        self.weighted_services = weighted_services
        # Within which the caller wants its answer; 0 where none is set.
        self.objective_seconds = objective_seconds
        # 0 is the most urgent.
        self.priority = priority


class ServiceLimits(Value):
    """Say how many new requests a second a cold upstream can bear.

    `cold_per_second` is 0 where the operators set no bound.
    """

    __slots__ = ('cold_per_second', 'cold_seconds')

    def __init__(
        self,
        *,
        cold_seconds: float = 0,
        cold_per_second: float = 0,
    ) -> None:
        """Take all fields."""
        self.cold_seconds = cold_seconds
        self.cold_per_second = cold_per_second


class Manifest(Value):
    """Hold one version of the configuration, whole."""

    __slots__ = ('idle_seconds', 'routes', 'services', 'version')

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceLimits],
        idle_seconds: float = 15,
    ) -> None:
        """Take all fields."""
        self.version = version
        self.routes = routes
        self.services = services
        self.idle_seconds = idle_seconds


class UpstreamState(enum.Enum):
    """Name what an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class UpstreamRecord(Value):
    """Hold what an upstream registered of itself."""

    __slots__ = (
        'started_at',
        'cold_seconds',
        'domain',
        'host',
        'name',
        'port',
        'service',
        'slots',
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
        """Take all fields."""
        self.name = name
        # What its datagrams are marked with, so that another process behind the
        # same address does not take them.
        self.tag = tag
        self.service = service
        self.host = host
        self.port = port
        self.domain = domain
        self.slots = slots
        self.state = state
        # How long it stays slow, from the moment of the report.
        self.cold_seconds = cold_seconds
        self.started_at = started_at


class ManifestUpdate(Value):
    """Tell of a version of the manifest."""

    __slots__ = ('manifest',)

    def __init__(
        self,
        manifest: Manifest,
    ) -> None:
        """Take all fields."""
        self.manifest = manifest


class DomainUpdate(Value):
    """Tell that operators took a failure domain out, or back in."""

    __slots__ = ('domain', 'out')

    def __init__(
        self,
        domain: str,
        out: bool,
    ) -> None:
        """Take all fields."""
        self.domain = domain
        self.out = out


class UpstreamUpdate(Value):
    """Tell what an upstream registered."""

    __slots__ = ('record',)

    def __init__(
        self,
        record: UpstreamRecord,
    ) -> None:
        """Take all fields."""
        self.record = record


class UpstreamRemoval(Value):
    """Tell that an upstream's entry is not there any more, or unreadable."""

    __slots__ = ('cause', 'name')

    def __init__(
        self,
        name: str,
        cause: str = 'removed',
    ) -> None:
        """Take all fields."""
        self.name = name
        self.cause = cause


class ReaderUpdate(Value):
    """Tell which node reads the store for a failure domain."""

    __slots__ = ('entry',)

    def __init__(
        self,
        entry: ReaderEntry,
    ) -> None:
        """Take all fields."""
        self.entry = entry


StoreUpdate = (
    ManifestUpdate
    | DomainUpdate
    | UpstreamUpdate
    | UpstreamRemoval
    | ReaderUpdate
)
