"""Models of services' documents and of failure domain states."""

import enum
import ipaddress
from typing import Final

import attrs
import msgspec

from burdocksill.decoding import decode_json
from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.flows.cookie import name_tag
from burdocksill.network.protocols import Address

DEFAULT_DEADLINE_SECONDS: Final = 10.0
MAX_DEADLINE_SECONDS: Final = 3600
DEFAULT_COLD_LIMIT: Final = 1
MAX_NAME_LENGTH: Final = 63
MAX_PORT: Final = 65535
# Integers of other programs that read documents have 32 bits with a sign.
MAX_COUNT: Final = (1 << 31) - 1


@attrs.frozen(kw_only=True)
class Upstream:
    """Describe one upstream of a service."""

    name: str
    domain: str
    host: str
    port: int
    slots: int
    connections: int
    cold_limit: int = DEFAULT_COLD_LIMIT
    draining: bool = False

    @property
    def address(self) -> Address:
        """Return the address to connect to."""
        return Address(self.host, self.port)


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """Describe where a service runs and how its upstreams may be used."""

    service: str
    team: str
    upstreams: tuple[Upstream, ...]
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    # Written on acceptance: this edit and the last ones before it.
    edit_id: str = ''
    edits: tuple[str, ...] = ()
    # The record of a deleted document is kept, so that no older revision can
    # replace it.
    deleted: bool = False

    def upstream(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        for candidate in self.upstreams:
            if candidate.name == name:
                return candidate
        return None

    def upstream_by_tag(self, tag: bytes) -> Upstream | None:
        """Return an upstream by the tag that cookies carry."""
        for candidate in self.upstreams:
            if name_tag(candidate.name) == tag:
                return candidate
        return None

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains in which the service runs."""
        return frozenset(upstream.domain for upstream in self.upstreams)


class DomainState(enum.StrEnum):
    """State of a failure domain that operators set."""

    IN_SERVICE = 'in-service'
    OUT = 'out'


@attrs.frozen(kw_only=True)
class DomainRecord:
    """Hold an operator's state of one failure domain."""

    domain: str
    state: DomainState
    edit_id: str = ''
    edits: tuple[str, ...] = ()
    reason: str = ''


@attrs.frozen(kw_only=True)
class VersionedRecord:
    """Hold a stored record with the platform revision that accepted it."""

    key: str
    revision: int
    value: bytes


def decode_document(encoded: bytes) -> ServiceDocument:
    """Decode a stored document; raise DocumentInvalidError."""
    try:
        return decode_json(encoded, ServiceDocument)
    except msgspec.MsgspecError as error:
        raise DocumentInvalidError(
            message=f'the document cannot be read: {error}',
            hint='compare it with docs/reference/document.md',
        ) from error


def encode_document(document: ServiceDocument) -> bytes:
    """Encode a document for the store."""
    return msgspec.json.encode(document)


def validate(document: ServiceDocument) -> None:
    """Raise DocumentInvalidError with path, wrong value and hint."""
    require_name('service', document.service)
    if not 0 < document.deadline_seconds <= MAX_DEADLINE_SECONDS:
        raise DocumentInvalidError(
            message=f'deadline_seconds is {document.deadline_seconds}',
            hint=(
                'give a number of seconds above 0 and at most '
                f'{MAX_DEADLINE_SECONDS}'
            ),
        )
    if not document.upstreams:
        raise DocumentInvalidError(
            message='upstreams is empty',
            hint='name at least one upstream',
        )
    seen: set[str] = set()
    for index, upstream in enumerate(document.upstreams):
        path = f'upstreams[{index}]'
        validate_upstream(path, upstream)
        if upstream.name in seen:
            raise DocumentInvalidError(
                message=f'{path}.name repeats {upstream.name!r}',
                hint='give each upstream its own name',
            )
        seen.add(upstream.name)


def validate_upstream(path: str, upstream: Upstream) -> None:
    """Raise DocumentInvalidError if an upstream is invalid."""
    require_name(f'{path}.name', upstream.name)
    require_name(f'{path}.domain', upstream.domain)
    require_address(f'{path}.host', upstream.host)
    require_range(f'{path}.port', upstream.port, MAX_PORT)
    for field in ('slots', 'connections', 'cold_limit'):
        require_range(f'{path}.{field}', getattr(upstream, field), MAX_COUNT)


def require_name(path: str, name: str) -> None:
    """Reject a name that is empty, too long or contains a slash."""
    if name and len(name) <= MAX_NAME_LENGTH and '/' not in name:
        return
    raise DocumentInvalidError(
        message=f'{path} is {name!r}',
        hint=f'give 1 to {MAX_NAME_LENGTH} characters without a slash',
    )


def require_address(path: str, host: str) -> None:
    """Reject anything but an IP address: VMs don't resolve names."""
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise DocumentInvalidError(
            message=f'{path} is {host!r}',
            hint='give an IP number, as in 10.0.0.7',
        ) from error


def require_range(path: str, number: int, largest: int) -> None:
    """Reject a number below 1 or above the largest."""
    if 1 <= number <= largest:
        return
    raise DocumentInvalidError(
        message=f'{path} is {number}',
        hint=f'give a whole number of at least 1 and at most {largest}',
    )
