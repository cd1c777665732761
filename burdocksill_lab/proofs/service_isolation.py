"""Service isolation: no packet of one service reaches another."""

import json
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.callers.exceptions import CallFailedError
from burdocksill.callers.session import Session, open_session
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.entry.components import Components
from burdocksill.network.protocols import Address
from burdocksill.requests.messages import Answer
from burdocksill.upstreams.messages import Identity
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import FakeHost, LinkFaults
from burdocksill_lab.fakes.world import SERVICE_ADDRESS, World, open_world
from burdocksill_lab.proofs.base import Figure, ProofResult

LEDGER: Final = 'kiosk-ledger'
DESK: Final = 'statement-desk'
DOMAIN: Final = 'cz-a'
VMS: Final = 2
REQUESTS: Final = 12
PAUSE_SECONDS: Final = 0.5
PATIENCE_SECONDS: Final = 2.0
# Shorter than most answers take: they come late, to a port in new hands.
HASTE_SECONDS: Final = 0.012
FAULTS: Final = LinkFaults(
    loss=0.05,
    copies=0.2,
    jitter_seconds=0.01,
    late=0.1,
    late_seconds=5.0,
)


@attrs.define(kw_only=True)
class AnybodyVerifier:
    """Take whoever answers at an address: the naive baseline."""

    def verify(
        self, *, service: str, upstream: Upstream, seen: Identity
    ) -> None:
        """Accept every identity."""


@attrs.define(kw_only=True)
class Story:
    """Let two services live side by side while addresses change hands."""

    world: World
    rng: Random
    trace: list[str] = attrs.field(factory=list)
    violation: str = ''
    answered: int = 0
    desk: Upstream | None = None

    async def run(self) -> None:
        """Run callers of both services, then look into the ledgers."""
        await self.start()
        async with trio.open_nursery() as nursery:
            for service in (LEDGER, DESK):
                nursery.start_soon(self.call, service)
                nursery.start_soon(self.share_port, service)
            nursery.start_soon(self.swap_cookies)
            nursery.start_soon(self.give_address_away)
        self.check_ledgers()

    async def start(self) -> None:
        """Start the fleet and one upstream of each service."""
        for service in (LEDGER, DESK):
            upstream = self.world.start_upstream(
                service, f'{service}-1', DOMAIN
            )
            self.desk = upstream
            await self.world.put_document(
                ServiceDocument(
                    service=service, team='vratka', upstreams=(upstream,)
                ),
            )
        for number in range(VMS):
            await self.world.start_node(f'entry-{number}', DOMAIN)
        await trio.sleep(5)
        self.world.network.faults = FAULTS

    async def call(self, service: str) -> None:
        """Post for a while through one session."""
        async with self.world.session(service) as session:
            for _ in range(REQUESTS):
                await self.post(session, PATIENCE_SECONDS)
                await trio.sleep(PAUSE_SECONDS)

    async def share_port(self, service: str) -> None:
        """Leave answers behind for whoever gets the port next."""
        host = f'10.9.0.{len(service)}'
        for number in range(REQUESTS):
            current = service if number % 2 else other(service)
            async with open_session(
                service=current,
                server=SERVICE_ADDRESS,
                network=FakeHost(network=self.world.network, host=host),
                rng=Random(self.rng.random()),
                local=Address(host, 6000),
                wants_hops=True,
            ) as session:
                await self.post(session, HASTE_SECONDS)
                await self.post(session, PATIENCE_SECONDS)

    async def swap_cookies(self) -> None:
        """Send each service's cookies to the other one."""
        async with (
            self.world.session(LEDGER) as ledger,
            self.world.session(DESK) as desk,
        ):
            for _ in range(REQUESTS):
                await self.post(ledger, PATIENCE_SECONDS)
                await self.post(desk, PATIENCE_SECONDS)
                cookie = desk.cookie
                desk.cookie = ledger.cookie
                ledger.cookie = cookie

    async def give_address_away(self) -> None:
        """Let the desk's address go to a new upstream of the ledger.

        The desk's VM is gone and its document still names the address.
        """
        await trio.sleep(self.rng.uniform(1, 3))
        if self.desk is None:
            return
        host = self.desk.host
        self.world.network.kill(host)
        await trio.sleep(self.rng.uniform(0, 1))
        self.world.start_upstream(LEDGER, f'{LEDGER}-2', DOMAIN)
        stand_in = self.world.upstreams[f'{LEDGER}-2']
        self.world.network.listeners[self.desk.address] = stand_in.serve_stream
        self.note(f'the address {host} went to {stand_in.name}')

    async def post(self, session: Session, patience: float) -> None:
        """Post the service's own name and check who answers."""
        send = partial(
            session.request,
            'POST',
            ('returns',),
            payload=session.service.encode(),
            timeout_seconds=patience,
        )
        try:
            self.check_answer(session.service, await send())
        except CallFailedError as failure:
            self.note(f'{session.service} {failure.reason}')

    def check_answer(self, service: str, answer: Answer) -> None:
        """Check that the answer was written by the caller's service."""
        self.answered += 1
        author = json.loads(answer.payload)['by']
        self.note(f'{service} answered by {author}')
        if not author.startswith(service):
            self.blame(f'{service} was answered by {author}')

    def check_ledgers(self) -> None:
        """Check that every upstream got requests of its service only."""
        for name, upstream in self.world.upstreams.items():
            strangers = {
                entry.payload
                for entry in upstream.ledger
                if entry.payload != upstream.service.encode()
            }
            if strangers:
                self.blame(f'{name} got requests of {strangers}')

    def blame(self, violation: str) -> None:
        """Keep the first violation."""
        self.violation = self.violation or violation

    def note(self, line: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{trio.current_time():.3f} {line}')


def other(service: str) -> str:
    """Return the other of the two services."""
    return DESK if service == LEDGER else LEDGER


@attrs.frozen(kw_only=True)
class ServiceIsolationProof:
    """Bring about swapped cookies, reused ports and reused addresses."""

    promise: str = 'A packet meant for one service never reaches another'

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; a control trusts whoever answers at an address."""
        components = (
            Components(verifier=AnybodyVerifier) if control else Components()
        )

        async def main() -> Story:
            async with open_world(seed, components=components) as world:
                story = Story(world=world, rng=Random(seed))
                await story.run()
                return story

        story = run_seeded(seed, main)
        return ProofResult(
            violation=story.violation,
            trace=tuple(story.trace),
            figures=(Figure(name='answers', value=story.answered),),
        )


PROOF: Final = ServiceIsolationProof()
