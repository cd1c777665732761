"""Two or three faults together, and the promises that must still hold."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.acceptance import put_document, set_domain
from burdocksill.documents.models import (
    DomainState,
    ServiceDocument,
    Upstream,
)
from burdocksill.documents.store import LastWriterWinsRule
from burdocksill.entry.components import Components
from burdocksill.exceptions import BurdocksillError
from burdocksill.ownership.unknown_epochs import AlwaysRunPolicy
from burdocksill.platform.keys import document_key
from burdocksill.requests.window import NoDeduplicationWindow
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import LinkFaults
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.accounts import (
    Books,
    Told,
    check_honest,
    check_once,
    run_callers,
    runs,
)
from burdocksill_lab.proofs.base import Figure, ProofResult

SERVICE: Final = 'kiosk-ledger'
DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
VMS: Final = 2
CALLERS: Final = 6
REQUESTS: Final = 30
SETTLE_SECONDS: Final = 5.0
LONGEST_FAULT_SECONDS: Final = 4.0
# Packets are always copied and overtake each other now and then.
ALWAYS: Final = LinkFaults(copies=0.1, jitter_seconds=0.02)
FAULTS_PER_RUN: Final = (2, 3)

Fault = Callable[[], Awaitable[None]]


def domain_of(world: World, name: str) -> str:
    """Return a VM's failure domain."""
    settings = world.nodes[name].node.settings
    return settings.domain


@attrs.define(kw_only=True)
class CombinedStory:
    """Let faults overlap under load; nobody may be told an untruth."""

    world: World
    books: Books
    rng: Random
    violation: str = ''
    lines: list[Upstream] = attrs.field(factory=list)
    revision: int = 0
    started: int = 0
    # The highest revision that each process has had in force.
    seen: dict[int, int] = attrs.field(factory=dict)

    def fail(self, text: str) -> None:
        """Keep the first violation."""
        self.books.note(text)
        self.violation = self.violation or text

    async def hold(self) -> None:
        """Let a fault last for a while."""
        await trio.sleep(self.rng.uniform(1, LONGEST_FAULT_SECONDS))

    def pick(self) -> str:
        """Return the name of one VM."""
        return self.rng.choice(sorted(self.world.nodes))

    def begin(self, domain: str) -> None:
        """Start a VM under a new name and look at its every change."""
        self.started += 1
        name = f'{domain}-entry-{self.started}'
        running = self.world.begin_node(name, domain)
        look = partial(
            self.look, name, id(running), running.node.store.applied_revisions
        )
        running.node.store.listeners.append(look)

    def look(self, name: str, process: int, in_force: dict[str, int]) -> None:
        """Check that a document never goes back on a VM."""
        revision = in_force.get(document_key(SERVICE), 0)
        if revision < self.seen.get(process, 0):
            self.fail(f'{name} went back to {revision}')
        self.seen[process] = revision

    async def kill(self) -> None:
        """Kill a VM without a word and start another later."""
        name = self.pick()
        domain = domain_of(self.world, name)
        self.books.note(f'kill {name}')
        self.world.kill_node(name)
        await self.hold()
        self.begin(domain)

    async def pause(self) -> None:
        """Freeze a VM and let it go on."""
        name = self.pick()
        host = self.world.nodes[name].host
        self.books.note(f'pause {name}')
        self.world.network.pause(host)
        await self.hold()
        self.world.network.resume(host)

    async def cut(self) -> None:
        """Cut a failure domain off from the others."""
        domain = self.rng.choice(DOMAINS)
        some = self.hosts(domain, inside=True)
        self.books.note(f'cut {domain} off')
        self.world.network.cut(some, self.hosts(domain, inside=False))
        await self.hold()
        self.world.network.heal()

    async def one_way(self) -> None:
        """Cut one VM's way to all others."""
        name = self.pick()
        host = self.world.nodes[name].host
        others = [
            running.host
            for other, running in self.world.nodes.items()
            if other != name
        ]
        self.books.note(f'nobody hears {name}')
        self.world.network.cut([host], others, one_way=True)
        await self.hold()
        self.world.network.heal()

    async def outage(self) -> None:
        """Take the store down."""
        self.books.note('the store is down')
        self.world.platform.set_down(down=True)
        await self.hold()
        self.world.platform.set_down(down=False)

    async def edit(self) -> None:
        """Edit the document twice, an answer lost."""
        self.world.platform.faults.lost_answers = 1
        for _ in range(2):
            await self.put()
            await trio.sleep(self.rng.uniform(0, 1))

    async def put(self) -> None:
        """Accept an edit; a store that is down may refuse it."""
        document = ServiceDocument(
            service=SERVICE,
            team='vratka',
            upstreams=tuple(self.lines),
            deadline_seconds=self.rng.uniform(5, 10),
        )
        try:
            accepted = await put_document(self.world.platform, document)
        except BurdocksillError as error:
            self.books.note(error.code)
            return
        self.revision = accepted.revision
        self.books.note(f'accepted {self.revision}')

    async def domain_out(self) -> None:
        """Take a failure domain out and return it."""
        domain = self.rng.choice(DOMAINS)
        for state in (DomainState.OUT, DomainState.IN_SERVICE):
            try:
                await set_domain(
                    self.world.platform,
                    domain=domain,
                    state=state,
                )
            except BurdocksillError as error:
                self.books.note(error.code)
            self.books.note(f'{domain} {state.value}')
            await self.hold()

    async def stop(self) -> None:
        """Stop a VM as planned and start another."""
        name = self.pick()
        domain = domain_of(self.world, name)
        self.books.note(f'stop {name}')
        await self.world.stop_node(name)
        self.begin(domain)

    async def loss(self) -> None:
        """Lose, copy and reorder packets."""
        self.books.note('packets are lost')
        self.world.network.faults = LinkFaults(
            loss=0.2,
            copies=0.1,
            jitter_seconds=0.05,
        )
        await self.hold()
        self.world.network.faults = ALWAYS

    def hosts(self, domain: str, *, inside: bool) -> list[str]:
        """Return the hosts of a failure domain, or all others."""
        return [
            running.host
            for running in self.world.nodes.values()
            if (running.node.settings.domain == domain) is inside
        ]

    def faults(self) -> list[Fault]:
        """Return every fault that a seed may pick."""
        return [
            self.kill,
            self.pause,
            self.cut,
            self.one_way,
            self.outage,
            self.edit,
            self.domain_out,
            self.stop,
            self.loss,
        ]

    async def run(self) -> None:
        """Run callers through the seed's faults."""
        for domain in DOMAINS:
            self.lines.append(
                self.world.start_upstream(SERVICE, domain, domain, slots=4),
            )
        await self.put()
        for domain in DOMAINS * VMS:
            self.begin(domain)
        await trio.sleep(SETTLE_SECONDS)
        self.world.network.faults = ALWAYS
        chosen = self.rng.sample(
            self.faults(),
            self.rng.choice(FAULTS_PER_RUN),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.call)
            for fault in chosen:
                nursery.start_soon(fault)
                await trio.sleep(self.rng.uniform(0, 1.5))
        await trio.sleep(SETTLE_SECONDS)
        self.check_in_force()

    async def call(self) -> None:
        """Post counts from several sessions."""
        await run_callers(
            self.world,
            self.books,
            service=SERVICE,
            callers=CALLERS,
            requests=REQUESTS,
        )

    def check_in_force(self) -> None:
        """Look whether every VM has the last edit in force."""
        for name, running in sorted(self.world.nodes.items()):
            found = running.node.store.applied_revisions.get(
                document_key(SERVICE), 0
            )
            if running.node.serving.is_set() and found < self.revision:
                self.fail(f'{name} has {found}, not {self.revision}')


