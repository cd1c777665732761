"""What a node knows of routes and upstreams, free of any platform's names."""

import enum

import attrs

from burdocksill.readers.messages import ReaderEntry


@attrs.frozen(kw_only=True)
class Share:
    """Give a service its weight among those that a route may choose."""

    service: str
    weight: float = 1


@attrs.frozen(kw_only=True)
class Route:
    """Send new flows of one address and port to services."""

    name: str
    address: int
    port: int
    shares: tuple[Share, ...]


@attrs.frozen(kw_only=True)
class ServiceLimits:
    """Say how many new requests a second a cold upstream can bear.

    `cold_per_second` is 0 where the operators set no bound.
    """

    cold_seconds: float = 0
    cold_per_second: float = 0


@attrs.frozen(kw_only=True)
class Manifest:
    """Hold one version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceLimits]
    idle_seconds: float = 15


class UpstreamState(enum.Enum):
    """Name what an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen(kw_only=True)
class UpstreamRecord:
    """Hold what an upstream registered of itself."""

    name: str
    # What its datagrams are marked with, so that another process behind the
    # same address does not take them.
    tag: int
    service: str
    host: str
    port: int
    domain: str
    slots: int
    state: UpstreamState
    # How long it stays slow, from the moment of the report.
    cold_seconds: float = 0
    born: int = 0


@attrs.frozen
class ManifestNews:
    """Tell of a version of the manifest."""

    manifest: Manifest


@attrs.frozen
class DomainNews:
    """Tell that operators took a failure domain out, or back in."""

    domain: str
    out: bool


@attrs.frozen
class UpstreamNews:
    """Tell what an upstream registered."""

    record: UpstreamRecord


@attrs.frozen
class UpstreamLost:
    """Tell that an upstream's entry is not there any more, or unreadable."""

    name: str
    cause: str = 'removed'


@attrs.frozen
class ReaderNews:
    """Tell which node reads the store for a failure domain."""

    entry: ReaderEntry


News = ManifestNews | DomainNews | UpstreamNews | UpstreamLost | ReaderNews
