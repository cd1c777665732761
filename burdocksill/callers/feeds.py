"""A caller's feed: in order, without gaps, opened again when it must be."""

import math
from collections import deque
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.roundtrip import ACK_TIMEOUT_SECONDS
from burdocksill.callers.session import Session, settle
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
# How long a missing notification may still be on its way.
GAP_SECONDS: Final = 0.2
# Registrations without an answer before the feed is opened afresh.
SILENT_REGISTRATIONS: Final = 3
# A feed that ends for these is not opened again.
FINAL_REASONS: Final = frozenset((Reason.FEED_REFUSED, Reason.SERVICE_UNKNOWN))


@attrs.frozen(kw_only=True)
class Notification:
    """Hold one notification; `missed` counts those lost for good before."""

    position: int
    payload: bytes
    missed: int = 0


@attrs.define(kw_only=True)
class Registration:
    """Take the notifications that carry one token."""

    arrived: trio.Event = attrs.field(factory=trio.Event)
    answers: deque[Answer] = attrs.field(factory=deque)

    def take(self, answer: Answer) -> None:
        """Queue a notification and wake the feed."""
        self.answers.append(answer)
        self.arrived.set()


@attrs.define(kw_only=True)
class Feed:
    """Keep one feed open and put its notifications in order.

    A token stands for one registration and is never used for another feed,
    so that late notifications of an ended feed match nothing.
    """

    session: Session
    path: tuple[str, ...]
    output: trio.MemorySendChannel[Notification]
    position: int | None = None
    keepalive_seconds: float = KEEPALIVE_SECONDS
    held: dict[int, bytes] = attrs.field(factory=dict)
    missed: int = 0
    opened: int = 0
    # When the feed registers next, and how many times nobody answered.
    due: float = 0
    unanswered: int = 0
    failure: CallFailedError | None = None

    async def run(self) -> None:
        """Keep the feed open until cancelled or refused for good."""
        async with self.output:
            while self.failure is None:
                ended = await self.follow()
                if ended is not None and ended.reason in FINAL_REASONS:
                    self.fail(ended)
                elif ended is not None and not ended.cookie:
                    await trio.sleep(self.pause(ended))

    def fail(self, ended: Answer) -> None:
        """Keep why the feed is not opened again."""
        try:
            settle(ended)
        except CallFailedError as failure:
            self.failure = failure

    def pause(self, ended: Answer) -> float:
        """Return how long to wait, so that not all callers come at once."""
        longest = min(ended.max_age_seconds or 0, self.keepalive_seconds)
        return self.session.rng.uniform(0, longest)

    async def follow(self) -> Answer | None:
        """Register with a token of its own; return the answer that ends it."""
        self.opened += 1
        self.held.clear()
        request = self.session.new_request('GET', self.path, b'', 0)
        registration = Registration()
        self.session.pending[request.token] = registration
        self.due = trio.current_time()
        self.unanswered = 0
        ended = None
        try:
            ended = await self.listen(request, registration)
        finally:
            self.session.pending.pop(request.token, None)
            if ended is None:
                self.register(request, DEREGISTER)
        return ended

    async def listen(
        self, request: CallerRequest, registration: Registration
    ) -> Answer | None:
        """Take notifications and register again when it is due."""
        while True:
            if trio.current_time() >= self.due:
                if self.unanswered >= SILENT_REGISTRATIONS:
                    self.session.cookie = b''
                    return None
                self.register(request, REGISTER)
                self.unanswered += 1
                wait = ACK_TIMEOUT_SECONDS * self.unanswered
                self.due = trio.current_time() + wait
            with trio.move_on_at(self.due):
                await registration.arrived.wait()
            registration.arrived = trio.Event()
            while registration.answers:
                answer = registration.answers.popleft()
                if answer.observe is None:
                    self.session.keep_cookie(answer)
                    return answer
                await self.take(answer)

    def register(self, request: CallerRequest, observe: int) -> None:
        """Send a registration with the newest cookie and our position."""
        known = self.position is not None
        etag = encode_position(self.position or 0) if known else b''
        renewed = attrs.evolve(
            request, cookie=self.session.cookie, observe=observe, etag=etag
        )
        self.session.socket.send(encode_request(renewed), self.session.server)

    async def take(self, answer: Answer) -> None:
        """Take one notification or confirmation."""
        self.session.keep_cookie(answer)
        self.unanswered = 0
        position = decode_position(answer.etag)
        if position is None:
            return
        if answer.payload:
            self.held.setdefault(position, answer.payload)
        else:
            self.confirm(position)
        await self.deliver()

    def confirm(self, position: int) -> None:
        """Learn where the feed goes on; what lies before is lost for good."""
        self.due = trio.current_time() + self.keepalive_seconds
        if self.position is None:
            self.position = position
        elif position > self.position:
            self.missed += position - self.position
            self.position = position

    async def deliver(self) -> None:
        """Hand on what follows without a gap; ask again for what lacks."""
        if self.position is None:
            return
        while self.position + 1 in self.held:
            self.position += 1
            await self.output.send(
                Notification(
                    position=self.position,
                    payload=self.held.pop(self.position),
                    missed=self.missed,
                ),
            )
            self.missed = 0
        for old in [known for known in self.held if known <= self.position]:
            self.held.pop(old)
        if self.held:
            self.due = min(self.due, trio.current_time() + GAP_SECONDS)


@asynccontextmanager
async def open_feed(
    session: Session,
    path: tuple[str, ...],
    *,
    after: int | None = None,
    keepalive_seconds: float = KEEPALIVE_SECONDS,
) -> AsyncGenerator['FeedReader', None]:
    """Open a feed after a position, or from now on; close it at the end."""
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
    """Read a feed's notifications one by one."""

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
