"""What is in force on this VM: documents and states of failure domains."""

import logging
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec

from burdocksill.documents.departures import DeparturesRecord
from burdocksill.documents.models import (
    DomainRecord,
    DomainState,
    ServiceDocument,
    Versioned,
    decode_document,
)
from burdocksill.exceptions import BurdocksillError
from burdocksill.platform import keys

logger = logging.getLogger(__name__)


class RevisionRule(Protocol):
    """Decide whether a record replaces the one in force."""

    def replaces(self, known: Versioned | None, offered: Versioned) -> bool:
        """Return True when the offered record goes into force."""


@attrs.define(kw_only=True)
class HighestRevisionRule:
    """Let only a higher platform revision replace a record.

    A stale peer, a late answer of the store or a healed partition may offer
    an older record; its revision is lower, so what is in force never reverts.
    """

    def replaces(self, known: Versioned | None, offered: Versioned) -> bool:
        """Return True when the offered revision is higher."""
        return known is None or offered.revision > known.revision


@attrs.define(kw_only=True)
class LastWriterWinsRule:
    """Let whatever comes last win: the naive baseline of the control runs."""

    def replaces(self, known: Versioned | None, offered: Versioned) -> bool:
        """Return True for anything else than what is in force."""
        return known != offered


class DomainRule(Protocol):
    """Decide what an operator's word on a failure domain means."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return True when no packet may reach the domain."""


@attrs.define(kw_only=True)
class OperatorDomainRule:
    """Follow the operators' last word, and serve where there is none."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return True when operators took the domain out."""
        return record is not None and record.state is DomainState.OUT


@attrs.define(kw_only=True)
class IgnoreStatesDomainRule:
    """Pass over every word: the naive baseline of the control runs."""

    def is_out(self, record: DomainRecord | None) -> bool:
        """Return False always."""
        return False


@attrs.define(kw_only=True)
class DocumentStore:
    """Hold the records in force and tell listeners of each change."""

    rule: RevisionRule = attrs.field(factory=HighestRevisionRule)
    domain_rule: DomainRule = attrs.field(factory=OperatorDomainRule)
    records: dict[str, Versioned] = attrs.field(factory=dict)
    services: dict[str, ServiceDocument] = attrs.field(factory=dict)
    domains: dict[str, DomainRecord] = attrs.field(factory=dict)
    # Hosts of upstream VMs that the platform lists as leaving.
    leaving_hosts: frozenset[str] = frozenset()
    # The revision of each key that the views above show.
    applied_revisions: dict[str, int] = attrs.field(factory=dict)
    unreadable: set[str] = attrs.field(factory=set)
    listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def offer(self, offered: Versioned) -> bool:
        """Put a record into force if the rule lets it replace ours.

        A record that this version cannot read is kept and passed on to those
        that can, while what was in force before it stays so here.
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
                extra={'key': offered.key, 'cause': str(error)},
            )
        else:
            self.unreadable.discard(offered.key)
            self.applied_revisions[offered.key] = offered.revision
        for listener in self.listeners:
            listener()
        return True

    def apply(self, offered: Versioned) -> None:
        """Decode a record into the view that the other slices read."""
        if offered.key.startswith(keys.DOCUMENTS):
            document = decode_document(offered.value)
            if document.deleted:
                self.services.pop(document.service, None)
            else:
                self.services[document.service] = document
        elif offered.key.startswith(keys.DOMAINS):
            record = msgspec.json.decode(offered.value, type=DomainRecord)
            self.domains[record.domain] = record
        elif offered.key == keys.DEPARTURES:
            departures = msgspec.json.decode(
                offered.value,
                type=DeparturesRecord,
            )
            self.leaving_hosts = frozenset(departures.hosts)

    def is_out(self, domain: str) -> bool:
        """Return True when operators took the failure domain out."""
        return self.domain_rule.is_out(self.domains.get(domain))
