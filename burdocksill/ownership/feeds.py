"""Open feeds of one upstream, each served by a task of its own."""

from collections import deque
from collections.abc import Callable
from contextlib import aclosing
from typing import Final

import attrs
import trio

from burdocksill.flows.cookie import Cookie
from burdocksill.network.protocols import Address, WallClock
from burdocksill.observe.counters import Counters
from burdocksill.ownership.cookies import CookieIssuer
from burdocksill.ownership.protocols import CallerLink
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.feeds import (
    DEREGISTER,
    OBSERVE_NUMBERS,
    REGISTER,
    FeedLine,
    FeedState,
    decode_position,
    encode_position,
    next_observe,
    parse_line,
)
from burdocksill.requests.mapping import upstream_request
from burdocksill.requests.messages import Answer, CallerRequest, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import RequestKey, request_key
from burdocksill.upstreams.protocols import UpstreamClient

# A feed ends when its caller does not renew its registration for this long.
LEASE_SECONDS: Final = 70.0
# Interval at which notifications carry a new cookie, so that the cookie of an
# idle flow stays valid.
COOKIE_REFRESH_SECONDS: Final = 30.0
# Lines buffered for retransmission; older ones are requested again from the
# upstream.
MAX_RECENT_LINES: Final = 32
MESSAGE_IDS: Final = 65536


@attrs.define(kw_only=True, eq=False)
class Feed:
    """Hold one caller's feed; `position` is None until it is known."""

    envelope: Envelope
    flow_id: bytes
    position: int | None
    observe: int = 0
    cookie_sent_at: float = 0
    recent: deque[FeedLine] = attrs.field(
        factory=lambda: deque(maxlen=MAX_RECENT_LINES),
    )
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    # Cancelled to request the feed again from its position.
    stream: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def key(self) -> RequestKey:
        """Return the key of the feed: its flow and token."""
        return request_key(self.flow_id, self.envelope.request.token)

    def has_lines_after(self, position: int) -> bool:
        """Return True if every line after a position is buffered."""
        first = self.recent[0].position - 1 if self.recent else self.position
        return first is not None and position >= first

    def export_state(self) -> FeedState:
        """Return the state with which another owner can resume the feed."""
        request = self.envelope.request
        return FeedState(
            flow_id=self.flow_id,
            token=request.token,
            caller_host=self.envelope.caller.host,
            caller_port=self.envelope.caller.port,
            path=request.path,
            query=request.query,
            position=self.position or 0,
            observe=self.observe,
            wants_hops=request.wants_hops,
        )


