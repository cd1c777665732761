"""Rules that decide whether an upstream is leaving."""

from typing import Protocol

import attrs

from burdocksill.documents.models import Upstream
from burdocksill.documents.store import DocumentStore


class LeavingRule(Protocol):
    """Decide whether an upstream gets no new work."""

    def is_leaving(self, upstream: Upstream, *, reported: bool) -> bool:
        """Return True when an upstream is leaving.

        `reported` is True when the upstream itself reports that it is draining.
        """


@attrs.define(kw_only=True)
class AnySourceRule:
    """Combine the document, the upstream's health and the platform's list.

    The list is delayed and the platform has outages. So any one source is
    enough, and during an outage the list that was read last stays in use.
    """

    store: DocumentStore

    def is_leaving(self, upstream: Upstream, *, reported: bool) -> bool:
        """Return True when any of the three sources says so."""
        listed = upstream.host in self.store.leaving_hosts
        return upstream.draining or reported or listed


@attrs.define(kw_only=True)
class NeverLeavingRule:
    """Ignore every source, as the baseline of control runs."""

    store: DocumentStore

    def is_leaving(self, upstream: Upstream, *, reported: bool) -> bool:
        """Return False always."""
        return False
