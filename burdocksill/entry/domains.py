"""Evacuation of failure domains, and flows at VMs that are not the owner."""

from collections.abc import Callable
from typing import Final, Protocol

import attrs

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.cookie import Cookie
from burdocksill.flows.placement import NO_EXCLUSIONS, Placer
from burdocksill.membership.protocols import Member
from burdocksill.ownership.unknown_epochs import UnknownEpochPolicy
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Envelope
from burdocksill.requests.verdict import Reason, Verdict

# Relay, previous owner, successor and one more; a longer path is a loop.
MAX_RELAY_HOPS: Final = 4
# Maximum length of a new flow's path, in VMs and upstreams together.
MAX_PLACEMENT_HOPS: Final = 9


class PlaceFlow(Protocol):
    """Place a flow on an upstream and forward it to the owner."""

    def __call__(
        self,
        envelope: Envelope,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
    ) -> None:
        """Place the flow on an upstream that is not excluded."""


@attrs.define(kw_only=True)
class DomainEvacuation:
    """Move flows out of failure domains that operators took out of service."""

    store: DocumentStore
    placer: Placer
    unknown_epoch_policy: UnknownEpochPolicy
    place: PlaceFlow
    count: Callable[[str], None]

    def is_evacuated(self, service: str, cookie: Cookie) -> bool:
        """Return True if a flow's upstream is in a domain out of service."""
        document = self.store.services.get(service)
        upstream = (
            document.upstream_by_tag(cookie.upstream_tag) if document else None
        )
        return upstream is not None and self.store.is_out(upstream.domain)

    def reason(self, service: str, cookie: Cookie | None) -> Reason:
        """Return why the VM that holds a flow's epoch cannot be reached."""
        if cookie is not None and self.is_evacuated(service, cookie):
            return Reason.DOMAIN_OUT
        return Reason.EPOCH_CLOSED

    def can_relay(
        self,
        member: Member,
        envelope: Envelope,
        limit: int = MAX_RELAY_HOPS,
    ) -> bool:
        """Return True for a VM in service that is not among the packet's hops.

        Two VMs that consider each other the owner would relay a packet back
        and forth. Its hops prevent such a loop.
        """
        if self.store.is_out(member.domain):
            return False
        visited = member.name in envelope.hops
        return not visited and len(envelope.hops) < limit

    def place_evacuated(self, envelope: Envelope) -> None:
        """Place a flow again whose failure domain is out of service.

        No packet may be sent to that domain, so its VMs cannot report "not
        run". The new owner answers at once, with the verdict of the policy and
        a cookie for further requests.
        """
        document = self.store.services[envelope.request.service]
        self.count('flows_left_domain')
        if self.placer.place(document) is None:
            raise RequestFailedError(
                verdict=self.unknown_epoch_policy.verdict(),
                reason=Reason.DOMAIN_OUT,
                message=f'{document.service} runs only in domains out',
            )
        self.place(envelope, document)

    def place_at_another(
        self,
        envelope: Envelope,
        upstream: str,
        cookie: Cookie | None,
    ) -> None:
        """Place a flow again that arrived for an upstream of another VM.

        The sender learns of a new owner, or of a failure domain that leaves or
        returns, a moment earlier or later than this VM.
        """
        document = self.store.services.get(envelope.request.service)
        exclude = frozenset((upstream,))
        below_limit = len(envelope.hops) < MAX_PLACEMENT_HOPS
        if (
            document is not None
            and below_limit
            and self.placer.place(
                document,
                exclude=exclude,
            )
        ):
            self.place(envelope, document, exclude=exclude)
            return
        # With a cookie, the lost owner may have run the request.
        unknown = self.unknown_epoch_policy.verdict()
        raise RequestFailedError(
            verdict=Verdict.NOT_RUN if cookie is None else unknown,
            reason=Reason.NO_UPSTREAM,
        )
