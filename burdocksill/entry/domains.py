"""What a failure domain's leave means for the flows that end there."""

import attrs

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.cookie import Cookie
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict


@attrs.define(kw_only=True)
class DomainExit:
    """Tell which flows end in a failure domain that operators took out."""

    store: DocumentStore

    def left(self, service: str, cookie: Cookie) -> bool:
        """Return True when a flow's upstream is in a domain that is out."""
        document = self.store.services.get(service)
        upstream = document.tagged(cookie.upstream_tag) if document else None
        return upstream is not None and self.store.is_out(upstream.domain)

    def reason(self, service: str, cookie: Cookie) -> Reason:
        """Return why the holder of a flow's epoch cannot be asked."""
        if self.left(service, cookie):
            return Reason.DOMAIN_OUT
        return Reason.EPOCH_CLOSED

    def nowhere(
        self,
        document: ServiceDocument,
        verdict: Verdict,
    ) -> RequestFailedError:
        """Say that a service has no upstream outside the domains out."""
        return RequestFailedError(
            verdict=verdict,
            reason=Reason.DOMAIN_OUT,
            message=f'{document.service} runs only in domains that are out',
        )
