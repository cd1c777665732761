"""Decode the entries that operators and upstreams write into the store."""

from __future__ import annotations

import json
import sys
from functools import partial

from burdocksill.network.addresses import Address
from burdocksill.packets.header import format_ipv4, parse_ipv4
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
    UpstreamUnreadable,
    UpstreamUpdate,
    WeightedService,
)
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.fields import (
    SHOWN_LETTERS,
    Faults,
    get_capped,
    get_field,
    get_number,
    get_rows,
    get_whole,
    read_object,
)
from burdocksill.platform.keys import READERS
from burdocksill.platform.values import StoredValue
from burdocksill.readers.messages import Reader, ReaderEntry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any, Final

# Operators and upstreams write below two prefixes and nobody else writes to the
# store, so one watch of the empty prefix covers both.
ALL_KEYS: Final = ''
MANIFEST: Final = 'op/config'
DOMAINS_OUT: Final = 'op/evacuate/'
UPSTREAMS: Final = 'servers/'
MILLISECONDS: Final = 1000
MAX_TAG: Final = (1 << 64) - 1
LARGEST_PORT: Final = 65535
HEX: Final = 16
# Larger numbers than these act like them: no address has more ports for flows
# in progress at the same time, and no flow or node lives longer.
MAX_SLOTS: Final = 65535
MAX_WEIGHT: Final = 1e9
MAX_RATE_PER_SECOND: Final = 1e9
MAX_SECONDS: Final = 1e9
MAX_MILLISECONDS: Final = MAX_SECONDS * MILLISECONDS
# Integers of messages and metrics have 64 bits with a sign.
MAX_INTEGER: Final = (1 << 63) - 1
# Zones are parts of keys, which have at most this many bytes.
MAX_KEY_BYTES: Final = 200
DEFAULT_IDLE_MILLISECONDS: Final = 15000


class RecordDecoder:
    """Decode stored entries; routes that did not change are reused.

    Decoding all routes of a large manifest at each change would delay packets
    for longer than clients wait.
    """

    __slots__ = ('routes',)

    def __init__(self) -> None:
        """Start without cached routes."""
        # The routes of the latest manifest, by the repr of their rows.
        self.routes: dict[str, Route] = {}

    def decode(self, stored: StoredValue) -> StoreUpdate | None:
        """Return the update of a stored value, None for an unused key."""
        if stored.key == MANIFEST:
            # Operators replace the manifest and never remove it; if it is
            # missing, the last one stays in force.
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
            return decode_upstream_update(name, stored.value)
        if stored.key.startswith(READERS):
            domain = stored.key.removeprefix(READERS)
            return ReaderUpdate(read_reader(domain, stored))
        return None

    def read_manifest(self, value: bytes) -> Manifest:
        """Decode the operators' configuration.

        A field or row that can't be used is left out and becomes a fault of the
        manifest; the rest is in force. Raise RecordInvalidError if the version
        or the lists can't be read.
        """
        found = read_object(value)
        faults = Faults()
        sound: dict[str, Route] = {}
        rows = get_rows(found, 'Routes', faults)
        routes = [self.read_row(row, sound, faults) for row in rows]
        no_limits: dict[str, Any] = {}
        limits = faults.attempt(
            lambda: get_field(found, 'Limits', dict, no_limits), no_limits
        )
        manifest = Manifest(
            version=get_whole(found, 'Version', MAX_INTEGER),
            routes=tuple(one for one in routes if one is not None),
            has_unread_routes=(
                None in routes or len(rows) < len(found.get('Routes', ()))
            ),
            services=read_services(found, faults),
            idle_seconds=read_milliseconds(
                limits, 'IdleTimeoutMs', faults, DEFAULT_IDLE_MILLISECONDS
            ),
            faults=tuple(faults.causes),
        )
        self.routes = sound
        return manifest

    def read_row(
        self, row: dict[str, Any], sound: dict[str, Route], faults: Faults
    ) -> Route | None:
        """Return the route of a row, None if it can't be used.

        Routes without faults are added to `sound`, by the repr of their rows.
        """
        try:
            # The repr tells 1, 1.0 and True apart, which compare equal.
            text = repr(row)
        except RecursionError:
            faults.causes.append('a route is nested too deeply')
            return None
        before = len(faults.causes)
        route = self.routes.get(text) or faults.find(
            lambda: read_route(row, faults)
        )
        if route is not None and len(faults.causes) == before:
            sound[text] = route
        return route