async def story(
    seed: int, components: Components, books: Books
) -> CombinedStory:
    """Run one story and check the callers' accounts."""
    async with open_world(seed, components=components) as world:
        run = CombinedStory(world=world, books=books, rng=Random(seed))
        await run.run()
        ran = runs(
            [entry.payload for entry in stand_in.ledger]
            for stand_in in world.upstreams.values()
        )
        broken = check_once(books, ran) or check_honest(books, ran)
        if broken:
            run.fail(broken)
    return run


@attrs.frozen(kw_only=True)
class CombinedProof:
    """Prove the promises under faults that come together."""

    promise: str = 'All promises hold when two or three faults come together.'

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run one seed; the control has no window and no revision rule."""
        components = Components()
        if control:
            components = Components(
                window=NoDeduplicationWindow,
                unknown_epoch_policy=AlwaysRunPolicy,
                revision_rule=LastWriterWinsRule,
            )
        books = Books()
        ended = run_seeded(seed, partial(story, seed, components, books))
        return ProofResult(
            violation=ended.violation,
            trace=tuple(books.trace),
            figures=(
                Figure(name='requests', value=len(books.accounts)),
                Figure(name='done', value=books.count(Told.DONE)),
                Figure(name='not run', value=books.count(Told.NOT_RUN)),
                Figure(
                    name='may have run',
                    value=books.count(Told.MAY_HAVE_RUN),
                ),
            ),
        )


PROOF: Final = CombinedProof()
