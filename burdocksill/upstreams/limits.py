"""Concurrency limits of an upstream, with a queue for requests above them."""

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
from burdocksill.upstreams.slot_times import expected_slot_times
from burdocksill.upstreams.unseen import UntrackedWork

# Deadlines bound the waiting time; this bounds the queue when they are long.
MAX_QUEUED: Final = 32
# Causes of a cold start that are handled in a special way.
CONNECTION_LOST: Final = 'connection-lost'
NEW_INSTANCE: Final = 'new-instance'

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """Hold a request that waits in the queue for a slot.

    `decided` is set when the request is admitted or refused.
    """

    give_up_at: float
    decided: trio.Event = attrs.field(factory=trio.Event)
    granted_at: float | None = None


@attrs.define(kw_only=True)
class AdaptiveLimiter:
    """Limit concurrency to what the upstream has proved to handle.

    The limit never exceeds the document's slots. A request on a connection
    that became unresponsive counts until its deadline: it could not be
    cancelled, so the upstream may still be working on it.
    """

    name: str
    ramp: Ramp
    backlog: Backlog
    latency: Latency = attrs.field(factory=Latency)
    # The time at which each running request got its slot.
    running: list[float] = attrs.field(factory=list)
    waiting: deque[Waiter] = attrs.field(factory=deque)
    untracked: UntrackedWork = attrs.field(factory=UntrackedWork)
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
        """Return how many requests would be admitted at once."""
        if self.paused:
            return 0
        return max(0, self.ramp.limit - self.occupied())

    @property
    def paused(self) -> bool:
        """Return True while nothing is admitted, after silence or shedding."""
        return trio.current_time() < max(self.silent_until, self.shed_until)

    def occupied(self) -> int:
        """Return how many requests the upstream may be working on."""
        return self.busy + len(self.untracked.deadlines())

    @asynccontextmanager
    async def slot(self, *, deadline: float) -> AsyncGenerator[None, None]:
        """Hold one slot, or raise RequestFailedError (not run)."""
        started = await self.acquire(deadline)
        try:
            yield
        except ConnectionSilentError:
            self.untracked.add_orphan(deadline)
            raise
        except RequestFailedError as failure:
            self.record_failure(failure, trio.current_time() - started)
            raise
        else:
            self.record_success(trio.current_time() - started)
        finally:
            self.running.remove(started)
            self.admit_waiting()

    async def acquire(self, deadline: float) -> float:
        """Take a slot, queue for one, or raise RequestFailedError at once."""
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
        full = len(self.waiting) >= MAX_QUEUED
        slot_at = next(islice(self.slot_times(), len(self.waiting), None))
        if full or slot_at >= give_up_at:
            raise self.refusal(Reason.OVERLOADED)
        return await self.queue(Waiter(give_up_at=give_up_at))

    async def queue(self, waiter: Waiter) -> float:
        """Wait for a slot as long as the deadline can still be met."""
        self.waiting.append(waiter)
        try:
            while not waiter.decided.is_set():
                # Slots are also freed when untracked work reaches its end.
                wake_times = [waiter.give_up_at, *self.untracked.deadlines()]
                if trio.current_time() < self.silent_until:
                    wake_times.append(self.silent_until)
                with trio.move_on_at(min(wake_times)):
                    await waiter.decided.wait()
                self.admit_waiting()
        except BaseException:
            # The caller cancelled: pass on a slot that was granted meanwhile.
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
        """Grant free slots in queue order; refuse waiters that are too late."""
        self.refuse_late_waiters()
        while self.waiting and self.free:
            waiter = self.waiting.popleft()
            waiter.granted_at = trio.current_time()
            self.running.append(waiter.granted_at)
            waiter.decided.set()

    def refuse_late_waiters(self) -> None:
        """Refuse the waiters whose expected slot comes too late."""
        remaining: deque[Waiter] = deque()
        slot_times = self.slot_times()
        slot_at = next(slot_times)
        shedding = trio.current_time() < self.shed_until
        for waiter in self.waiting:
            # While the upstream sheds, only another upstream can help.
            if slot_at < waiter.give_up_at and not shedding:
                remaining.append(waiter)
                slot_at = next(slot_times)
            else:
                waiter.decided.set()
        self.waiting = remaining

    def slot_times(self) -> Iterator[float]:
        """Yield the expected time of each waiter's slot, in queue order."""
        seconds = self.latency.fast
        ends = [started + seconds for started in self.running]
        return expected_slot_times(
            now=max(trio.current_time(), self.silent_until),
            ends=[*ends, *self.untracked.deadlines()],
            slots=self.ramp.limit,
            seconds=seconds,
        )

    def record_success(self, seconds: float) -> None:
        """Update latency and limit after a complete answer."""
        now = trio.current_time()
        if self.latency.add(seconds):
            self.start_cold(cause='latency-jump')
        elif self.ramp.add_success(now):
            logger.info(
                'limit grew',
                extra={'upstream': self.name, 'limit': self.ramp.limit},
            )

    def record_failure(
        self,
        failure: RequestFailedError,
        seconds: float,
    ) -> None:
        """Update latency and limit after a failed request."""
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
        """Return to the cold limit; admit nothing for `silence_seconds`."""
        now = trio.current_time()
        self.silent_until = max(self.silent_until, now + silence_seconds)
        self.ramp.start(now, connection_lost=cause == CONNECTION_LOST)
        if cause == NEW_INSTANCE:
            # A new instance runs none of the earlier requests.
            self.untracked.clear()
        self.refuse_late_waiters()
        logger.info(
            'cold start',
            extra={'upstream': self.name, 'cause': cause},
        )

    def resume(self, limit: int) -> None:
        """Continue with the limit that the previous owner handed over."""
        self.ramp.limit = max(1, min(limit, self.ramp.slots))
        self.ramp.begin_step(trio.current_time())
        self.admit_waiting()

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Count the previous owner's requests in progress for `seconds`."""
        self.untracked.add_inherited(running, trio.current_time() + seconds)

    def release_inherited(self, key: bytes) -> None:
        """Stop counting a previous owner's request that has ended."""
        self.untracked.release(key)
        self.admit_waiting()

    def apply_load_report(self, bearable: int) -> None:
        """Apply the concurrency that the upstream reports it can handle."""
        self.ramp.apply_load_report(bearable, trio.current_time())
        self.refuse_late_waiters()

    def refusal(self, reason: Reason, least: float = 0) -> RequestFailedError:
        """Make a "not run" error with a retry-after time in seconds."""
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
    """Admit all slots from the start, as the baseline of control runs."""

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
        """Return how many requests would be admitted at once."""
        return max(0, self.slots - self.busy)

    @asynccontextmanager
    async def slot(self, *, deadline: float) -> AsyncGenerator[None, None]:
        """Hold one slot, or raise RequestFailedError (not run) at once."""
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
        """Ignore cold starts."""

    def resume(self, limit: int) -> None:
        """Ignore the previous owner's limit."""

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Ignore the previous owner's requests in progress."""

    def release_inherited(self, key: bytes) -> None:
        """Ignore that a previous owner's request has ended."""

    def apply_load_report(self, bearable: int) -> None:
        """Ignore load reports."""


def make_limiter(
    *,
    name: str,
    slots: int,
    cold_limit: int,
    rng: Random,
) -> AdaptiveLimiter:
    """Make the limiter of one upstream, starting at the cold limit."""
    return AdaptiveLimiter(
        name=name,
        ramp=Ramp(slots=slots, cold_limit=cold_limit),
        backlog=Backlog(rng=rng),
    )
