"""Read what operators and upstreams write into the platform's store."""

from __future__ import annotations

import json
import math

from burdocksill.network.addresses import Address
from burdocksill.packets.header import parse_ipv4
from burdocksill.packets.messages import (
    DomainUpdate,
    Manifest,
    ManifestUpdate,
    ReaderUpdate,
    Route,
    ServiceLimits,
    StoreUpdate,
    UpstreamRecord,
    UpstreamRemoval,
    UpstreamState,
    UpstreamUpdate,
    WeightedService,
)
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.keys import READERS
from burdocksill.platform.values import StoredValue
from burdocksill.readers.messages import Reader, ReaderEntry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Final

# Operators and upstreams write below prefixes of their own; nobody else does,
# so that the empty one holds both, and one watch follows both.
ALL_KEYS: Final = ''
MANIFEST: Final = 'op/config'
DOMAINS_OUT: Final = 'op/evacuate/'
UPSTREAMS: Final = 'servers/'
MILLISECONDS: Final = 1000
LARGEST_TAG: Final = (1 << 64) - 1
LARGEST_PORT: Final = 65535
HEX: Final = 16
DEFAULT_IDLE_MILLISECONDS: Final = 15000


class RecordDecoder:
    """Decode what stands in the store; a route that stays is decoded once.

    A large manifest whose routes are all decoded anew at each change keeps
    packets waiting for longer than callers do.
    """

    __slots__ = ('routes',)

    def __init__(self) -> None:
        """Begin with nothing decoded."""
        # The routes of the latest manifest, by how their rows are written.
        self.routes: dict[str, Route] = {}

    def decode(self, stored: StoredValue) -> StoreUpdate | None:
        """Return the news of an item, None for a key that says nothing here."""
        if stored.key == MANIFEST:
            # The manifest is replaced, never removed; without one the last
            # holds.
            if stored.removed:
                return None
            return ManifestUpdate(self.read_manifest(stored.value))
        if stored.key.startswith(DOMAINS_OUT):
            domain = stored.key.removeprefix(DOMAINS_OUT)
            return DomainUpdate(domain, not stored.removed)
        if stored.key.startswith(UPSTREAMS):
            name = stored.key.removeprefix(UPSTREAMS)
            if stored.removed:
                return UpstreamRemoval(name)
            return read_listed(name, stored.value)
        if stored.key.startswith(READERS):
            domain = stored.key.removeprefix(READERS)
            return ReaderUpdate(read_reader(domain, stored))
        return None

    def read_manifest(self, value: bytes) -> Manifest:
        """Read the operators' configuration, whole or not at all."""
        found = read_object(value)
        services = take_rows(found, 'Services')
        limits = take(found, 'Limits', dict, {})
        idle = take(limits, 'IdleTimeoutMs', float, DEFAULT_IDLE_MILLISECONDS)
        # Their texts tell 1, 1.0 and True apart, which are equal as values.
        rows = {repr(row): row for row in take_rows(found, 'Routes')}
        routes = {
            text: self.routes.get(text) or read_route(row)
            for text, row in rows.items()
        }
        manifest = Manifest(
            version=take(found, 'Version', int, None),
            routes=tuple(routes.values()),
            services={
                take(one, 'Name', str, None): read_limits(one)
                for one in services
            },
            idle_seconds=idle / MILLISECONDS,
        )
        self.routes = routes
        return manifest


def read_reader(domain: str, stored: StoredValue) -> ReaderEntry:
    """Read who reads for a domain; one that can't be read names nobody."""
    if stored.removed:
        return ReaderEntry(domain=domain)
    try:
        found = read_object(stored.value)
        reader = Reader(
            name=take(found, 'name', str, None),
            address=Address(
                take(found, 'host', str, None),
                take(found, 'port', int, None),
            ),
        )
    except RecordInvalidError:
        # Nodes of this program write it; the next one overwrites rubbish.
        return ReaderEntry(domain=domain, revision=stored.revision)
    return ReaderEntry(domain=domain, reader=reader, revision=stored.revision)


def write_reader(reader: Reader) -> bytes:
    """Write the entry of a domain's reader."""
    return json.dumps(
        {
            'name': reader.name,
            'host': reader.address.host,
            'port': reader.address.port,
        },
    ).encode()


def read_listed(name: str, value: bytes) -> StoreUpdate:
    """Read an upstream's entry; one that can't be read names none."""
    try:
        return UpstreamUpdate(read_upstream(name, value))
    except RecordInvalidError as error:
        return UpstreamRemoval(name, cause=str(error))


