"""Whole answers: every block is of the caller's own request."""

from functools import partial
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session
from burdocksill.documents.models import ServiceDocument
from burdocksill.entry.components import Components
from burdocksill.requests.blocks import RerunAnswerStore
from burdocksill.requests.messages import Answer
from burdocksill.requests.verdict import Verdict
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.base import Figure, ProofResult
from burdocksill_lab.stand_ins.statements import run_of, statement

SERVICE: Final = 'statement-desk'
DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
CALLERS: Final = 3
# Enough for every later block of the control run, which takes one each.
SLOTS: Final = 200
SIZE: Final = 24_000
BODY_BYTES: Final = 9_000
TIMEOUT_SECONDS: Final = 60.0
STORY_SECONDS: Final = 900.0


@attrs.define(kw_only=True)
class Story:
    """Fetch statements of the same path at once through bad links."""

    world: World
    trace: list[str] = attrs.field(factory=list)
    violation: str = ''
    fetched: int = 0
    bodies: list[bytes] = attrs.field(factory=list)

    async def run(self) -> None:
        """Start the fleet, fetch at once, then look into the ledgers."""
        await self.start()
        limit = trio.move_on_after(STORY_SECONDS)
        with limit:
            async with trio.open_nursery() as nursery:
                for number in range(CALLERS):
                    nursery.start_soon(self.call, number)
                nursery.start_soon(self.lose_entry_vm)
        if limit.cancelled_caught:
            self.blame('the callers never came to an end')
        self.check_ledgers()

    async def start(self) -> None:
        """Start two entry VMs in each domain, and the upstreams."""
        upstreams = [
            self.world.start_upstream(
                SERVICE, f'desk-{domain}', domain, slots=SLOTS
            )
            for domain in DOMAINS
        ]
        await self.world.put_document(
            ServiceDocument(
                service=SERVICE,
                team='vratka',
                # Warm at once: a refusal would hide what the control mixes.
                upstreams=tuple(
                    attrs.evolve(upstream, cold_limit=SLOTS)
                    for upstream in upstreams
                ),
            ),
        )
        for domain in DOMAINS:
            await self.world.start_node(f'{domain}-entry-1', domain)
        # This VM owns nothing, since its domain has no upstream.
        await self.world.start_node('relay-only', 'cz-d')
        await trio.sleep(1)
        faults = self.world.network.faults
        faults.loss = 0.05
        faults.copies = 0.1
        faults.jitter_seconds = 0.004

    async def lose_entry_vm(self) -> None:
        """End a VM that relays blocks while they are under way."""
        await trio.sleep(0.5)
        self.world.kill_node('relay-only')
        self.note('relay-only was killed')

    async def call(self, number: int) -> None:
        """Fetch one path twice at once, and post a body for a third answer."""
        body = f'{number}'.encode() * BODY_BYTES
        path = ('statements', f'{SIZE}')
        async with self.world.session(SERVICE) as session:
            async with trio.open_nursery() as nursery:
                for turn in range(2):
                    fetch = partial(self.fetch, session, 'GET', path)
                    nursery.start_soon(fetch, f'{number}.{turn}')
            self.bodies.append(body)
            await self.fetch(session, 'POST', path, f'{number}.post', body)

    async def fetch(
        self,
        session: Session,
        method: str,
        path: tuple[str, ...],
        name: str,
        body: bytes = b'',
    ) -> None:
        """Fetch one answer and check that it is of one run."""
        answer = await self.persist(session, method, path, body)
        if answer is None:
            return
        self.fetched += 1
        run = run_of(answer.payload)
        self.note(f'{name} fetched {len(answer.payload)} bytes of run {run}')
        by = answer.hops[-1]
        if answer.payload != statement(by=by, run=run, size=SIZE).encode():
            self.blame(f'{name}: the answer is not of one run')

    async def persist(
        self,
        session: Session,
        method: str,
        path: tuple[str, ...],
        body: bytes,
    ) -> Answer | None:
        """Ask again for as long as the request was not run."""
        while True:
            try:
                return await session.request(
                    method,
                    path,
                    payload=body,
                    timeout_seconds=TIMEOUT_SECONDS,
                )
            except CallFailedError as failure:
                self.note(f'{method} failed: {failure.reason}')
                if failure.verdict is not Verdict.NOT_RUN:
                    self.blame(f'{method} ended without its answer')
                    return None
                await trio.sleep(failure.retry_after_seconds)

    def check_ledgers(self) -> None:
        """Check that each body ran once and whole."""
        ran = sorted(
            entry.payload
            for upstream in self.world.upstreams.values()
            for entry in upstream.ledger
            if entry.method == 'POST'
        )
        if ran != sorted(self.bodies):
            self.blame(f'{len(ran)} bodies ran for {len(self.bodies)} sent')

    def blame(self, violation: str) -> None:
        """Keep the first violation."""
        self.violation = self.violation or violation

    def note(self, line: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{trio.current_time():.3f} {line}')


def rerun_answers(rng: object) -> RerunAnswerStore:
    """Make the naive baseline."""
    return RerunAnswerStore()


@attrs.frozen(kw_only=True)
class WholeAnswerProof:
    """Bring about loss, copies, reordering and a VM's end."""

    promise: str = 'A caller receives the whole answer to its own request'

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; a control runs a request for each block."""
        components = (
            Components(answers=rerun_answers) if control else Components()
        )

        async def main() -> Story:
            async with open_world(seed, components=components) as world:
                story = Story(world=world)
                await story.run()
                return story

        story = run_seeded(seed, main)
        return ProofResult(
            violation=story.violation,
            trace=tuple(story.trace),
            figures=(Figure(name='answers_fetched', value=story.fetched),),
        )


PROOF: Final = WholeAnswerProof()
