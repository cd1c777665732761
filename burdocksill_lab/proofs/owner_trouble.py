"""Faults of an upstream's owner while callers post through it."""

from collections import Counter
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument
from burdocksill.entry.components import Components
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import LinkFaults
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.accounts import (
    Books,
    Told,
    run_callers,
    runs,
)
from burdocksill_lab.proofs.base import Figure
from burdocksill_lab.stand_ins.upstream import DEFAULT_WORK_SECONDS

SERVICE: Final = 'kiosk-ledger'
UPSTREAM: Final = 'ledger-1'
DOMAIN: Final = 'cz-a'
VMS: Final = 3
CALLERS: Final = 6
SLOTS: Final = 8
REQUESTS: Final = 12
# Late copies of old packets still arrive after the callers have gone.
TAIL_SECONDS: Final = 40.0
SETTLE_SECONDS: Final = 4.0
FAULTS_PER_STORY: Final = 2
ALL_FAULTS: Final = (
    'kill',
    'pause',
    'cut',
    'stop',
    'stop_unheard',
    'stop_and_kill_heir',
    'join',
)
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

    async def bring(self, fault: str) -> None:
        """Bring a fault on by its name."""
        await getattr(self, fault)()


async def start_fleet(world: World) -> None:
    """Start one upstream and its failure domain's entry VMs."""
    upstream = world.start_upstream(SERVICE, UPSTREAM, DOMAIN, slots=SLOTS)
    document = ServiceDocument(
        service=SERVICE,
        team='vratka',
        # No ramp: cold starts are another proof's story.
        upstreams=(attrs.evolve(upstream, cold_limit=SLOTS),),
    )
    await world.put_document(document)
    for number in range(VMS):
        await world.start_node(f'{DOMAIN}-entry-{number}', DOMAIN)
    await trio.sleep(SETTLE_SECONDS)


@attrs.frozen(kw_only=True)
class Plan:
    """Say what a story does: which guards, faults and work."""

    seed: int
    components: Components
    # Names of methods of Trouble; a seed picks two of them.
    faults: tuple[str, ...] = ALL_FAULTS
    work_seconds: float = DEFAULT_WORK_SECONDS
    # Quiet time before the first fault, so that work is in progress.
    lead_seconds: float = 0


async def story(plan: Plan, books: Books) -> dict[str, list[bytes]]:
    """Run callers through faults; return each upstream's ledger."""
    async with open_world(plan.seed, components=plan.components) as world:
        await start_fleet(world)
        world.upstreams[UPSTREAM].work_seconds = plan.work_seconds
        world.network.faults = FAULTS
        rng = Random(world.rng.random())
        trouble = Trouble(world=world, books=books, rng=rng)
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
            await trio.sleep(plan.lead_seconds)
            count = min(FAULTS_PER_STORY, len(plan.faults))
            for fault in rng.sample(plan.faults, count):
                await trio.sleep(rng.uniform(0.5, 2))
                await trouble.bring(fault)
        await trio.sleep(TAIL_SECONDS)
        return {
            name: [entry.payload for entry in stand_in.ledger]
            for name, stand_in in world.upstreams.items()
        }


def run_story(plan: Plan, books: Books) -> Counter[bytes]:
    """Run a story to its end; count how often each request ran."""
    ledgers = run_seeded(plan.seed, partial(story, plan, books))
    return runs(ledgers.values())


def figures(books: Books, ran: Counter[bytes]) -> tuple[Figure, ...]:
    """Return what the callers were told and how much ran."""
    told = tuple(
        Figure(name=kind.value, value=books.count(kind)) for kind in Told
    )
    return (*told, Figure(name='runs', value=ran.total()))
