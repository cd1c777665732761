"""Composition of the parts for each upstream that an entry VM owns."""

from random import Random

import attrs

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.entry.components import Components
from burdocksill.flows.cookie import COOKIE_LIFETIME_SECONDS
from burdocksill.membership.protocols import MemberView
from burdocksill.network.protocols import Network
from burdocksill.observe.counters import Counters
from burdocksill.requests.dispatch import DeadlineDispatcher
from burdocksill.requests.retries import RetryBudget
from burdocksill.upstreams.admission import Admission, FlowRerouter
from burdocksill.upstreams.client import VerifiedClient
from burdocksill.upstreams.departures import LeavingRule
from burdocksill.upstreams.flows import FlowCounter


@attrs.frozen(kw_only=True)
class UpstreamParts:
    """Hold the parts for one owned upstream."""

    client: VerifiedClient
    dispatcher: DeadlineDispatcher
    admission: Admission


@attrs.define(kw_only=True)
class UpstreamBuilder:
    """Build the parts of owned upstreams; budgets are per service."""

    network: Network
    components: Components
    members: MemberView
    counters: Counters
    rng: Random
    leaving_rule: LeavingRule
    reroute: FlowRerouter
    budgets: dict[str, RetryBudget] = attrs.field(factory=dict)

    def build(
        self,
        document: ServiceDocument,
        upstream: Upstream,
    ) -> UpstreamParts:
        """Build the parts of one upstream, cold and not yet connected."""
        limiter = self.components.limiter(upstream, self.rng)
        client = VerifiedClient(
            service=document.service,
            upstream=upstream,
            network=self.network,
            limiter=limiter,
            counters=self.counters,
            verifier=self.components.verifier(),
        )
        admission = Admission(
            service=document.service,
            client=client,
            limiter=limiter,
            flows=FlowCounter(lifetime_seconds=COOKIE_LIFETIME_SECONDS),
            leaving_rule=self.leaving_rule,
            members=self.members,
            budget=self.budget(document.service),
            reroute=self.reroute,
            counters=self.counters,
        )
        return UpstreamParts(
            client=client,
            dispatcher=DeadlineDispatcher(limiter=limiter, client=client),
            admission=admission,
        )

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget shared by a service's upstreams."""
        if service not in self.budgets:
            self.budgets[service] = self.components.retry_budget()
        return self.budgets[service]
