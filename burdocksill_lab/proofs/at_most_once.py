"""A non-idempotent request runs at most once."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument
from burdocksill.entry.guards import Guards
from burdocksill.ownership.foreign import EagerForeignRule
from burdocksill.requests.window import ForgetfulWindow
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import LinkFaults
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.accounts import (
    Books,
    Told,
    check_once,
    run_callers,
    runs,
)
from burdocksill_lab.proofs.base import Figure, ProofResult

SERVICE: Final = 'kiosk-ledger'
UPSTREAM: Final = 'ledger-1'
DOMAIN: Final = 'cz-a'
VMS: Final = 3
CALLERS: Final = 6
REQUESTS: Final = 12
# Late copies of old packets still arrive after the callers have gone.
TAIL_SECONDS: Final = 40.0
SETTLE_SECONDS: Final = 4.0
FAULTS: Final = LinkFaults(
    loss=0.05,
    copies=0.2,
    jitter_seconds=0.02,
    late=0.1,
    late_seconds=20.0,
)


@attrs.define(kw_only=True)
class Trouble:
    """Bring one fault on the owner of the upstream."""

    world: World
    books: Books
    rng: Random

    def owner(self) -> str:
        """Return the VM that owns the upstream now."""
        for name, running in self.world.nodes.items():
            if running.node.owners.owned:
                return name
        return next(iter(self.world.nodes))

    async def kill(self) -> None:
        """Kill the owner without a word."""
        name = self.owner()
        self.books.note(f'kill {name}')
        self.world.kill_node(name)

    async def pause(self) -> None:
        """Freeze the owner beyond its detection and let it go on."""
        name = self.owner()
        host = self.world.nodes[name].host
        self.books.note(f'pause {name}')
        self.world.network.pause(host)
        await trio.sleep(self.rng.uniform(1, 6))
        self.books.note(f'resume {name}')
        self.world.network.resume(host)

    async def cut(self) -> None:
        """Cut the owner off from its peers while callers still reach it."""
        name = self.owner()
        host = self.world.nodes[name].host
        others = [
            running.host
            for other, running in self.world.nodes.items()
            if other != name
        ]
        self.books.note(f'cut off {name}')
        self.world.network.cut([host], others)
        await trio.sleep(self.rng.uniform(1, 6))
        self.books.note('heal')
        self.world.network.heal()

    async def stop(self) -> None:
        """Stop the owner as planned."""
        name = self.owner()
        self.books.note(f'stop {name}')
        await self.world.stop_node(name)

    async def stop_unheard(self) -> None:
        """Stop the owner as planned, but lose every acknowledgement."""
        name = self.owner()
        host = self.world.nodes[name].host
        others = [
            running.host
            for other, running in self.world.nodes.items()
            if other != name
        ]
        self.books.note(f'stop {name}, acknowledgements lost')
        self.world.network.cut(others, [host], one_way=True)
        await self.world.stop_node(name)
        self.world.network.heal()

    async def stop_and_kill_heir(self) -> None:
        """Stop the owner and kill a second VM in the middle of it."""
        name = self.owner()
        self.books.note(f'stop {name}')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.stop_node, name)
            await trio.sleep(self.rng.uniform(0, 0.6))
            heir = self.rng.choice(sorted(self.world.nodes))
            self.books.note(f'kill {heir}')
            self.world.kill_node(heir)

    async def join(self) -> None:
        """Let new VMs join, which changes who owns the upstream."""
        for number in range(2):
            name = f'{DOMAIN}-joined-{number}'
            self.books.note(f'start {name}')
            await self.world.start_node(name, DOMAIN)
            await trio.sleep(self.rng.uniform(0, 1))

    def all(self) -> list[Callable[[], Awaitable[None]]]:
        """Return every fault that a seed may pick."""
        return [
            self.kill,
            self.pause,
            self.cut,
            self.stop,
            self.stop_unheard,
            self.stop_and_kill_heir,
            self.join,
        ]


async def start_fleet(world: World) -> None:
    """Start one upstream and its failure domain's entry VMs."""
    upstream = world.start_upstream(SERVICE, UPSTREAM, DOMAIN, slots=4)
    document = ServiceDocument(
        service=SERVICE,
        team='vratka',
        upstreams=(upstream,),
    )
    await world.put_document(document)
    for number in range(VMS):
        await world.start_node(f'{DOMAIN}-entry-{number}', DOMAIN)
    await trio.sleep(SETTLE_SECONDS)


async def story(
    *,
    seed: int,
    guards: Guards,
    books: Books,
) -> dict[str, list[bytes]]:
    """Run callers through faults; return each upstream's ledger."""
    async with open_world(seed, guards=guards) as world:
        await start_fleet(world)
        world.network.faults = FAULTS
        rng = Random(world.rng.random())
        trouble = Trouble(world=world, books=books, rng=rng)
        faults = rng.sample(trouble.all(), 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(
                    run_callers,
                    world,
                    books,
                    service=SERVICE,
                    callers=CALLERS,
                    requests=REQUESTS,
                ),
            )
            for fault in faults:
                await trio.sleep(rng.uniform(0.5, 2))
                await fault()
        await trio.sleep(TAIL_SECONDS)
        return {
            name: [entry.payload for entry in stand_in.ledger]
            for name, stand_in in world.upstreams.items()
        }


@attrs.define(kw_only=True)
class AtMostOnceProof:
    """Post counts through faults of their owner and read the ledgers."""

    promise: str = 'A non-idempotent request runs at most once.'

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control forgets tokens and runs everything."""
        guards = Guards()
        if control:
            guards = Guards(window=ForgetfulWindow, foreign=EagerForeignRule)
        books = Books()
        ledgers = run_seeded(
            seed,
            partial(story, seed=seed, guards=guards, books=books),
        )
        ran = runs(ledgers.values())
        return ProofResult(
            violation=check_once(books, ran),
            trace=tuple(books.trace),
            figures=(
                Figure(name='requests', value=len(books.accounts)),
                Figure(name='done', value=books.count(Told.DONE)),
                Figure(name='not run', value=books.count(Told.NOT_RUN)),
                Figure(
                    name='may have run',
                    value=books.count(Told.MAY_HAVE_RUN),
                ),
                Figure(name='runs', value=ran.total()),
            ),
        )


PROOF: Final = AtMostOnceProof()
