"""One upstream that this VM owns, and the requests that it dispatches."""

import math
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.flows.cookie import (
    COOKIE_LIFETIME_SECONDS,
    EXCHANGE_LIFETIME_SECONDS,
    FLOW_ID_BYTES,
    Cookie,
    CookieAge,
    CookieSealer,
    address_tag,
    name_tag,
)
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.network.protocols import Address, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.requests.dispatch import Dispatcher
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.retries import RetryBudget
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import ClaimState, RequestKey, RequestWindow
from burdocksill.upstreams.departures import LeavingRule
from burdocksill.upstreams.flows import FlowBook
from burdocksill.upstreams.messages import UpstreamHint
from burdocksill.upstreams.protocols import Limiter, UpstreamClient

# These refusals cost no upstream anything, so sending the request elsewhere
# adds no load; shedding and full queues do, and are held to the budget.
FREE_MOVES: Final = frozenset(
    (Reason.UPSTREAM_LEAVING, Reason.UPSTREAM_DOWN, Reason.UPSTREAM_COLD),
)
BUDGETED_MOVES: Final = frozenset((Reason.UPSTREAM_SHED, Reason.OVERLOADED))

# A flow is moved for balance only to an upstream with this share of the load.
REBALANCE_FACTOR: Final = 0.75


class Elsewhere(Protocol):
    """Open a flow at another upstream than the one named."""

    def __call__(
        self,
        envelope: Envelope,
        upstream: str,
        below: float = math.inf,
    ) -> bool:
        """Return False when there is none, or none with less load."""