def read_reader(domain: str, stored: StoredValue) -> ReaderEntry:
    """Decode the entry of a domain's reader; an invalid one names no reader."""
    if stored.removed:
        return ReaderEntry(domain=domain)
    try:
        found = read_object(stored.value)
        reader = Reader(
            name=get_field(found, 'name', str, None),
            address=Address(
                read_host(get_field(found, 'host', str, None)),
                get_whole(found, 'port', LARGEST_PORT, least=1),
            ),
        )
    except (RecordInvalidError, ValueError):
        # Only nodes write this key; the next reader overwrites it.
        return ReaderEntry(domain=domain, revision=stored.revision)
    return ReaderEntry(domain=domain, reader=reader, revision=stored.revision)


def write_reader(reader: Reader) -> bytes:
    """Encode the entry of a domain's reader."""
    return json.dumps(
        {
            'name': reader.name,
            'host': reader.address.host,
            'port': reader.address.port,
        },
    ).encode()


def decode_upstream_update(name: str, value: bytes) -> StoreUpdate:
    """Decode an upstream's entry; an invalid one names no upstream."""
    try:
        return UpstreamUpdate(read_upstream(name, value))
    except RecordInvalidError as error:
        return UpstreamUnreadable(name, cause=str(error), tag=find_tag(name))


def read_route(found: dict[str, Any], faults: Faults) -> Route:
    """Decode one route; raise RecordInvalidError if it can't send flows."""
    # `Hostname` is the address that clients send to, `Prefix` is the port
    # between slashes.
    host = get_field(found, 'Hostname', str, None)
    port = get_field(found, 'Prefix', str, None).strip('/')
    name = faults.attempt(lambda: get_field(found, 'Name', str, ''), '')
    try:
        return Route(
            name=name,
            address=parse_ipv4(read_host(host)),
            port=read_port(port),
            weighted_services=read_weighted_services(found, faults),
            # `SloMs` is the latency objective of requests in the flow.
            objective_seconds=read_milliseconds(found, 'SloMs', faults),
            priority=faults.attempt(
                lambda: get_capped(found, 'Priority', MAX_INTEGER, default=0),
                0,
            ),
            timeout_seconds=read_milliseconds(found, 'TimeoutMs', faults),
        )
    except ValueError as error:
        raise RecordInvalidError(
            message=(
                f'route {name[:SHOWN_LETTERS]} has address '
                f'{host[:SHOWN_LETTERS]!r} and port {port[:SHOWN_LETTERS]!r}'
            ),
            hint='the route is left out; write one that is valid',
        ) from error


def read_milliseconds(
    found: dict[str, Any], name: str, faults: Faults, default: float = 0
) -> float:
    """Return a time in seconds, the default if the field can't be used."""
    return (
        faults.attempt(
            lambda: get_capped(found, name, MAX_MILLISECONDS, default=default),
            default,
        )
        / MILLISECONDS
    )


def read_weighted_services(
    found: dict[str, Any], faults: Faults
) -> tuple[WeightedService, ...]:
    """Decode the services of a route, with weights if it has a split.

    A service whose weight can't be used gets no flows.
    """
    split = get_rows(found, 'TrafficSplit', faults)
    if not split:
        return (
            WeightedService(service=get_field(found, 'Service', str, None)),
        )
    services = (
        faults.find(partial(read_weighted_service, one)) for one in split
    )
    usable = tuple(one for one in services if one is not None)
    if not usable:
        raise RecordInvalidError(
            message='no service of a split can be used',
            hint='the route is left out; write one that is valid',
        )
    heaviest = max(one.weight for one in usable)
    if heaviest <= MAX_WEIGHT:
        return usable
    scale = MAX_WEIGHT / heaviest
    return tuple(one.evolve(weight=one.weight * scale) for one in usable)


