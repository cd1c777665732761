"""Admission of flows and requests to an upstream, by its owner."""

import math
from typing import Final, Protocol

import attrs
import trio

from burdocksill.documents.models import Upstream
from burdocksill.flows.cookie import name_tag
from burdocksill.membership.protocols import MemberView
from burdocksill.observe.counters import Counters
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.retries import RetryBudget
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.departures import LeavingRule
from burdocksill.upstreams.flows import FlowCounter
from burdocksill.upstreams.messages import UpstreamHint
from burdocksill.upstreams.protocols import Limiter, UpstreamClient

# Rerouting after these refusals adds no load: no upstream saw the request.
# After shedding or a full queue it does, so the retry budget limits it.
UNBUDGETED_REASONS: Final = frozenset(
    (Reason.UPSTREAM_LEAVING, Reason.UPSTREAM_DOWN, Reason.UPSTREAM_COLD),
)
BUDGETED_REASONS: Final = frozenset((Reason.UPSTREAM_SHED, Reason.OVERLOADED))
# A flow that no other upstream takes is refused for these reasons. For any
# other reason it stays and may wait for the upstream to recover.
REFUSED_REASONS: Final = frozenset(
    (Reason.UPSTREAM_LEAVING, Reason.OVERLOADED, Reason.UPSTREAM_SHED),
)
# A flow is rerouted for balance only to an upstream whose load is below this
# share of the load here.
REBALANCE_LOAD_SHARE: Final = 0.75


class FlowRerouter(Protocol):
    """Open a flow at another upstream than the one named."""

    def __call__(
        self,
        envelope: Envelope,
        upstream: str,
        max_load: float = math.inf,
    ) -> bool:
        """Return False when no upstream has a load lower than `max_load`."""


