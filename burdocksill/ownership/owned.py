"""Request handling for an upstream that this VM owns."""

import enum
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.flows.cookie import (
    COOKIE_LIFETIME_SECONDS,
    FLOW_ID_BYTES,
    Cookie,
    CookieAge,
)
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import WallClock
from burdocksill.observe.counters import Counters
from burdocksill.ownership.cookies import CookieIssuer
from burdocksill.ownership.epochs import EpochHolder, EpochTable
from burdocksill.ownership.feeds import FeedTable
from burdocksill.ownership.in_flight import InFlightRequests
from burdocksill.ownership.local_requests import LocalRequests
from burdocksill.ownership.protocols import CallerLink, Fence
from burdocksill.ownership.unknown_epochs import UnknownEpochPolicy
from burdocksill.requests.blocks import Transfers
from burdocksill.requests.cancellation import Cancellations
from burdocksill.requests.dispatch import Dispatcher
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.feeds import is_feed
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import refusal, with_uncertain_verdict
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import (
    Claim,
    ClaimState,
    RequestKey,
    request_digest,
    request_key,
)
from burdocksill.upstreams.admission import Admission
from burdocksill.upstreams.protocols import UpstreamClient

# A new owner waits this long for the handover from the previous owner.
READY_TIMEOUT_SECONDS: Final = 4.0
# Requests buffered until the successor acknowledges the handover. Further
# requests are dropped; their callers retransmit them.
MAX_AWAITING_HANDOVER: Final = 1000

# Refusals that carry no cookie, so that the caller opens a new flow: another
# VM may own the upstream by now, or the upstream is leaving.
NEW_FLOW_REASONS: Final = frozenset(
    (Reason.OWNER_FENCED, Reason.UPSTREAM_LEAVING),
)
OVERLOADED: Final = refusal(
    RequestFailedError(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED),
)


class OwnershipState(enum.StrEnum):
    """List the states of an upstream's ownership on this VM."""

    ACQUIRING = 'taking'
    SERVING = 'serving'
    HANDING_OVER = 'handing-over'
    HANDED_OVER = 'handed-over'
    # The successor did not acknowledge the handover, but may hold the epochs.
    SUCCESSOR_LOST = 'heir-lost'
    # There is no successor: the epochs are sealed and stay on this VM.
    RETIRED = 'retired'


def make_local_requests(owned: 'OwnedUpstream') -> LocalRequests:
    """Create the handler of requests that are not dispatched."""
    return LocalRequests(
        service=owned.document.service,
        transfers=owned.transfers,
        cookies=owned.cookies,
        counters=owned.counters,
        link=owned.link,
    )


def make_feeds(owned: 'OwnedUpstream') -> FeedTable:
    """Create the feed table; its limit is the number of connections."""
    return FeedTable(
        service=owned.document.service,
        upstream=owned.upstream.name,
        limit=owned.upstream.connections,
        client=owned.client,
        cookies=owned.cookies,
        clock=owned.clock,
        counters=owned.counters,
        link=owned.link,
        is_leaving=lambda: owned.admission.leaving(owned.upstream),
    )


