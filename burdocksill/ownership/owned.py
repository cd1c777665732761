"""One upstream that this VM owns, and the requests that it dispatches."""

from collections.abc import Callable
from random import Random

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
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.requests.dispatch import Dispatcher
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import ClaimState, RequestKey, RequestWindow
from burdocksill.upstreams.protocols import UpstreamClient


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
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    running: int = 0

    async def run(self) -> None:
        """Keep the connection until the upstream is released."""
        with self.scope:
            await self.client.run()

    def open_flow(self, envelope: Envelope) -> None:
        """Give a new flow its cookie: nothing was dispatched."""
        failure = RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=Reason.COOKIE_NEEDED,
            retry_after_seconds=COOKIE_LIFETIME_SECONDS,
        )
        flow_id = self.rng.randbytes(FLOW_ID_BYTES)
        cookie = self.cookie(flow_id, envelope.caller)
        self.counters.add('flows_opened', service=self.document.service)
        self.finish(envelope, refusal(failure, cookie=cookie))

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
        self.running += 1
        began = trio.current_time()
        try:
            answer = await self.attempt(envelope, cookie)
        finally:
            self.running -= 1
        self.counters.record('request', trio.current_time() - began)
        self.window.settle(key, answer)
        self.finish(envelope, answer)

    async def attempt(self, envelope: Envelope, cookie: Cookie) -> Answer:
        """Dispatch one request, or say why not and when to come back."""
        fresh = self.cookie(cookie.flow_id, envelope.caller)
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
            upstream=self.upstream.name,
            verdict=answer.verdict.value,
            reason=answer.reason.value if answer.reason else 'none',
        )
        hops = (*envelope.hops, self.upstream.name)
        self.reply(envelope, attrs.evolve(answer, hops=hops))