@attrs.define(kw_only=True)
class OwnedUpstream:
    """Hold an upstream's epoch and everything that is counted for it."""

    document: ServiceDocument
    upstream: Upstream
    owner: Member
    epoch: bytes
    sealer: CookieSealer
    clock: WallClock
    rng: Random
    window: RequestWindow
    client: UpstreamClient
    dispatcher: Dispatcher
    counters: Counters
    reply: Callable[[Envelope, Answer], None]
    limiter: Limiter
    leaving_rule: LeavingRule
    members: MemberView
    budget: RetryBudget
    elsewhere: Elsewhere
    flows: FlowBook = attrs.field(
        factory=lambda: FlowBook(lifetime_seconds=COOKIE_LIFETIME_SECONDS),
    )
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Keep the connection until the upstream is released."""
        with self.scope:
            await self.client.run()

    @property
    def leaving(self) -> bool:
        """Return True when the upstream gets no new work."""
        return self.leaving_rule.leaves(self.upstream, told=self.client.leaving)

    def hint(self) -> UpstreamHint:
        """Return what other VMs may know of the upstream."""
        return UpstreamHint(
            service=self.document.service,
            upstream=self.upstream.name,
            free_slots=self.limiter.free,
            slots=self.limiter.limit,
            cold=self.limiter.cold,
            leaving=self.leaving or not self.client.connected,
            flows=self.flows.count(trio.current_time()),
        )

    def start_cold(self, *, silence_seconds: float) -> None:
        """Begin cold after a silence: another VM may still be its owner."""
        self.limiter.start_cold(
            cause='takeover',
            silence_seconds=silence_seconds,
        )

    def open_flow(self, envelope: Envelope) -> None:
        """Give a new flow its cookie, here or elsewhere; nothing has run."""
        reason = self.unwilling(envelope)
        if reason is not None and self.elsewhere(envelope, self.upstream.name):
            self.counters.add('flows_sent_elsewhere', reason=reason.value)
            return
        if reason in {Reason.UPSTREAM_LEAVING, Reason.OVERLOADED}:
            failure = RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=reason,
            )
            self.finish(envelope, refusal(failure))
            return
        failure = RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.COOKIE_NEEDED,
            retry_after_seconds=COOKIE_LIFETIME_SECONDS,
        )
        flow_id = self.rng.randbytes(FLOW_ID_BYTES)
        self.flows.open(flow_id, trio.current_time())
        cookie = self.cookie(flow_id, envelope.caller)
        self.counters.add('flows_opened', service=self.document.service)
        self.finish(envelope, refusal(failure, cookie=cookie))

    def unwilling(self, envelope: Envelope) -> Reason | None:
        """Return why a new flow had better go elsewhere, None if it may stay.

        Hints are stale, so this word is the last: only the owner knows.
        """
        if self.leaving:
            return Reason.UPSTREAM_LEAVING
        if not self.flows.admits(
            trio.current_time(),
            connections=self.upstream.connections,
            foreign=self.foreign(envelope),
        ):
            return Reason.OVERLOADED
        if not self.client.connected:
            return Reason.UPSTREAM_DOWN
        if self.limiter.cold and not self.limiter.free:
            return Reason.UPSTREAM_COLD
        return None

    def foreign(self, envelope: Envelope) -> bool:
        """Return True when a VM of another failure domain placed the flow."""
        first = self.members.find(name_tag(envelope.hops[0]))
        return first is not None and first.domain != self.upstream.domain

    def cookie(self, flow_id: bytes, caller: Address) -> bytes:
        """Seal a cookie of this epoch for a flow."""
        cookie = Cookie(
            upstream_tag=name_tag(self.upstream.name),
            owner_tag=self.owner.tag,
            epoch=self.epoch,
            flow_id=flow_id,
            issued=int(self.clock.now()),
            address_tag=address_tag(caller),
        )
        return self.sealer.seal(service=self.document.service, cookie=cookie)

    async def serve(self, envelope: Envelope, cookie: Cookie) -> None:
        """Dispatch a request of this epoch once and answer every copy."""
        key = RequestKey(
            flow_id=cookie.flow_id,
            token=envelope.request.token,
        )
        until = (
            cookie.issued + COOKIE_LIFETIME_SECONDS + EXCHANGE_LIFETIME_SECONDS
        )
        claim = self.window.claim(key, until=until)
        if claim.state is ClaimState.RUNNING:
            # The answer goes out when the first copy is done.
            self.counters.add('duplicates_running')
            return
        if claim.answer is not None:
            self.counters.add('duplicates_answered')
            self.finish(envelope, claim.answer)
            return
        if self.rebalances(envelope):
            # Settled in the same step: no copy can be dispatched any more.
            self.window.settle(key, self.overloaded())
            self.flows.close(cookie.flow_id)
            self.counters.add('flows_moved', reason='rebalanced')
            return
        answer = await self.attempt(envelope, cookie)
        self.window.settle(key, answer)
        if self.moves(answer) and self.elsewhere(envelope, self.upstream.name):
            # The other owner answers with its own cookie; a late copy gets
            # the refusal that was settled here.
            self.flows.close(cookie.flow_id)
            self.counters.add('flows_moved', reason=str(answer.reason))
            return
        self.finish(envelope, answer)

    def rebalances(self, envelope: Envelope) -> bool:
        """Open a flow elsewhere whose request would have to wait here.

        Flows last for hours: without this an upstream that comes back stays
        idle beside those that took its flows. The budget keeps it slow.
        """
        if self.limiter.free or not self.budget.affords():
            return False
        flows = self.flows.count(trio.current_time())
        below = flows / self.limiter.limit * REBALANCE_FACTOR
        if not self.elsewhere(envelope, self.upstream.name, below):
            return False
        return self.budget.spend()

    def overloaded(self) -> Answer:
        """Return the refusal of a request that would wait too long."""
        return refusal(
            RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
            ),
        )

    def moves(self, answer: Answer) -> bool:
        """Return True when a request is better sent elsewhere at once."""
        if answer.verdict is Verdict.RAN:
            self.budget.earn()
        if answer.verdict is not Verdict.NOT_RUN:
            return False
        if answer.reason in BUDGETED_MOVES:
            return self.budget.spend()
        return answer.reason in FREE_MOVES

    async def attempt(self, envelope: Envelope, cookie: Cookie) -> Answer:
        """Dispatch one request, or say why not and when to come back."""
        fresh = self.cookie(cookie.flow_id, envelope.caller)
        if self.leaving:
            return refusal(
                RequestFailedError(
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.UPSTREAM_LEAVING,
                ),
            )
        self.flows.use(cookie.flow_id, trio.current_time())
        try:
            if cookie.age(self.clock.now()) is not CookieAge.VALID:
                raise RequestFailedError(
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.COOKIE_EXPIRED,
                )
            answer = await self.dispatcher.dispatch(
                envelope.request,
                flow_id=cookie.flow_id,
                longest_seconds=self.document.deadline_seconds,
            )
        except RequestFailedError as failure:
            return refusal(failure, cookie=fresh)
        return attrs.evolve(answer, cookie=fresh)

    def finish(self, envelope: Envelope, answer: Answer) -> None:
        """Count an answer and send it with the hops it took."""
        self.counters.add(
            'answers',
            service=self.document.service,
            verdict=answer.verdict.value,
            reason=answer.reason.value if answer.reason else 'none',
        )
        hops = (*envelope.hops, self.upstream.name)
        self.reply(envelope, attrs.evolve(answer, hops=hops))
