"""Feeds of a caller: ordered notifications with automatic reopening."""

import math
from collections import deque
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.roundtrip import ACK_TIMEOUT_SECONDS
from burdocksill.callers.session import Session, raise_for_reason
from burdocksill.requests.codec import encode_request
from burdocksill.requests.feeds import (
    DEREGISTER,
    REGISTER,
    decode_position,
    encode_position,
)
from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill.requests.verdict import Reason

KEEPALIVE_SECONDS: Final = 20.0
# How long to wait for a missing notification before registering again.
GAP_SECONDS: Final = 0.2
# Unanswered registrations before the feed is opened with a new token.
MAX_UNANSWERED: Final = 3
# A feed that ends for one of these reasons is not reopened.
FINAL_REASONS: Final = frozenset((Reason.FEED_REFUSED, Reason.SERVICE_UNKNOWN))


@attrs.frozen(kw_only=True)
class Notification:
    """Hold one notification; `missed` counts those lost before it."""

    position: int
    payload: bytes
    missed: int = 0


@attrs.define(kw_only=True)
class Registration:
    """Queue the notifications that carry one token."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answers: deque[Answer] = attrs.field(factory=deque)

    def handle(self, answer: Answer) -> None:
        """Queue a notification and wake the feed's task."""
        self.answers.append(answer)
        self.arrived.set()


@attrs.define(kw_only=True)
class Feed:
    """Keep one feed open and put its notifications in order.

    Each registration has its own token, which is never reused, so that late
    notifications of an ended feed match nothing.
    """

    session: Session
    path: tuple[str, ...]
    output: trio.MemorySendChannel[Notification]
    position: int | None = None
    keepalive_seconds: float = KEEPALIVE_SECONDS
    buffered: dict[int, bytes] = attrs.field(factory=dict)
    missed: int = 0
    opened: int = 0
    # When the feed registers next, and registrations since the last answer.
    register_at: float = 0
    unanswered: int = 0
    failure: CallFailedError | None = None

    async def run(self) -> None:
        """Keep the feed open until cancelled or refused for good."""
        async with self.output:
            while self.failure is None:
                final = await self.follow()
                if final is not None and final.reason in FINAL_REASONS:
                    self.fail(final)
                elif final is not None and not final.cookie:
                    await trio.sleep(self.pause_seconds(final))

    def fail(self, final: Answer) -> None:
        """Store the error of a feed that is not reopened."""
        try:
            raise_for_reason(final)
        except CallFailedError as failure:
            self.failure = failure

    def pause_seconds(self, final: Answer) -> float:
        """Return a random delay, so that callers don't all reopen at once."""
        longest = min(final.max_age_seconds or 0, self.keepalive_seconds)
        return self.session.rng.uniform(0, longest)

    async def follow(self) -> Answer | None:
        """Follow one registration; return the answer that ends it.

        Return None when registrations stay unanswered.
        """
        self.opened += 1
        self.buffered.clear()
        request = self.session.new_request('GET', self.path, b'', 0)
        registration = Registration()
        self.session.pending[request.token] = registration
        self.register_at = trio.current_time()
        self.unanswered = 0
        final = None
        try:
            final = await self.listen(request, registration)
        finally:
            self.session.pending.pop(request.token, None)
            if final is None:
                self.register(request, DEREGISTER)
        return final

    async def listen(
        self, request: CallerRequest, registration: Registration
    ) -> Answer | None:
        """Handle notifications and register again when that is due."""
        while True:
            if trio.current_time() >= self.register_at:
                if self.unanswered >= MAX_UNANSWERED:
                    self.session.cookie = b''
                    return None
                self.register(request, REGISTER)
                self.unanswered += 1
                wait = ACK_TIMEOUT_SECONDS * self.unanswered
                self.register_at = trio.current_time() + wait
            with trio.move_on_at(self.register_at):
                await registration.arrived.wait()
            registration.arrived = trio.Event()
            while registration.answers:
                answer = registration.answers.popleft()
                if answer.observe is None:
                    self.session.keep_cookie(answer)
                    return answer
                await self.handle(answer)

    def register(self, request: CallerRequest, observe: int) -> None:
        """Send a registration with the newest cookie and this position."""
        has_position = self.position is not None
        etag = encode_position(self.position or 0) if has_position else b''
        renewed = attrs.evolve(
            request, cookie=self.session.cookie, observe=observe, etag=etag
        )
        self.session.socket.send(encode_request(renewed), self.session.server)

    async def handle(self, answer: Answer) -> None:
        """Handle one notification or confirmation."""
        self.session.keep_cookie(answer)
        self.unanswered = 0
        position = decode_position(answer.etag)
        if position is None:
            return
        if answer.payload:
            self.buffered.setdefault(position, answer.payload)
        else:
            self.confirm(position)
        await self.deliver()

    def confirm(self, position: int) -> None:
        """Set the position that was confirmed; earlier gaps are lost."""
        self.register_at = trio.current_time() + self.keepalive_seconds
        if self.position is None:
            self.position = position
        elif position > self.position:
            self.missed += position - self.position
            self.position = position

    async def deliver(self) -> None:
        """Send out what follows without a gap; schedule a request for gaps."""
        if self.position is None:
            return
        while self.position + 1 in self.buffered:
            self.position += 1
            await self.output.send(
                Notification(
                    position=self.position,
                    payload=self.buffered.pop(self.position),
                    missed=self.missed,
                ),
            )
            self.missed = 0
        for old in [seen for seen in self.buffered if seen <= self.position]:
            self.buffered.pop(old)
        if self.buffered:
            self.register_at = min(
                self.register_at,
                trio.current_time() + GAP_SECONDS,
            )


@asynccontextmanager
async def open_feed(
    session: Session,
    path: tuple[str, ...],
    *,
    after: int | None = None,
    keepalive_seconds: float = KEEPALIVE_SECONDS,
) -> AsyncGenerator['FeedReader', None]:
    """Open a feed after a position, or from now on, until the block ends."""
    output, notifications = trio.open_memory_channel[Notification](math.inf)
    feed = Feed(
        session=session,
        path=path,
        output=output,
        position=after,
        keepalive_seconds=keepalive_seconds,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(feed.run)
        yield FeedReader(feed=feed, notifications=notifications)
        nursery.cancel_scope.cancel()


@attrs.define(kw_only=True)
class FeedReader:
    """Read the notifications of a feed."""

    feed: Feed
    notifications: trio.MemoryReceiveChannel[Notification]

    async def receive(self) -> Notification:
        """Return the next notification, or raise CallFailedError."""
        try:
            return await self.notifications.receive()
        except trio.EndOfChannel:
            if self.feed.failure is None:
                raise
            raise self.feed.failure from None