@attrs.define(kw_only=True)
class FeedTable:
    """Serve the feeds of one upstream, up to a limit."""

    service: str
    upstream: str
    limit: int
    client: UpstreamClient
    cookies: CookieIssuer
    clock: WallClock
    counters: Counters
    link: CallerLink
    # Returns True if the upstream gets no new work.
    is_leaving: Callable[[], bool]
    feeds: dict[RequestKey, Feed] = attrs.field(factory=dict)
    message_id: int = 0

    def open_feeds(self) -> tuple[FeedState, ...]:
        """Return the state of every feed whose position is known."""
        return tuple(
            feed.export_state()
            for feed in self.feeds.values()
            if feed.position is not None
        )

    def stop_all(self) -> tuple[FeedState, ...]:
        """Stop all feeds without an answer; return their states to resume."""
        states = self.open_feeds()
        for feed in self.feeds.values():
            feed.scope.cancel()
        return states

    def end_all(self, reason: Reason, *, keeps_flow: bool = False) -> None:
        """End all feeds with a refusal, so that their callers open them again.

        With `keeps_flow` the refusal carries a cookie: the successor holds the
        epoch of the flow.
        """
        failure = RequestFailedError(verdict=Verdict.RAN, reason=reason)
        for feed in self.feeds.values():
            cookie = b''
            if keeps_flow:
                caller = feed.envelope.caller
                cookie = self.cookies.issue(feed.flow_id, caller)
            answer = refusal(failure, cookie=cookie)
            self.link.reply(self.next_envelope(feed), answer)
            feed.scope.cancel()

    def end_if_leaving(self) -> None:
        """End all feeds if the upstream is leaving."""
        if self.feeds and self.is_leaving():
            self.end_all(Reason.UPSTREAM_LEAVING)

    async def serve(self, envelope: Envelope, cookie: Cookie) -> None:
        """Open, renew or end the feed that a request names."""
        request = envelope.request
        existing = self.feeds.get(request_key(cookie.flow_id, request.token))
        if request.observe == DEREGISTER:
            self.deregister(existing, envelope)
            return
        if existing is not None:
            self.renew(existing, envelope)
            return
        if self.is_leaving():
            # No cookie: the caller opens a flow on another upstream.
            failure = RequestFailedError(
                verdict=Verdict.NOT_RUN, reason=Reason.UPSTREAM_LEAVING
            )
            self.link.reply(envelope, refusal(failure))
            return
        await self.run(
            Feed(
                envelope=envelope,
                flow_id=cookie.flow_id,
                position=decode_position(request.etag),
            ),
        )

    def deregister(self, feed: Feed | None, envelope: Envelope) -> None:
        """End a feed at its caller's request."""
        if feed is not None:
            feed.scope.cancel()
        done = Answer(code='VALID', verdict=Verdict.RAN)
        self.link.reply(envelope, done)

    async def resume(self, state: FeedState, hops: tuple[str, ...]) -> None:
        """Resume a feed that the previous owner handed over."""
        request = CallerRequest(
            service=self.service,
            method='GET',
            token=state.token,
            message_id=0,
            confirmable=False,
            path=state.path,
            query=state.query,
            observe=REGISTER,
            wants_hops=state.wants_hops,
        )
        envelope = Envelope(
            request=request,
            caller=Address(state.caller_host, state.caller_port),
            hops=hops,
            # The previous owner verified the address. A spoofed caller could
            # not have renewed the registration.
            verified=True,
        )
        feed = Feed(
            envelope=envelope,
            flow_id=state.flow_id,
            position=state.position,
            observe=state.observe,
        )
        if feed.key not in self.feeds:
            await self.run(feed)

    def renew(self, feed: Feed, envelope: Envelope) -> None:
        """Renew a feed's lease and resend the lines that its caller lacks."""
        feed.envelope = envelope
        feed.scope.deadline = trio.current_time() + LEASE_SECONDS
        if feed.position is None:
            return
        after = decode_position(envelope.request.etag)
        if after is None:
            # The caller has received no confirmation yet: resend all lines.
            after = feed.recent[0].position - 1 if feed.recent else None
            after = feed.position if after is None else after
        if not feed.has_lines_after(after):
            self.counters.add('feeds_read_anew', service=self.service)
            feed.position = after
            feed.recent.clear()
            feed.stream.cancel()
            return
        self.confirm_position(feed, envelope, after)
        for line in feed.recent:
            if line.position > after:
                self.send(feed, line)

    async def run(self, feed: Feed) -> None:
        """Serve a feed until its caller or upstream ends it or it expires."""
        if len(self.feeds) >= self.limit:
            failure = RequestFailedError(
                verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED
            )
            self.link.reply(feed.envelope, refusal(failure))
            return
        self.counters.add('feeds_opened', service=self.service)
        self.feeds[feed.key] = feed
        feed.scope.deadline = trio.current_time() + LEASE_SECONDS
        try:
            with feed.scope:
                failure = await self.follow(feed)
                self.link.reply(self.next_envelope(feed), refusal(failure))
        finally:
            self.feeds.pop(feed.key, None)
        self.counters.add('feeds_closed', service=self.service)

    async def follow(self, feed: Feed) -> RequestFailedError:
        """Read the feed until the upstream ends it; return the reason."""
        while True:
            try:
                with trio.CancelScope() as stream:
                    feed.stream = stream
                    await self.read(feed)
                    return RequestFailedError(
                        verdict=Verdict.RAN, reason=Reason.FEED_ENDED
                    )
            except RequestFailedError as failure:
                return failure

    async def read(self, feed: Feed) -> None:
        """Read one stream of the upstream, starting after the position."""
        request = upstream_request(
            feed.envelope.request, flow_id=feed.flow_id, timeout_seconds=0
        )
        request = attrs.evolve(request, feed_after=feed.position)
        async with aclosing(self.client.feed(request)) as lines:
            async for raw in lines:
                self.handle_line(feed, parse_line(raw))

    def handle_line(self, feed: Feed, line: FeedLine) -> None:
        """Send a line to the caller; skip positions that were sent."""
        if not line.payload:
            feed.position = max(line.position, feed.position or 0)
            self.confirm_position(feed, feed.envelope, feed.position)
        elif feed.position is None or line.position > feed.position:
            feed.position = line.position
            feed.recent.append(line)
            self.send(feed, line)

    def confirm_position(
        self, feed: Feed, envelope: Envelope, position: int
    ) -> None:
        """Send the caller the position of its feed and a new cookie."""
        feed.cookie_sent_at = 0
        answer = self.notification(feed, position)
        self.link.reply(envelope, attrs.evolve(answer, code='VALID'))

    def send(self, feed: Feed, line: FeedLine) -> None:
        """Send one notification; its loss shows as a gap in positions."""
        self.counters.add('notifications_sent', service=self.service)
        answer = self.notification(feed, line.position)
        answer = attrs.evolve(answer, payload=line.payload)
        self.link.reply(self.next_envelope(feed), answer)

    def notification(self, feed: Feed, position: int) -> Answer:
        """Build a notification without payload, with a cookie if one is due."""
        now = trio.current_time()
        cookie = b''
        if (
            not feed.cookie_sent_at
            or now - feed.cookie_sent_at > COOKIE_REFRESH_SECONDS
        ):
            cookie = self.cookies.issue(feed.flow_id, feed.envelope.caller)
            feed.cookie_sent_at = now
        feed.observe = next_observe(feed.observe, self.clock.now())
        return Answer(
            code='CONTENT',
            verdict=Verdict.RAN,
            observe=feed.observe % OBSERVE_NUMBERS,
            etag=encode_position(position),
            cookie=cookie,
            hops=(*feed.envelope.hops, self.upstream),
        )

    def next_envelope(self, feed: Feed) -> Envelope:
        """Return the feed's envelope with the next message id."""
        self.message_id = (self.message_id + 1) % MESSAGE_IDS
        request = attrs.evolve(
            feed.envelope.request,
            confirmable=False,
            message_id=self.message_id,
        )
        return attrs.evolve(feed.envelope, request=request)
