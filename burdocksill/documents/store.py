"""Documents and failure domain states in force on this VM."""

import logging
from collections.abc import Callable
from typing import Final, Protocol

import attrs
import msgspec

from burdocksill.decoding import decode_json
from burdocksill.documents.departures import DeparturesRecord
from burdocksill.documents.models import (
    DomainRecord,
    DomainState,
    ServiceDocument,
    VersionedRecord,
    decode_document,
    validate,
)
from burdocksill.exceptions import BurdocksillError
from burdocksill.platform import keys
from burdocksill.platform.exceptions import RecordInvalidError

# Errors name the wrong value, which may have any length.
MAX_CAUSE_LENGTH: Final = 300

logger = logging.getLogger(__name__)


class RevisionRule(Protocol):
    """Decide whether a record replaces the one in force."""

    def replaces(
        self, known: VersionedRecord | None, offered: VersionedRecord
    ) -> bool:
        """Return True when the offered record goes into force."""


@attrs.define(kw_only=True)
class HighestRevisionRule:
    """Let only a higher platform revision replace a record.

    A stale peer, a late answer of the store or a healed partition may offer an
    older record. Its revision is lower, so that no record ever reverts.
    """

    def replaces(
        self, known: VersionedRecord | None, offered: VersionedRecord
    ) -> bool:
        """Return True when the offered revision is higher."""
        return known is None or offered.revision > known.revision


@attrs.define(kw_only=True)
class LastWriterWinsRule:
    """Let the last record win, as a baseline of control runs."""

    def replaces(
        self, known: VersionedRecord | None, offered: VersionedRecord
    ) -> bool:
        """Return True for any other record than the current one."""
        return known != offered


class DomainRule(Protocol):
    """Decide whether a failure domain is out of service."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return True if no packet may be sent to the domain."""


@attrs.define(kw_only=True)
class OperatorDomainRule:
    """Follow the operators' state; serve a domain without one."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return True when operators took the domain out."""
        return record is not None and record.state is DomainState.OUT


@attrs.define(kw_only=True)
class IgnoreStatesDomainRule:
    """Ignore all states, as a baseline of control runs."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return False always."""
        return False


@attrs.define(kw_only=True)
class DocumentStore:
    """Hold the records in force and notify listeners of each change."""

    rule: RevisionRule = attrs.field(factory=HighestRevisionRule)
    domain_rule: DomainRule = attrs.field(factory=OperatorDomainRule)
    records: dict[str, VersionedRecord] = attrs.field(factory=dict)
    services: dict[str, ServiceDocument] = attrs.field(factory=dict)
    domains: dict[str, DomainRecord] = attrs.field(factory=dict)
    # Hosts of upstream VMs that the platform lists as leaving.
    leaving_hosts: frozenset[str] = frozenset()
    # Revision of each key that was applied to the views above.
    applied_revisions: dict[str, int] = attrs.field(factory=dict)
    unreadable: set[str] = attrs.field(factory=set)
    listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def offer(self, offered: VersionedRecord) -> bool:
        """Put a record into force if the rule lets it replace the current one.

        A record that this version cannot decode is stored and forwarded to VMs
        that can. Locally, the previous one stays in force.
        """
        if not self.rule.replaces(self.records.get(offered.key), offered):
            return False
        self.records[offered.key] = offered
        try:
            self.apply(offered)
        except (BurdocksillError, msgspec.MsgspecError) as error:
            self.unreadable.add(offered.key)
            logger.warning(
                'record unreadable',
                extra={
                    'key': offered.key,
                    'cause': str(error)[:MAX_CAUSE_LENGTH],
                },
            )
        else:
            self.unreadable.discard(offered.key)
            self.applied_revisions[offered.key] = offered.revision
        for listener in self.listeners:
            listener()
        return True

    def apply(self, offered: VersionedRecord) -> None:
        """Decode a record into the views that other packages read."""
        if offered.key.startswith(keys.DOCUMENTS):
            document = decode_document(offered.value)
            require_key(offered.key, keys.document_key(document.service))
            validate(document)
            if document.deleted:
                self.services.pop(document.service, None)
            else:
                self.services[document.service] = document
        elif offered.key.startswith(keys.DOMAINS):
            record = decode_json(offered.value, DomainRecord)
            require_key(offered.key, keys.domain_key(record.domain))
            self.domains[record.domain] = record
        elif offered.key == keys.DEPARTURES:
            departures = decode_json(offered.value, DeparturesRecord)
            self.leaving_hosts = frozenset(departures.hosts)

    def is_out(self, domain: str) -> bool:
        """Return True when operators took the failure domain out."""
        return self.domain_rule.is_out(self.domains.get(domain))


def require_key(key: str, own_key: str) -> None:
    """Raise RecordInvalidError for a record that lies under another's key."""
    if key != own_key:
        raise RecordInvalidError(
            message=f'{key} holds the record of {own_key}',
            hint='write it under its own key',
        )