def read_object(value: bytes) -> dict[str, Any]:
    """Read a JSON object."""
    try:
        found = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise RecordInvalidError(
            message=f'{len(value)} bytes are no JSON: {error}',
            hint='see which program writes this key',
        ) from error
    if not isinstance(found, dict):
        raise RecordInvalidError(
            message=f'found a {type(found).__name__} for an object',
            hint='see which program writes this key',
        )
    return found


def take(found: dict[str, Any], name: str, kind: type, fallback: Any) -> Any:
    """Return a field of a kind; a fallback of None means it is required."""
    field: Any = found.get(name, fallback)
    if kind is float and isinstance(field, int):
        field = as_float(field)
    wrong = not isinstance(field, kind) or isinstance(field, bool)
    if wrong or (kind is float and not math.isfinite(field)):
        raise RecordInvalidError(
            message=f'{name} is not a finite {kind.__name__}',
            hint='the entry is passed over until it is written again',
        )
    return field


def as_float(number: int) -> float:
    """Return a whole number as a float, infinite where none holds it."""
    try:
        return float(number)
    except OverflowError:
        return math.inf


def take_rows(found: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects, empty where there is none."""
    rows: list[Any] = take(found, name, list, [])
    if not all(isinstance(row, dict) for row in rows):
        raise RecordInvalidError(
            message=f'{name} holds something else than objects',
            hint='the entry is passed over until it is written again',
        )
    return rows


def read_route(found: dict[str, Any]) -> Route:
    """Read one route."""
    # `Hostname` is the address that clients send to, and `Prefix` the port,
    # between slashes.
    host = take(found, 'Hostname', str, None)
    port = take(found, 'Prefix', str, None).strip('/')
    name = take(found, 'Name', str, '')
    try:
        return Route(
            name=name,
            address=parse_ipv4(host),
            port=int(port),
            weighted_services=read_shares(found),
            # `SloMs` is the latency objective of the requests inside.
            objective_seconds=take(found, 'SloMs', float, 0) / MILLISECONDS,
            priority=take(found, 'Priority', int, 0),
        )
    except (ValueError, OverflowError) as error:
        raise RecordInvalidError(
            message=f'route {name} has address {host!r} and port {port!r}',
            hint='the manifest is passed over; write one that is whole',
        ) from error


def read_shares(found: dict[str, Any]) -> tuple[WeightedService, ...]:
    """Read the services of a route, by weight if there are several."""
    split = take_rows(found, 'TrafficSplit')
    if not split:
        return (WeightedService(service=take(found, 'Service', str, None)),)
    return tuple(
        WeightedService(
            service=take(one, 'Service', str, None),
            weight=take(one, 'Weight', float, 1),
        )
        for one in split
    )


def read_limits(found: dict[str, Any]) -> ServiceLimits:
    """Read what a service's cold upstreams can bear."""
    return ServiceLimits(
        cold_seconds=take(found, 'WarmupS', float, 0),
        cold_per_second=take(found, 'ColdPerS', float, 0),
    )


def read_upstream(name: str, value: bytes) -> UpstreamRecord:
    """Read an upstream's entry; anything odd means that it names none."""
    found = read_object(value)
    state = take(found, 'State', str, None)
    host, _, port = take(found, 'Address', str, None).rpartition(':')
    try:
        parse_ipv4(host)
        record = UpstreamRecord(
            name=name,
            tag=read_tag(name),
            service=take(found, 'Service', str, None),
            host=host,
            port=int(port),
            domain=take(found, 'Zone', str, None),
            slots=max(1, take(found, 'Slots', int, 1)),
            state=UpstreamState(state),
            # How much longer it stays slow, counted from this report.
            cold_seconds=take(found, 'WarmupMs', float, 0) / MILLISECONDS,
            started_at=take(found, 'born', int, 0),
        )
    except (ValueError, OverflowError) as error:
        raise RecordInvalidError(
            message=f'{name} has state {state!r} at {host}:{port}',
            hint='the entry is passed over until it is written again',
        ) from error
    if not 0 < record.port <= LARGEST_PORT:
        raise RecordInvalidError(
            message=f'{name} has port {port}',
            hint='the entry is passed over until it is written again',
        )
    return record


def read_tag(name: str) -> int:
    """Return the number that the hex digits of an upstream's name write."""
    tag = int(name.rpartition('-')[2], HEX)
    if not 0 < tag <= LARGEST_TAG:
        raise ValueError(name)
    return tag
