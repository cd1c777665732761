"""Compose what one entry VM holds for each upstream that it owns."""

from collections.abc import Iterator
from random import Random

import attrs

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.guards import Guards
from burdocksill.flows.cookie import COOKIE_LIFETIME_SECONDS
from burdocksill.flows.placement import find_owner
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.network.protocols import Network
from burdocksill.observe.counters import Counters
from burdocksill.peers.sender import PeerSender
from burdocksill.requests.dispatch import DeadlineDispatcher
from burdocksill.requests.retries import RetryBudget
from burdocksill.upstreams.admission import Admission, Elsewhere
from burdocksill.upstreams.client import VerifiedClient
from burdocksill.upstreams.departures import LeavingRule
from burdocksill.upstreams.flows import FlowBook
from burdocksill.upstreams.messages import VmsLeaving


@attrs.frozen(kw_only=True)
class UpstreamParts:
    """Hold the parts that work together for one owned upstream."""

    client: VerifiedClient
    dispatcher: DeadlineDispatcher
    admission: Admission


@attrs.define(kw_only=True)
class OwnerNotifier:
    """Tell the owners of the upstreams on a VM that it leaves."""

    members: MemberView
    store: DocumentStore
    channel: PeerSender

    def tell_leaving(self, host: str) -> None:
        """Send each owner among the peers a message; a lost one is repeated."""
        for owner in self.owners(host):
            if owner.tag != self.members.itself.tag:
                message = VmsLeaving(hosts=(host,))
                self.channel.send(message, owner.peer_address)

    def owners(self, host: str) -> Iterator[Member]:
        """Yield the owner of each upstream on a host."""
        for document in self.store.services.values():
            for upstream in document.upstreams:
                owner = find_owner(self.members, document.service, upstream)
                if upstream.host == host and owner is not None:
                    yield owner


@attrs.define(kw_only=True)
class UpstreamBuilder:
    """Make the parts of owned upstreams; a service shares its budget."""

    network: Network
    guards: Guards
    members: MemberView
    counters: Counters
    rng: Random
    leaving_rule: LeavingRule
    elsewhere: Elsewhere
    budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def build(
        self,
        document: ServiceDocument,
        upstream: Upstream,
    ) -> UpstreamParts:
        """Make the parts of one upstream, cold and not connected yet."""
        limiter = self.guards.limiter(upstream, self.rng)
        client = VerifiedClient(
            service=document.service,
            upstream=upstream,
            network=self.network,
            limiter=limiter,
            counters=self.counters,
            verifier=self.guards.verifier(),
        )
        admission = Admission(
            service=document.service,
            client=client,
            limiter=limiter,
            flows=FlowBook(lifetime_seconds=COOKIE_LIFETIME_SECONDS),
            leaving_rule=self.leaving_rule,
            members=self.members,
            budget=self.budget(document.service),
            elsewhere=self.elsewhere,
            counters=self.counters,
        )
        return UpstreamParts(
            client=client,
            dispatcher=DeadlineDispatcher(limiter=limiter, client=client),
            admission=admission,
        )

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget that a service's upstreams here share."""
        if service not in self.budgets:
            self.budgets[service] = self.guards.retry_budget()
        return self.budgets[service]
