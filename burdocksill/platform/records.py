"""Decode the entries that operators and upstreams write into the store."""

from __future__ import annotations

import json

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
    get_field,
    get_number,
    get_objects,
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
# No address has more ports for flows in progress at the same time.
MAX_SLOTS: Final = 65535
MAX_PRIORITY: Final = 255
MAX_WEIGHT: Final = 1e9
MAX_RATE_PER_SECOND: Final = 1e9
MAX_MILLISECONDS: Final = 24 * 3600 * 1000
MAX_SECONDS: Final = 24 * 3600
# Integers of messages and metrics have 64 bits with a sign.
MAX_INTEGER: Final = (1 << 63) - 1
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
        """Decode the operators' configuration; raise if any part is invalid."""
        found = read_object(value)
        services = get_objects(found, 'Services')
        limits = get_field(found, 'Limits', dict, {})
        idle = get_number(
            limits,
            'IdleTimeoutMs',
            MAX_MILLISECONDS,
            default=DEFAULT_IDLE_MILLISECONDS,
        )
        # The repr tells 1, 1.0 and True apart, which compare equal.
        rows = {repr(row): row for row in get_objects(found, 'Routes')}
        routes = {
            text: self.routes.get(text) or read_route(row)
            for text, row in rows.items()
        }
        manifest = Manifest(
            version=get_whole(found, 'Version', MAX_INTEGER),
            routes=tuple(routes.values()),
            services={
                get_field(one, 'Name', str, None): read_limits(one)
                for one in services
            },
            idle_seconds=idle / MILLISECONDS,
        )
        self.routes = routes
        return manifest


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


def read_route(found: dict[str, Any]) -> Route:
    """Decode one route."""
    # `Hostname` is the address that clients send to, `Prefix` is the port
    # between slashes.
    host = get_field(found, 'Hostname', str, None)
    port = get_field(found, 'Prefix', str, None).strip('/')
    name = get_field(found, 'Name', str, '')
    try:
        return Route(
            name=name,
            address=parse_ipv4(read_host(host)),
            port=read_port(port),
            weighted_services=read_weighted_services(found),
            # `SloMs` is the latency objective of requests in the flow.
            objective_seconds=get_number(found, 'SloMs', MAX_MILLISECONDS)
            / MILLISECONDS,
            priority=get_whole(found, 'Priority', MAX_PRIORITY, default=0),
            timeout_seconds=get_number(found, 'TimeoutMs', MAX_MILLISECONDS)
            / MILLISECONDS,
        )
    except ValueError as error:
        raise RecordInvalidError(
            message=f'route {name} has address {host!r} and port {port!r}',
            hint='the manifest is ignored; write one that is valid',
        ) from error


def read_weighted_services(
    found: dict[str, Any],
) -> tuple[WeightedService, ...]:
    """Decode the services of a route, with weights if it has a split."""
    split = get_objects(found, 'TrafficSplit')
    if not split:
        return (
            WeightedService(service=get_field(found, 'Service', str, None)),
        )
    return tuple(
        WeightedService(
            service=get_field(one, 'Service', str, None),
            weight=get_number(one, 'Weight', MAX_WEIGHT, default=1),
        )
        for one in split
    )


def read_limits(found: dict[str, Any]) -> ServiceLimits:
    """Decode the slow-start limits of a service."""
    return ServiceLimits(
        cold_seconds=get_number(found, 'WarmupS', MAX_SECONDS),
        cold_per_second=get_number(found, 'ColdPerS', MAX_RATE_PER_SECOND),
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
            domain=get_field(found, 'Zone', str, None),
            slots=get_whole(found, 'Slots', MAX_SLOTS, least=1),
            state=UpstreamState(state),
            # Remaining warm-up time, from when the entry is received.
            cold_seconds=get_number(
                found, 'WarmupMs', MAX_MILLISECONDS, default=None
            )
            / MILLISECONDS,
            started_at=get_whole(found, 'born', MAX_INTEGER, default=0),
        )
    except ValueError as error:
        raise RecordInvalidError(
            message=f'{name} has state {state!r} at {host}:{port}',
            hint='the entry is ignored until it is written again',
        ) from error


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