@attrs.define(kw_only=True)
class OwnedUpstream:
    """Dispatch the requests of one owned upstream at most once each."""

    document: ServiceDocument
    upstream: Upstream
    epochs: EpochHolder
    cookies: CookieIssuer
    clock: WallClock
    rng: Random
    client: UpstreamClient
    dispatcher: Dispatcher
    transfers: Transfers
    fence: Fence
    unknown_epoch_policy: UnknownEpochPolicy
    admission: Admission
    counters: Counters
    link: CallerLink
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    state: OwnershipState = OwnershipState.ACQUIRING
    ready: trio.Event = attrs.field(factory=trio.Event)
    successor: Member | None = None
    # Operators took the failure domain out of service.
    domain_out: bool = False
    awaiting_handover: list[Envelope] = attrs.field(factory=list)
    cancellations: Cancellations = attrs.field(factory=Cancellations)
    in_flight: InFlightRequests = attrs.field(factory=InFlightRequests)
    # Called with the epoch, key and final answer of each dispatched request.
    on_settled: Callable[[bytes, RequestKey, Answer], None] | None = None
    feeds: FeedTable = attrs.field(
        default=attrs.Factory(make_feeds, takes_self=True),
    )
    local_requests: LocalRequests = attrs.field(
        default=attrs.Factory(make_local_requests, takes_self=True),
    )

    async def run(self) -> None:
        """Run the upstream client until the upstream is released."""
        with self.scope:
            await self.client.run()

    def start(self) -> None:
        """Open a new epoch and start to serve."""
        self.epochs.open()
        self.state = OwnershipState.SERVING
        self.ready.set()

    async def accept_flow(
        self,
        envelope: Envelope,
        cookie: Cookie | None,
        reason: Reason = Reason.EPOCH_CLOSED,
    ) -> None:
        """Accept a flow placed on this upstream, new or from a lost owner."""
        # The owner is almost always ready, and a cancel scope costs more than
        # the claim of a request.
        if not self.ready.is_set():
            with trio.move_on_after(READY_TIMEOUT_SECONDS):
                await self.ready.wait()
        if cookie is None:
            self.open_flow(envelope)
        elif not self.local_requests.answer(
            envelope, cookie, has_successor=False
        ):
            await self.serve_unknown_epoch(envelope, cookie, reason)

    def open_flow(self, envelope: Envelope) -> None:
        """Issue the cookie of a new flow without dispatching its request."""
        if self.successor is not None:
            self.forward_to_successor(envelope, upstream=self.upstream.name)
            return
        try:
            if self.admission.reroute_new_flow(envelope, self.upstream):
                return
        except RequestFailedError as failure:
            self.send_answer(envelope, refusal(failure))
            return
        flow_id = self.rng.randbytes(FLOW_ID_BYTES)
        self.admission.flows.open(flow_id, trio.current_time())
        self.refuse_with_cookie(envelope, flow_id, Reason.COOKIE_NEEDED)

    def refuse_with_cookie(
        self,
        envelope: Envelope,
        flow_id: bytes,
        reason: Reason,
    ) -> None:
        """Refuse a request as "not run", with a cookie for sending it again."""
        failure = RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            retry_after_seconds=COOKIE_LIFETIME_SECONDS,
        )
        self.counters.add('flows_opened', service=self.document.service)
        cookie = self.cookies.issue(flow_id, envelope.caller)
        self.send_answer(envelope, refusal(failure, cookie=cookie))

    async def serve(self, envelope: Envelope, cookie: Cookie) -> None:
        """Serve a request whose cookie names this upstream."""
        # The owner is almost always ready, and a cancel scope costs more than
        # the claim of a request.
        if not self.ready.is_set():
            with trio.move_on_after(READY_TIMEOUT_SECONDS):
                await self.ready.wait()
        if self.local_requests.answer(
            envelope, cookie, has_successor=bool(self.successor)
        ):
            return
        table = self.epochs.find(cookie.epoch)
        if table is None:
            await self.serve_unknown_epoch(envelope, cookie)
        else:
            await self.serve_held_epoch(envelope, cookie, table)

    async def serve_held_epoch(
        self,
        envelope: Envelope,
        cookie: Cookie,
        table: EpochTable,
    ) -> None:
        """Dispatch a request of a held epoch once and answer duplicates."""
        feeds = is_feed(envelope.request) and envelope.verified
        if feeds and self.successor is None:
            await self.feeds.serve(envelope, cookie)
            return
        key = request_key(cookie.flow_id, envelope.request.token)
        claim = self.claim(envelope, table, key)
        if claim.state is ClaimState.RUNNING and envelope.request.cancels:
            self.cancellations.cancel(key)
        if claim.state is not ClaimState.FRESH:
            self.answer_duplicate(envelope, claim)
            return
        if self.successor is not None:
            self.forward_to_successor(envelope)
            return
        if table.sealed:
            self.refuse_sealed(envelope, cookie)
            return
        if (
            not envelope.may_have_run_elsewhere
            and self.admission.reroute_before_queueing(
                envelope,
                cookie.flow_id,
                self.upstream,
            )
        ):
            # Settled before the next checkpoint, so that no duplicate can be
            # dispatched.
            self.settle(table, key, OVERLOADED)
            return
        with (
            self.in_flight.track(),
            self.counters.timed(
                'request',
                service=self.document.service,
                upstream=self.upstream.name,
            ),
        ):
            answer = await self.cancellations.run(
                key,
                partial(self.try_dispatch, envelope, cookie),
            )
        self.settle(table, key, answer)
        if (
            not envelope.may_have_run_elsewhere
            and self.admission.reroute_after_refusal(
                envelope,
                cookie.flow_id,
                self.upstream,
                answer,
            )
        ):
            return
        self.send_answer(envelope, answer)

    def claim(
        self,
        envelope: Envelope,
        table: EpochTable,
        key: RequestKey,
    ) -> Claim:
        """Claim a request; only look it up if nothing may be dispatched."""
        now = trio.current_time()
        self.epochs.seal_if_full(now)
        digest = request_digest(envelope.request)
        if table.sealed or self.successor is not None:
            return table.window.find(key, digest)
        return table.window.claim(key, digest, now=now)

    def settle(
        self, table: EpochTable, key: RequestKey, answer: Answer
    ) -> None:
        """Store a final answer and send it to the successor, if any."""
        table.window.settle(key, answer, now=trio.current_time())
        if self.on_settled is not None:
            self.on_settled(table.epoch, key, answer)

    def answer_duplicate(self, envelope: Envelope, claim: Claim) -> None:
        """Answer a duplicate with the stored answer of the first copy."""
        if claim.state is ClaimState.RUNNING:
            # The first copy is answered when it completes.
            self.counters.add('duplicates_running')
            return
        if claim.answer is not None:
            self.counters.add('duplicates_answered')
            self.send_answer(envelope, claim.answer)
            return
        failure = RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.TOKEN_REUSED,
            message='this token stands for another request; use a new one',
        )
        self.send_answer(envelope, refusal(failure))

    def refuse_sealed(self, envelope: Envelope, cookie: Cookie) -> None:
        """Refuse a request of a sealed epoch as "not run"."""
        full = self.epochs.current is None and self.epochs.is_full
        reason = Reason.WINDOW_FULL if full else Reason.EPOCH_CLOSED
        if self.domain_out:
            reason = Reason.DOMAIN_OUT
        failure = RequestFailedError(verdict=Verdict.NOT_RUN, reason=reason)
        new_cookie = self.cookies.issue(cookie.flow_id, envelope.caller)
        self.send_answer(envelope, refusal(failure, cookie=new_cookie))

    async def serve_unknown_epoch(
        self,
        envelope: Envelope,
        cookie: Cookie,
        reason: Reason = Reason.EPOCH_CLOSED,
    ) -> None:
        """Serve a request of an epoch that this VM does not hold.

        The VM that holds the epoch may have run the request, so the policy
        decides whether it runs here. Otherwise it is refused at once, with a
        cookie for new requests.
        """
        if self.successor is not None:
            self.forward_to_successor(envelope)
            return
        current = self.epochs.current
        age = cookie.age(self.clock.now())
        if age is CookieAge.FORGOTTEN:
            self.refuse_with_cookie(
                envelope, cookie.flow_id, Reason.COOKIE_EXPIRED
            )
        elif current is not None and self.unknown_epoch_policy.may_run(
            envelope.request
        ):
            self.counters.add('requests_adopted')
            rebound = attrs.evolve(
                cookie,
                epoch=current.epoch,
                issued=int(self.clock.now()),
            )
            marked = attrs.evolve(envelope, may_have_run_elsewhere=True)
            await self.serve_held_epoch(marked, rebound, current)
        else:
            failure = RequestFailedError(
                verdict=self.unknown_epoch_policy.verdict(),
                reason=reason,
                message='the owner that knew this request is gone',
            )
            new_cookie = self.cookies.issue(cookie.flow_id, envelope.caller)
            self.send_answer(envelope, refusal(failure, cookie=new_cookie))

    async def try_dispatch(self, envelope: Envelope, cookie: Cookie) -> Answer:
        """Dispatch one request; return a refusal if it fails."""
        new_cookie = self.cookies.issue(cookie.flow_id, envelope.caller)
        try:
            answer = await self.dispatch(envelope, cookie)
        except RequestFailedError as failure:
            if failure.reason in NEW_FLOW_REASONS:
                new_cookie = b''
            if self.domain_out:
                # The verdict still holds, but a cookie would lead back here.
                new_cookie = b''
                failure = RequestFailedError(
                    verdict=failure.verdict,
                    reason=Reason.DOMAIN_OUT,
                )
            return refusal(failure, cookie=new_cookie)
        return attrs.evolve(answer, cookie=new_cookie)

    async def dispatch(self, envelope: Envelope, cookie: Cookie) -> Answer:
        """Dispatch a claimed request; raise RequestFailedError if refused."""
        if envelope.request.cancels:
            # The cancellation arrived before the request.
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.CANCELLED,
            )
        if not envelope.verified:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.ADDRESS_CHANGED,
            )
        if cookie.age(self.clock.now()) is not CookieAge.VALID:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.COOKIE_EXPIRED,
            )
        flow_id = cookie.flow_id
        request = self.transfers.whole_request(flow_id, envelope.request)
        self.fence.check()
        self.admission.refuse_if_leaving(self.upstream)
        answer = await self.dispatcher.dispatch(
            request,
            flow_id=flow_id,
            max_seconds=self.document.deadline_seconds,
        )
        return self.transfers.answers.first_block(flow_id, request, answer)

    def forward_to_successor(
        self, envelope: Envelope, *, upstream: str = ''
    ) -> None:
        """Relay a request to the successor, or buffer it until the handover."""
        if self.successor is None:
            return
        is_reachable = self.link.reachable(self.successor)
        if self.state is OwnershipState.SUCCESSOR_LOST or not is_reachable:
            # The lost successor may hold the epochs and have run the request.
            failure = RequestFailedError(
                verdict=self.unknown_epoch_policy.verdict(),
                reason=Reason.OWNER_LOST,
            )
            self.send_answer(envelope, refusal(failure))
        elif self.state is OwnershipState.HANDED_OVER or upstream:
            self.link.relay(
                envelope,
                self.successor.peer_address,
                upstream=upstream,
            )
        elif len(self.awaiting_handover) < MAX_AWAITING_HANDOVER:
            self.awaiting_handover.append(envelope)

    def begin_handover(self, successor: Member) -> None:
        """Stop dispatching for good, even if the successor is lost."""
        self.successor = successor
        self.state = OwnershipState.HANDING_OVER
        self.ready.set()

    def finish_handover(self, *, acknowledged: bool) -> None:
        """Forward buffered requests to the successor, or refuse them."""
        if acknowledged:
            self.state = OwnershipState.HANDED_OVER
        else:
            self.state = OwnershipState.SUCCESSOR_LOST
        self.feeds.end_all(Reason.STOPPING, keeps_flow=acknowledged)
        awaiting_handover = self.awaiting_handover
        self.awaiting_handover = []
        for envelope in awaiting_handover:
            self.forward_to_successor(envelope)

    def retire(self) -> None:
        """Seal every epoch when there is no successor."""
        self.epochs.seal_all(trio.current_time())
        self.state = OwnershipState.RETIRED
        self.ready.set()

    def reopen_epoch(self) -> None:
        """Open a new epoch once a full window has free capacity again."""
        sealed = self.epochs.current is None and not self.epochs.is_full
        if self.state is OwnershipState.SERVING and sealed:
            self.epochs.open()

    def send_answer(self, envelope: Envelope, answer: Answer) -> None:
        """Count an answer and send it to the caller with its hops."""
        if envelope.may_have_run_elsewhere:
            answer = with_uncertain_verdict(
                answer, self.unknown_epoch_policy.verdict()
            )
        self.counters.add(
            'answers',
            service=self.document.service,
            upstream=self.upstream.name,
            verdict=answer.verdict.value,
            reason=answer.reason.value if answer.reason else 'none',
        )
        hops = (*envelope.hops, self.upstream.name)
        self.link.reply(envelope, attrs.evolve(answer, hops=hops))