def read_weighted_service(found: dict[str, Any]) -> WeightedService:
    """Decode a service of a split."""
    return WeightedService(
        service=get_field(found, 'Service', str, None),
        weight=get_capped(found, 'Weight', sys.float_info.max, default=1.0),
    )


def read_services(
    found: dict[str, Any], faults: Faults
) -> dict[str, ServiceLimits]:
    """Decode the limits of the services, by name."""
    services: dict[str, ServiceLimits] = {}
    for row in get_rows(found, 'Services', faults):
        named = faults.find(partial(read_service, row, faults))
        if named is not None:
            services[named[0]] = named[1]
    return services


def read_service(
    found: dict[str, Any], faults: Faults
) -> tuple[str, ServiceLimits]:
    """Decode the name and the slow-start limits of a service."""
    return (
        get_field(found, 'Name', str, None),
        ServiceLimits(
            cold_seconds=read_limit(found, 'WarmupS', MAX_SECONDS, faults),
            cold_per_second=read_limit(
                found, 'ColdPerS', MAX_RATE_PER_SECOND, faults
            ),
        ),
    )


def read_limit(
    found: dict[str, Any], name: str, most: float, faults: Faults
) -> float:
    """Return a limit, 0 (none) if the field can't be used."""
    none: float = 0
    return faults.attempt(
        lambda: get_capped(found, name, most, default=none), none
    )


def read_upstream(name: str, value: bytes) -> UpstreamRecord:
    """Decode an upstream's entry; raise RecordInvalidError if invalid.

    An entry that lacks a field comes from another writer and names no upstream,
    so that no field has a default. Only `born` may be missing.
    """
    found = read_object(value)
    # Nothing reads these two.
    get_field(found, 'Version', str, None)
    get_whole(found, 'Seq', MAX_INTEGER)
    state = get_field(found, 'State', str, None)
    host, _, port = get_field(found, 'Address', str, None).rpartition(':')
    try:
        return UpstreamRecord(
            name=name,
            tag=read_tag(name),
            service=get_field(found, 'Service', str, None),
            host=read_host(host),
            port=read_port(port),
            domain=read_domain(found),
            slots=min(
                get_whole(found, 'Slots', MAX_INTEGER, least=1), MAX_SLOTS
            ),
            state=UpstreamState(state),
            # Remaining warm-up time, from when the entry is received.
            cold_seconds=min(
                get_number(found, 'WarmupMs', MAX_INTEGER, default=None),
                MAX_MILLISECONDS,
            )
            / MILLISECONDS,
            started_at=get_whole(found, 'born', MAX_INTEGER, default=0),
        )
    except ValueError as error:
        raise RecordInvalidError(
            message=(
                f'{name} has state {state[:SHOWN_LETTERS]!r} at '
                f'{host[:SHOWN_LETTERS]}:{port[:SHOWN_LETTERS]}'
            ),
            hint='the entry is ignored until it is written again',
        ) from error


def read_domain(found: dict[str, Any]) -> str:
    """Return the domain of an upstream; raise ValueError if it is too long."""
    domain: str = get_field(found, 'Zone', str, None)
    if len(domain.encode()) > MAX_KEY_BYTES:
        raise ValueError(domain)
    return domain


def read_tag(name: str) -> int:
    """Return the number after the last hyphen of a name, in hex."""
    digits = name.rpartition('-')[2]
    tag = int(digits, HEX)
    # int() takes signs, spaces and underscores, too.
    is_plain = f'{tag:x}' == digits.lower().lstrip('0')
    if not is_plain or tag > MAX_TAG:
        raise ValueError(name)
    return tag


def find_tag(name: str) -> int | None:
    """Return the tag of an upstream's name, None if it has none."""
    try:
        return read_tag(name)
    except ValueError:
        return None


def read_host(text: str) -> str:
    """Return an IPv4 address; raise ValueError for any other text.

    A text that isn't an address would be looked up as a name, and other forms
    of an address may mean another one.
    """
    if format_ipv4(parse_ipv4(text)) != text:
        raise ValueError(text)
    return text


def read_port(text: str) -> int:
    """Return a port; raise ValueError for any other text."""
    port = int(text)
    if not 0 < port <= LARGEST_PORT or str(port) != text:
        raise ValueError(text)
    return port
