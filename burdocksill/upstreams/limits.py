"""Count an upstream's work against what it can bear."""

import logging
import math
from collections import deque
from collections.abc import AsyncGenerator, Iterable, Iterator
from contextlib import asynccontextmanager
from itertools import islice
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.backlog import Backlog
from burdocksill.upstreams.exceptions import ConnectionSilentError
from burdocksill.upstreams.latency import Latency
from burdocksill.upstreams.ramp import Ramp
from burdocksill.upstreams.turns import expected_turns
from burdocksill.upstreams.unseen import UnseenWork

# Deadlines bound the queue in time; this bounds it where they are long.
QUEUE_LENGTH: Final = 32
# Causes of a cold start that say more than that it is one.
CONNECTION_LOST: Final = 'connection-lost'
NEW_INSTANCE: Final = 'new-instance'

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """Wait in the queue for a slot."""

    give_up_at: float
    decided: trio.Event = attrs.field(factory=trio.Event)
    granted_at: float | None = None


@attrs.define(kw_only=True)
class AdaptiveLimiter:
    """Admit what the owner has measured the upstream to bear.

    The limit never exceeds the document's slots. Work on a connection that
    fell silent counts until its deadline: the upstream was not told that
    nobody waits, so it may still be busy with it.
    """

    name: str
    ramp: Ramp
    backlog: Backlog
    latency: Latency = attrs.field(factory=Latency)
    # When each request that holds a slot got it.
    running: list[float] = attrs.field(factory=list)
    waiting: deque[Waiter] = attrs.field(factory=deque)
    unseen: UnseenWork = attrs.field(factory=UnseenWork)
    silent_until: float = -math.inf
    shed_until: float = -math.inf

    @property
    def busy(self) -> int:
        """Return how many requests hold a slot."""
        return len(self.running)

    @property
    def cold(self) -> bool:
        """Return True while the upstream may not have all its slots."""
        return self.ramp.cold

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""
        return self.ramp.limit

    @property
    def free(self) -> int:
        """Return how many requests would be admitted without a wait."""
        if self.paused:
            return 0
        return max(0, self.ramp.limit - self.occupied())

    @property
    def paused(self) -> bool:
        """Return True while nothing is admitted: silence, or shedding."""
        return trio.current_time() < max(self.silent_until, self.shed_until)

    def occupied(self) -> int:
        """Return the work that the upstream may be busy with."""
        return self.busy + len(self.unseen.until())

    @asynccontextmanager
    async def slot(self, *, deadline: float) -> AsyncGenerator[None, None]:
        """Hold one slot, or raise RequestFailedError (not run)."""
        started = await self.acquire(deadline)
        try:
            yield
        except ConnectionSilentError:
            self.unseen.orphan(deadline)
            raise
        except RequestFailedError as failure:
            self.take_failure(failure, trio.current_time() - started)
            raise
        else:
            self.take_success(trio.current_time() - started)
        finally:
            self.running.remove(started)
            self.admit_waiting()

    async def acquire(self, deadline: float) -> float:
        """Take a slot now, queue for one, or refuse at once."""
        now = trio.current_time()
        if now < self.shed_until:
            raise self.refusal(Reason.UPSTREAM_SHED, self.shed_until - now)
        if (
            not self.paused
            and not self.waiting
            and self.occupied() < self.ramp.limit
        ):
            self.running.append(now)
            return now
        give_up_at = deadline - self.latency.fast
        full = len(self.waiting) >= QUEUE_LENGTH
        turn = next(islice(self.turns(), len(self.waiting), None))
        if full or turn >= give_up_at:
            raise self.refusal(Reason.OVERLOADED)
        return await self.queue(Waiter(give_up_at=give_up_at))

    async def queue(self, waiter: Waiter) -> float:
        """Wait for a slot until it would come too late."""
        self.waiting.append(waiter)
        try:
            while not waiter.decided.is_set():
                # A turn can also change when unseen work reaches its end.
                changes = [waiter.give_up_at, *self.unseen.until()]
                if trio.current_time() < self.silent_until:
                    changes.append(self.silent_until)
                with trio.move_on_at(min(changes)):
                    await waiter.decided.wait()
                self.admit_waiting()
        except BaseException:
            # The caller cancelled; a slot granted meanwhile goes on.
            if waiter.granted_at is not None:
                self.running.remove(waiter.granted_at)
            elif waiter in self.waiting:
                self.waiting.remove(waiter)
            self.admit_waiting()
            raise
        if waiter.granted_at is None:
            raise self.refusal(Reason.OVERLOADED)
        return waiter.granted_at

    def admit_waiting(self) -> None:
        """Hand free slots to the queue and refuse whose turn is too late."""
        self.drop_hopeless()
        while self.waiting and self.free:
            waiter = self.waiting.popleft()
            waiter.granted_at = trio.current_time()
            self.running.append(waiter.granted_at)
            waiter.decided.set()

    def drop_hopeless(self) -> None:
        """Refuse at once the waiters whose turn would come too late."""
        kept: deque[Waiter] = deque()
        turns = self.turns()
        turn = next(turns)
        shed = trio.current_time() < self.shed_until
        for waiter in self.waiting:
            # What an upstream sheds can only be tried elsewhere.
            if turn < waiter.give_up_at and not shed:
                kept.append(waiter)
                turn = next(turns)
            else:
                waiter.decided.set()
        self.waiting = kept

    def turns(self) -> Iterator[float]:
        """Yield when each waiter may expect its slot."""
        seconds = self.latency.fast
        ends = [started + seconds for started in self.running]
        return expected_turns(
            now=max(trio.current_time(), self.silent_until),
            ends=[*ends, *self.unseen.until()],
            slots=self.ramp.limit,
            seconds=seconds,
        )

    def take_success(self, seconds: float) -> None:
        """Learn from a whole answer."""
        now = trio.current_time()
        if self.latency.add(seconds):
            self.start_cold(cause='latency-jump')
        elif self.ramp.succeed(now):
            logger.info(
                'limit grew',
                extra={'upstream': self.name, 'limit': self.ramp.limit},
            )

    def take_failure(self, failure: RequestFailedError, seconds: float) -> None:
        """Learn from a request that failed."""
        if failure.reason is Reason.UPSTREAM_SHED:
            now = trio.current_time()
            self.ramp.shed(now)
            self.shed_until = max(
                self.shed_until,
                now + failure.retry_after_seconds,
            )
        if failure.reason is Reason.DEADLINE_PASSED:
            self.latency.add(seconds)

    def start_cold(self, *, cause: str, silence_seconds: float = 0) -> None:
        """Go back to the cold limit, after a silence where one is needed."""
        now = trio.current_time()
        self.silent_until = max(self.silent_until, now + silence_seconds)
        self.ramp.start(now, fallen=cause == CONNECTION_LOST)
        if cause == NEW_INSTANCE:
            # Another instance runs none of the work of the one before.
            self.unseen.clear()
        self.drop_hopeless()
        logger.info(
            'cold start',
            extra={'upstream': self.name, 'cause': cause},
        )

    def resume(self, limit: int) -> None:
        """Go on from the limit that the owner before handed over."""
        self.ramp.limit = max(1, min(limit, self.ramp.slots))
        self.ramp.begin_step(trio.current_time())
        self.admit_waiting()

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Count requests that the owner before still has in progress."""
        self.unseen.add_inherited(running, trio.current_time() + seconds)

    def release_inherited(self, key: bytes) -> None:
        """Stop counting one request of the owner before: it has ended."""
        self.unseen.settle(key)
        self.admit_waiting()

    def take_report(self, bearable: int) -> None:
        """Take what the upstream says it can bear at once."""
        self.ramp.take_report(bearable, trio.current_time())
        self.drop_hopeless()

    def refusal(self, reason: Reason, least: float = 0) -> RequestFailedError:
        """Write a refusal with its time to come back."""
        seconds = self.backlog.seconds(
            trio.current_time(),
            rate=self.ramp.limit / self.latency.fast,
            least=least,
        )
        return RequestFailedError(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            retry_after_seconds=seconds,
        )


@attrs.define(kw_only=True)
class FixedLimiter:
    """Admit all slots from the start: the baseline of the control runs."""

    slots: int
    busy: int = 0
    cold: bool = False
    paused: bool = False

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""
        return self.slots

    @property
    def free(self) -> int:
        """Return how many requests would be admitted without a wait."""
        return max(0, self.slots - self.busy)

    @asynccontextmanager
    async def slot(self, *, deadline: float) -> AsyncGenerator[None, None]:
        """Hold one slot, or refuse at once."""
        if self.busy >= self.slots:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
            )
        self.busy += 1
        try:
            yield
        finally:
            self.busy -= 1

    def start_cold(self, *, cause: str, silence_seconds: float = 0) -> None:
        """Take no notice of a cold start."""

    def resume(self, limit: int) -> None:
        """Take no notice of a handed-over limit."""

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Take no notice of what the owner before has in progress."""

    def release_inherited(self, key: bytes) -> None:
        """Count nothing that the owner before had in progress."""

    def take_report(self, bearable: int) -> None:
        """Take no notice of reports."""


def make_limiter(
    *,
    name: str,
    slots: int,
    cold_limit: int,
    rng: Random,
) -> AdaptiveLimiter:
    """Make the limiter of one upstream, cold."""
    return AdaptiveLimiter(
        name=name,
        ramp=Ramp(slots=slots, cold_limit=cold_limit),
        backlog=Backlog(rng=rng),
    )
