"""Which flows and requests an owner takes, and which it sends elsewhere."""

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

# These refusals cost no upstream anything, so sending the request elsewhere
# adds no load; shedding and full queues do, and are held to the budget.
FREE_MOVES: Final = frozenset(
    (Reason.UPSTREAM_LEAVING, Reason.UPSTREAM_DOWN, Reason.UPSTREAM_COLD),
)
BUDGETED_MOVES: Final = frozenset((Reason.UPSTREAM_SHED, Reason.OVERLOADED))
# Nowhere else to go: a flow may still wait here for better times, except at
# an upstream that leaves, sheds or holds as many flows as it may.
FINAL_REASONS: Final = frozenset(
    (Reason.UPSTREAM_LEAVING, Reason.OVERLOADED, Reason.UPSTREAM_SHED),
)
# A flow is moved for balance only to an upstream with this share of the load.
REBALANCE_FACTOR: Final = 0.75


class FlowRerouter(Protocol):
    """Open a flow at another upstream than the one named."""

    def __call__(
        self,
        envelope: Envelope,
        upstream: str,
        max_load: float = math.inf,
    ) -> bool:
        """Return False when there is none, or none with less load."""


@attrs.define(kw_only=True)
class Admission:
    """Decide for one owned upstream; the owner's word is the last."""

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
        return self.leaving_rule.is_leaving(upstream, told=self.client.leaving)

    def hint(self, upstream: Upstream) -> UpstreamHint:
        """Return what other VMs may know of an upstream."""
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
        """Go on where the owner before stopped.

        Its requests in progress still hold slots. Its limit counts only if
        the upstream has not become another instance meanwhile: that is cold.
        """
        self.limiter.add_inherited(running, seconds=seconds)
        if instance and instance == self.client.instance:
            self.limiter.resume(limit)

    def reroute_new_flow(self, envelope: Envelope, upstream: Upstream) -> bool:
        """Send a new flow elsewhere; return False when it stays here.

        Raise RequestFailedError (not run) when it can't be anywhere.
        """
        reason = self.unwilling(envelope, upstream)
        if reason is None:
            return False
        if self.reroute(envelope, upstream.name):
            self.count('flows_sent_elsewhere', upstream, reason)
            return True
        if reason in FINAL_REASONS:
            raise RequestFailedError(verdict=Verdict.NOT_RUN, reason=reason)
        return False

    def unwilling(
        self,
        envelope: Envelope,
        upstream: Upstream,
    ) -> Reason | None:
        """Return why a new flow had better go elsewhere, None if it may stay.

        Hints are stale, so this word is the last: only the owner knows.
        """
        if self.leaving(upstream):
            return Reason.UPSTREAM_LEAVING
        if not self.flows.admits(
            trio.current_time(),
            connections=upstream.connections,
            foreign=self.foreign(envelope, upstream),
        ):
            return Reason.OVERLOADED
        if self.limiter.paused:
            return Reason.UPSTREAM_SHED
        if not self.client.connected:
            return Reason.UPSTREAM_DOWN
        busy = self.limiter.cold and not self.limiter.free
        if busy and not envelope.refused:
            return Reason.UPSTREAM_COLD
        return None

    def foreign(self, envelope: Envelope, upstream: Upstream) -> bool:
        """Return True when a VM of another failure domain placed the flow."""
        first = self.members.find(name_tag(envelope.hops[0]))
        return first is not None and first.domain != upstream.domain

    def refuse_if_leaving(self, upstream: Upstream) -> None:
        """Raise RequestFailedError (not run) when an upstream leaves."""
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
        """Open a flow elsewhere whose request would have to wait here."""
        if self.limiter.paused:
            # The upstream is not asked at all, so this adds no load to it.
            sent = self.reroute(envelope, upstream.name)
            reason = Reason.UPSTREAM_SHED
        else:
            sent = self.rebalances(envelope, flow_id, upstream)
            reason = Reason.OVERLOADED
        if sent:
            self.flows.close(flow_id)
            self.count('flows_sent_away', upstream, reason)
        return sent

    def rebalances(
        self,
        envelope: Envelope,
        flow_id: bytes,
        upstream: Upstream,
    ) -> bool:
        """Open a flow at an upstream that is known to hold fewer.

        Flows last for hours: without this an upstream that comes back stays
        idle beside those that took its flows. The budget keeps it slow, and a
        flow that has only just come stays: owners would send it round.
        """
        now = trio.current_time()
        if self.limiter.free or not self.flows.established(flow_id, now):
            return False
        if not self.budget.has_token():
            return False
        flows = self.flows.count(now)
        max_load = flows / upstream.slots * REBALANCE_FACTOR
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
        """Open a flow elsewhere whose request was refused here.

        The other owner answers with its own cookie; a late copy gets the
        refusal that is settled here.
        """
        if answer.verdict is Verdict.RAN:
            self.budget.deposit()
            self.flows.record_request(flow_id, trio.current_time())
        if not self.may_move(flow_id, answer):
            return False
        if not self.reroute(envelope, upstream.name):
            return False
        self.flows.close(flow_id)
        self.count('flows_moved', upstream, answer.reason)
        return True

    def may_move(self, flow_id: bytes, answer: Answer) -> bool:
        """Return True for a refusal that may be tried elsewhere at once.

        Where everything is full, owners would send a flow round and round: a
        flow that nothing ran for here yet is told when to come back.
        """
        if answer.verdict is not Verdict.NOT_RUN:
            return False
        if answer.reason in BUDGETED_MOVES:
            settled = self.flows.established(flow_id, trio.current_time())
            return settled and self.budget.withdraw()
        return answer.reason in FREE_MOVES

    def count(
        self,
        name: str,
        upstream: Upstream,
        reason: Reason | None,
    ) -> None:
        """Count a flow that went elsewhere."""
        self.counters.add(
            name,
            service=self.service,
            upstream=upstream.name,
            reason=str(reason),
        )