@attrs.define(kw_only=True)
class Admission:
    """Decide which flows and requests one owned upstream takes."""

    service: str
    client: UpstreamClient
    limiter: Limiter
    flows: FlowCounter
    leaving_rule: LeavingRule
    members: MemberView
    budget: RetryBudget
    reroute: FlowRerouter
    counters: Counters

    def leaving(self, upstream: Upstream) -> bool:
        """Return True when an upstream gets no new work."""
        return self.leaving_rule.is_leaving(
            upstream, reported=self.client.leaving
        )

    def hint(self, upstream: Upstream) -> UpstreamHint:
        """Return the hint on an upstream that gossip sends to other VMs."""
        return UpstreamHint(
            service=self.service,
            upstream=upstream.name,
            free_slots=self.limiter.free,
            slots=self.limiter.limit,
            cold=self.limiter.cold,
            leaving=self.leaving(upstream) or not self.client.connected,
            flows=self.flows.count(trio.current_time()),
        )

    def resume_from_handover(
        self,
        *,
        running: list[bytes],
        seconds: float,
        limit: int,
        instance: str,
    ) -> None:
        """Continue with the requests and the limit of the previous owner.

        Its requests in progress still hold slots. Its limit is used only when
        the upstream is still the same instance; a new instance is cold.
        """
        self.limiter.add_inherited(running, seconds=seconds)
        if instance and instance == self.client.instance:
            self.limiter.resume(limit)

    def reroute_new_flow(self, envelope: Envelope, upstream: Upstream) -> bool:
        """Reroute a new flow; return False when it stays here.

        Raise RequestFailedError (not run) when no upstream can take it.
        """
        reason = self.refusal_reason(envelope, upstream)
        if reason is None:
            return False
        if self.reroute(envelope, upstream.name):
            self.count('flows_sent_elsewhere', upstream, reason)
            return True
        if reason in REFUSED_REASONS:
            raise RequestFailedError(verdict=Verdict.NOT_RUN, reason=reason)
        return False

    def refusal_reason(
        self,
        envelope: Envelope,
        upstream: Upstream,
    ) -> Reason | None:
        """Return why a new flow should be rerouted, None when it may stay.

        Placement worked from hints that may be stale; the owner decides.
        """
        if self.leaving(upstream):
            return Reason.UPSTREAM_LEAVING
        if not self.flows.admits(
            trio.current_time(),
            connections=upstream.connections,
            foreign=self.from_other_domain(envelope, upstream),
        ):
            return Reason.OVERLOADED
        if self.limiter.paused:
            return Reason.UPSTREAM_SHED
        if not self.client.connected:
            return Reason.UPSTREAM_DOWN
        cold_and_full = self.limiter.cold and not self.limiter.free
        if cold_and_full and not envelope.refused:
            return Reason.UPSTREAM_COLD
        return None

    def from_other_domain(self, envelope: Envelope, upstream: Upstream) -> bool:
        """Return True when a VM of another failure domain placed the flow."""
        first_hop = self.members.find(name_tag(envelope.hops[0]))
        return first_hop is not None and first_hop.domain != upstream.domain

    def refuse_if_leaving(self, upstream: Upstream) -> None:
        """Raise RequestFailedError (not run) when an upstream is leaving."""
        if self.leaving(upstream):
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_LEAVING,
            )

    def reroute_before_queueing(
        self,
        envelope: Envelope,
        flow_id: bytes,
        upstream: Upstream,
    ) -> bool:
        """Reroute a flow whose request would have to queue here."""
        if self.limiter.paused:
            # The upstream gets no request, so this needs no budget.
            rerouted = self.reroute(envelope, upstream.name)
            reason = Reason.UPSTREAM_SHED
        else:
            rerouted = self.reroute_for_balance(envelope, flow_id, upstream)
            reason = Reason.OVERLOADED
        if rerouted:
            self.flows.close(flow_id)
            self.count('flows_sent_away', upstream, reason)
        return rerouted

    def reroute_for_balance(
        self,
        envelope: Envelope,
        flow_id: bytes,
        upstream: Upstream,
    ) -> bool:
        """Reroute a flow to an upstream that holds fewer flows per slot.

        Flows last for hours, so an upstream that returns would otherwise stay
        idle beside those that took over its flows. The retry budget limits
        the rate. A new flow is not rerouted, or owners would pass it round.
        """
        now = trio.current_time()
        if self.limiter.free or not self.flows.established(flow_id, now):
            return False
        if not self.budget.has_token():
            return False
        flows = self.flows.count(now)
        max_load = flows / upstream.slots * REBALANCE_LOAD_SHARE
        if not self.reroute(envelope, upstream.name, max_load):
            return False
        return self.budget.withdraw()

    def reroute_after_refusal(
        self,
        envelope: Envelope,
        flow_id: bytes,
        upstream: Upstream,
        answer: Answer,
    ) -> bool:
        """Reroute a flow whose request was refused here.

        The other owner answers with its own cookie. A duplicate that arrives
        late gets the refusal recorded here.
        """
        if answer.verdict is Verdict.RAN:
            self.budget.deposit()
            self.flows.record_request(flow_id, trio.current_time())
        if not self.may_reroute(flow_id, answer):
            return False
        if not self.reroute(envelope, upstream.name):
            return False
        self.flows.close(flow_id)
        self.count('flows_moved', upstream, answer.reason)
        return True

    def may_reroute(self, flow_id: bytes, answer: Answer) -> bool:
        """Return True for a refusal that another upstream may take at once.

        While every upstream is full, owners would pass a flow round in a
        loop. So only an established flow is rerouted; a new one gets the
        refusal with its retry-after time.
        """
        if answer.verdict is not Verdict.NOT_RUN:
            return False
        if answer.reason in BUDGETED_REASONS:
            is_established = self.flows.established(
                flow_id, trio.current_time()
            )
            return is_established and self.budget.withdraw()
        return answer.reason in UNBUDGETED_REASONS

    def count(
        self,
        name: str,
        upstream: Upstream,
        reason: Reason | None,
    ) -> None:
        """Count a rerouted flow."""
        self.counters.add(
            name,
            service=self.service,
            upstream=upstream.name,
            reason=str(reason),
        )
