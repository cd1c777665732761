"""Prove that a cold upstream receives no more load than it can bear."""

from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.entry.components import Components
from burdocksill.requests.verdict import Verdict
from burdocksill.upstreams.limits import FixedLimiter
from burdocksill.upstreams.protocols import Limiter
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.base import Figure, ProofResult
from burdocksill_lab.workload import Workload

SERVICE: Final = 'kiosk-ledger'
DOMAIN: Final = 'cz-a'
ENTRY_VMS: Final = ('cz-a-entry-1', 'cz-a-entry-2', 'cz-a-entry-3')
FIRST: Final = 'ledger-1'
SECOND: Final = 'ledger-2'
SLOTS: Final = 2
CALLERS: Final = 8
PAUSE_SECONDS: Final = 0.05
WORK_SECONDS: Final = 0.1
SETTLE_SECONDS: Final = 3.0
OVERLAP_ROUNDS: Final = 8


def all_slots_at_once(upstream: Upstream, rng: Random) -> Limiter:
    """Make the naive baseline: no cold start, all slots from the first."""
    return FixedLimiter(slots=upstream.slots)


@attrs.define(kw_only=True)
class ColdStartStory:
    """Turn upstreams cold in four ways under more load than they bear."""

    world: World
    # The upstreams that got too little work to become warm.
    idle: tuple[str, ...] = ()
    trace: list[str] = attrs.field(factory=list)

    async def run(self) -> None:
        """Run the four stories one after the other under steady load."""
        await self.prepare()
        work = Workload(
            service=SERVICE,
            until=trio.current_time() + 5 * SETTLE_SECONDS + OVERLAP_ROUNDS,
            pause_seconds=PAUSE_SECONDS,
        )
        async with trio.open_nursery() as nursery:
            work.start(self.world, nursery, CALLERS)
            await self.restart_one()
            await self.return_domain()
            await self.restart_in_ramp()
            self.idle = tuple(
                name for name, one in self.world.upstreams.items() if one.cold
            )
            work.start(self.world, nursery, CALLERS)
            await self.overlap_owners()
        self.note(
            f'{work.count(Verdict.RAN)} ran, '
            f'{work.count(Verdict.NOT_RUN)} not run, '
            f'{work.count(Verdict.MAY_HAVE_RUN)} may have run',
        )

    async def prepare(self) -> None:
        """Start two upstreams, cold, and three VMs that may own them."""
        upstreams = tuple(
            self.world.start_upstream(SERVICE, name, DOMAIN, slots=SLOTS)
            for name in (FIRST, SECOND)
        )
        for stand_in in self.world.upstreams.values():
            stand_in.work_seconds = WORK_SECONDS
            stand_in.turn_cold()
        await self.world.put_document(
            ServiceDocument(
                service=SERVICE,
                team='vratka',
                upstreams=upstreams,
            ),
        )
        for name in ENTRY_VMS:
            await self.world.start_node(name, DOMAIN)
        # The VMs have to know of each other before callers come.
        await trio.sleep(SETTLE_SECONDS)

    async def restart_one(self) -> None:
        """Restart a single upstream under load."""
        await trio.sleep(SETTLE_SECONDS)
        self.world.upstreams[FIRST].restart()
        self.note('one restarted')
        await trio.sleep(SETTLE_SECONDS)

    async def return_domain(self) -> None:
        """Let all upstreams of the failure domain return at once."""
        for stand_in in self.world.upstreams.values():
            stand_in.restart()
        self.note('all restarted')
        await trio.sleep(SETTLE_SECONDS)

    async def restart_in_ramp(self) -> None:
        """Let an upstream be cold again before it was warm."""
        stand_in = self.world.upstreams[SECOND]
        stand_in.restart()
        await trio.sleep(self.world.rng.uniform(0.2, 1))
        stand_in.restart()
        self.note('restarted in mid-ramp')
        await trio.sleep(SETTLE_SECONDS)

    async def overlap_owners(self) -> None:
        """Cut an owner off from its peers, but from no upstream or caller.

        It believes that it still owns its upstreams, and the others take
        them over; whenever both might serve, the upstreams are cold.
        """
        owner = self.owner_name()
        host = self.world.nodes[owner].host
        others = [
            running.host
            for name, running in self.world.nodes.items()
            if name != owner
        ]
        self.world.network.cut([host], others)
        for _ in range(OVERLAP_ROUNDS):
            for stand_in in self.world.upstreams.values():
                stand_in.restart()
            await trio.sleep(1)
        self.note(f'{owner} was cut off, all restarted again and again')
        self.world.network.heal()
        await trio.sleep(SETTLE_SECONDS)

    def owner_name(self) -> str:
        """Return the VM that owns the first upstream."""
        return next(
            name
            for name, running in self.world.nodes.items()
            for hint in running.node.hints.hints()
            if hint.upstream == FIRST
        )

    def note(self, text: str) -> None:
        """Add a line with each upstream's state to the trace."""
        states = ', '.join(
            f'{name} bears {one.bearable} did {len(one.ledger)}'
            f' falls {one.falls} over {one.most_over}'
            for name, one in self.world.upstreams.items()
        )
        self.trace.append(f'{trio.current_time():.3f} {text}: {states}')


@attrs.define(kw_only=True)
class ColdStartProof:
    """Count the falls of upstreams that fall over above their cold limit."""

    promise: str = (
        'An upstream that has just started receives no more load than it '
        'can bear.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control gives all slots at once."""
        components = Components()
        if control:
            components = Components(limiter=all_slots_at_once)

        async def story() -> ProofResult:
            async with open_world(seed, components=components) as world:
                told = ColdStartStory(world=world)
                await told.run()
                return judge(told)

        return run_seeded(seed, story)


def judge(story: ColdStartStory) -> ProofResult:
    """Compare the most work at once with what was bearable."""
    stand_ins = story.world.upstreams.values()
    over = max(one.most_over for one in stand_ins)
    falls = sum(one.falls for one in stand_ins)
    violation = ''
    if over > 0:
        violation = f'{falls} falls, {over} above what an upstream bore'
    elif story.idle:
        violation = f'{story.idle} got too little work to become warm'
    return ProofResult(
        violation=violation,
        trace=tuple(story.trace),
        figures=(
            Figure(name='falls', value=falls),
            Figure(name='most_over', value=over),
            Figure(
                name='ran',
                value=sum(len(one.ledger) for one in stand_ins),
            ),
        ),
    )


PROOF: Final = ColdStartProof()
