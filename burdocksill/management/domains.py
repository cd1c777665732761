"""Failure domains that documents and operators name."""

import attrs
import msgspec

from burdocksill.decoding import decode_json
from burdocksill.documents.exceptions import DocumentInvalidError
from burdocksill.documents.models import (
    DomainRecord,
    DomainState,
    decode_document,
)
from burdocksill.platform import keys
from burdocksill.platform.protocols import Platform
from burdocksill.platform.values import StoredValue


@attrs.frozen(kw_only=True)
class DomainLine:
    """Hold one failure domain; revision 0 means that it has no record."""

    domain: str
    state: DomainState
    reason: str = ''
    revision: int = 0


async def list_domains(platform: Platform) -> tuple[DomainLine, ...]:
    """Return every failure domain that a document or an operator names."""
    snapshot = await platform.read_prefix(keys.PREFIX)
    lines: dict[str, DomainLine] = {}
    for stored in snapshot.values:
        if stored.key.startswith(keys.DOCUMENTS):
            lines = domains_in(stored) | lines
        elif stored.key.startswith(keys.DOMAINS):
            line = decode_line(stored)
            lines[line.domain] = line
    return tuple(sorted(lines.values(), key=lambda line: line.domain))


def domains_in(stored: StoredValue) -> dict[str, DomainLine]:
    """Return the failure domains of a document, all as in service."""
    return {
        name: DomainLine(domain=name, state=DomainState.IN_SERVICE)
        for name in decode_document(stored.value).domains
    }


def decode_line(stored: StoredValue) -> DomainLine:
    """Decode a record of a failure domain."""
    try:
        record = decode_json(stored.value, DomainRecord)
    except msgspec.MsgspecError as error:
        raise DocumentInvalidError(
            message=f'{stored.key} cannot be decoded: {error}',
            hint='write it again with: burdocksill domain out | return',
        ) from error
    return DomainLine(
        domain=record.domain,
        state=record.state,
        reason=record.reason,
        revision=stored.revision,
    )
