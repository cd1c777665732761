"""Flows whose failure domain or owner is not where a packet expects it."""

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

# Relay, former owner, heir and one more; a longer way is a loop.
MAX_RELAY_HOPS: Final = 4
# A new flow is passed on at most this far: VMs and upstreams both count.
MAX_PLACEMENT_HOPS: Final = 9


class PlaceFlow(Protocol):
    """Place a flow at an upstream and go to its owner."""

    def __call__(
        self,
        envelope: Envelope,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
    ) -> None:
        """Place the flow outside the upstreams to avoid."""


@attrs.define(kw_only=True)
class DomainEvacuation:
    """Move flows out of failure domains that operators took out."""

    store: DocumentStore
    placer: Placer
    unknown_epoch_policy: UnknownEpochPolicy
    place: PlaceFlow
    count: Callable[[str], None]

    def is_evacuated(self, service: str, cookie: Cookie) -> bool:
        """Return True when a flow's upstream is in a domain that is out."""
        document = self.store.services.get(service)
        upstream = (
            document.upstream_by_tag(cookie.upstream_tag) if document else None
        )
        return upstream is not None and self.store.is_out(upstream.domain)

    def reason(self, service: str, cookie: Cookie | None) -> Reason:
        """Return why the holder of a flow's epoch cannot be asked."""
        if cookie is not None and self.is_evacuated(service, cookie):
            return Reason.DOMAIN_OUT
        return Reason.EPOCH_CLOSED

    def can_relay(
        self,
        member: Member,
        envelope: Envelope,
        limit: int = MAX_RELAY_HOPS,
    ) -> bool:
        """Return True for a VM in service that has not seen the packet yet.

        Two VMs that take each other for the owner would pass a packet back
        and forth; its hops show it, and none goes round twice.
        """
        if self.store.is_out(member.domain):
            return False
        visited = member.name in envelope.hops
        return not visited and len(envelope.hops) < limit

    def place_evacuated(self, envelope: Envelope) -> None:
        """Give a flow up whose failure domain is out, and place it anew.

        No packet may go there to ask, so only a holder that is this VM itself
        could say "not run"; the new owner says what can be said, at once, and
        with a cookie for what comes next.
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
        """Place a flow anew that came for an upstream not owned here.

        A failure domain that leaves or returns, or a changed owner, is known
        to the sender a moment before or after it is known here.
        """
        document = self.store.services.get(envelope.request.service)
        exclude = frozenset((upstream,))
        few = len(envelope.hops) < MAX_PLACEMENT_HOPS
        if (
            document is not None
            and few
            and self.placer.place(
                document,
                exclude=exclude,
            )
        ):
            self.place(envelope, document, exclude=exclude)
            return
        # A cookie of a lost owner: that one may have run the request.
        unknown = self.unknown_epoch_policy.verdict()
        raise RequestFailedError(
            verdict=Verdict.NOT_RUN if cookie is None else unknown,
            reason=Reason.NO_UPSTREAM,
        )
