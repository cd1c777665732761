"""Whether an upstream leaves, whoever says so."""

from typing import Protocol

import attrs

from burdocksill.documents.models import Upstream
from burdocksill.documents.store import DocumentStore


class LeavingRule(Protocol):
    """Decide whether an upstream gets no new work."""

    def is_leaving(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when it leaves; `told` is the upstream's own word."""


@attrs.define(kw_only=True)
class AnySourceRule:
    """Believe the document, the upstream itself and the platform's list.

    The list lags and the platform has outages. So any one word is enough, and
    an outage keeps what was last read.
    """

    store: DocumentStore

    def is_leaving(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when any of the three says so."""
        listed = upstream.host in self.store.leaving_hosts
        return upstream.draining or told or listed


@attrs.define(kw_only=True)
class NeverLeavingRule:
    """Take no notice of anyone: the baseline of the control runs."""

    store: DocumentStore

    def is_leaving(self, upstream: Upstream, *, told: bool) -> bool:
        """Return False always."""
        return False
