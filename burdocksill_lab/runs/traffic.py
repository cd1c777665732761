"""Callers of a deployment, and what each was told."""

import json
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session
from burdocksill.requests.messages import Answer
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill_lab.fakes.world import World
from burdocksill_lab.runs.deployments import ServicePlan

PAUSE_SECONDS: Final = 0.5
CALL_SECONDS: Final = 5.0
LONGEST_COMEBACK_SECONDS: Final = 5.0
SHORTEST_COMEBACK_SECONDS: Final = 0.2
DONE: Final = 'done'
# A flow that was told one of these has lost its upstream or its owner.
BREAKING: Final = frozenset(
    (
        Reason.OWNER_LOST,
        Reason.EPOCH_CLOSED,
        Reason.DOMAIN_OUT,
        Reason.UPSTREAM_LOST,
        Reason.DEADLINE_PASSED,
    ),
)


@attrs.define(kw_only=True)
class CallRecord:
    """Hold one request and what its caller was told."""

    flow: str
    path: str
    posts: bool
    began: float
    ended: float = 0
    verdict: Verdict = Verdict.RAN
    reason: Reason | None = None
    answered: bool = True
    mixed: bool = False

    @property
    def done(self) -> bool:
        """Return True when the service answered."""
        return self.reason is None

    @property
    def outcome(self) -> str:
        """Name what the caller was told."""
        return DONE if self.reason is None else str(self.verdict)

    @property
    def breaks_flow(self) -> bool:
        """Return True when the flow's session could not go on."""
        return self.reason in BREAKING


@attrs.define(kw_only=True)
class Caller:
    """Keep one session open and send requests through it."""

    name: str
    plan: ServicePlan
    rng: Random
    until: float
    records: list[CallRecord]

    async def run(self, world: World) -> None:
        """Call again and again; come back when told to."""
        await trio.sleep(self.rng.uniform(0, PAUSE_SECONDS))
        number = 0
        async with world.session(self.plan.service) as session:
            while trio.current_time() < self.until:
                number += 1
                pause = await self.call(session, number)
                await trio.sleep(pause)

    async def call(self, session: Session, number: int) -> float:
        """Send one request; return how long to wait for the next."""
        name = f'{self.name}-{number}'
        record = CallRecord(
            flow=self.name,
            path=f'/{self.plan.path}/{name}',
            posts=self.rng.random() < self.plan.posts,
            began=trio.current_time(),
        )
        self.records.append(record)
        pause = self.rng.expovariate(1 / PAUSE_SECONDS)
        try:
            answer = await session.request(
                'POST' if record.posts else 'GET',
                (self.plan.path, name),
                payload=name.encode() if record.posts else b'',
                timeout_seconds=CALL_SECONDS,
            )
        except CallFailedError as error:
            record.verdict = error.verdict
            record.reason = error.reason
            gave_up = error.reason is Reason.DEADLINE_PASSED
            record.answered = bool(error.hops) or not gave_up
            pause = comeback(error)
        else:
            record.mixed = answered_path(answer) != record.path
        record.ended = trio.current_time()
        return pause


def comeback(error: CallFailedError) -> float:
    """Return when a caller comes back, as it was told."""
    told = min(error.retry_after_seconds, LONGEST_COMEBACK_SECONDS)
    return max(told, SHORTEST_COMEBACK_SECONDS)


def answered_path(answer: Answer) -> str:
    """Return the path that the upstream says it answered."""
    return str(json.loads(answer.payload).get('path'))
