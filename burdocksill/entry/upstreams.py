"""Compose what one entry VM holds for each upstream that it owns."""

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
    """Hold the parts that work together for one owned upstream."""

    client: VerifiedClient
    dispatcher: DeadlineDispatcher
    admission: Admission


@attrs.define(kw_only=True)
class UpstreamBuilder:
    """Make the parts of owned upstreams; a service shares its budget."""

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
        """Make the parts of one upstream, cold and not connected yet."""
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
        """Return the retry budget that a service's upstreams here share."""
        if service not in self.budgets:
            self.budgets[service] = self.components.retry_budget()
        return self.budgets[service]
