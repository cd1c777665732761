"""Callers that keep asking, and what became of their requests."""

from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.requests.verdict import Verdict
from burdocksill_lab.fakes.world import World

SHORTEST_COMEBACK_SECONDS: Final = 0.2


@attrs.define(kw_only=True)
class CallRecord:
    """Hold one request: when it began, how long it took, how it ended."""

    at: float
    seconds: float
    verdict: Verdict
    reason: str = ''
    by: str = ''


@attrs.define(kw_only=True)
class Workload:
    """Hold what the callers of one run do and what they saw."""

    service: str
    until: float
    pause_seconds: float
    # Callers begin spread over this long.
    begin_seconds: float = 1.0
    timeout_seconds: float = 5.0
    # Callers that ignore the time to come back are the storm of a baseline.
    patient: bool = True
    records: list[CallRecord] = attrs.field(factory=list)

    def count(self, verdict: Verdict) -> int:
        """Return how many requests ended with a verdict."""
        return sum(record.verdict is verdict for record in self.records)

    async def run_caller(self, world: World, rng: Random) -> None:
        """Ask again and again in one session, with uneven pauses."""
        await trio.sleep(rng.uniform(0, self.begin_seconds))
        async with world.session(self.service) as session:
            while trio.current_time() < self.until:
                started = trio.current_time()
                method = rng.choice(('GET', 'POST'))
                pause = self.pause_seconds * rng.uniform(0.5, 1.5)
                record = CallRecord(
                    at=started,
                    seconds=0,
                    verdict=Verdict.RAN,
                )
                try:
                    answer = await session.request(
                        method,
                        ('counts',),
                        payload=b'1' if method == 'POST' else b'',
                        timeout_seconds=self.timeout_seconds,
                    )
                except CallFailedError as error:
                    record.verdict = error.verdict
                    record.reason = error.reason.value
                    if self.patient:
                        pause = max(
                            error.retry_after_seconds,
                            SHORTEST_COMEBACK_SECONDS,
                        )
                else:
                    record.by = answer.hops[-1]
                record.seconds = trio.current_time() - started
                self.records.append(record)
                await trio.sleep(pause)

    def start(self, world: World, nursery: trio.Nursery, count: int) -> None:
        """Start some callers."""
        for _ in range(count):
            rng = Random(world.rng.random())
            nursery.start_soon(self.run_caller, world, rng)
