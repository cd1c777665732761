"""A document once accepted is in force everywhere soon and never reverts."""

from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.acceptance import put_document
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import LastWriterWinsRule
from burdocksill.entry.components import Components
from burdocksill.flows.keys import KeyRing
from burdocksill.network.protocols import Address
from burdocksill.platform.keys import document_key
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import RunningNode, World, open_world
from burdocksill_lab.proofs.base import Figure, ProofResult

SERVICE: Final = 'kiosk-ledger'
DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
# More than watch the store, so that gossip has to carry records.
NODES: Final = 5
LIMIT_SECONDS: Final = 5.0
POLL_SECONDS: Final = 0.05
OUTAGE_SECONDS: Final = 4.0
LATE_SECONDS: Final = 3.0


@attrs.define(kw_only=True)
class InForceStory:
    """Edit one document while its VMs lose and find each other."""

    world: World
    rng: Random
    trace: list[str] = attrs.field(factory=list)
    violation: str = ''
    slowest: float = 0
    revision: int = 0
    # The highest revision that each VM's process has had in force.
    seen: dict[tuple[str, int], int] = attrs.field(factory=dict)

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{trio.current_time():.2f} {text}')

    def fail(self, text: str) -> None:
        """Keep the first violation."""
        self.note(text)
        self.violation = self.violation or text

    def begin(
        self,
        name: str,
        domain: str,
        *,
        seeds: tuple[Address, ...] = (),
        ring: KeyRing | None = None,
    ) -> None:
        """Start a VM and look at it at each change: it may never go back."""
        running = self.world.begin_node(name, domain, seeds=seeds, ring=ring)
        look = partial(self.look, name, running)
        running.node.store.listeners.append(look)

    def look(self, name: str, running: RunningNode) -> None:
        """Compare what is in force on a VM with what was."""
        revision = self.in_force(running)
        process = (name, id(running))
        before = self.seen.get(process, 0)
        if revision < before:
            self.fail(f'{name} went back from {before} to {revision}')
        self.seen[process] = max(before, revision)

    def in_force(self, running: RunningNode) -> int:
        """Return the revision of the document in force on a VM."""
        return running.node.store.applied_revisions.get(
            document_key(SERVICE), 0
        )

    async def edit(self, number: int) -> None:
        """Accept one edit, its answer lost now and then."""
        platform = self.world.platform
        platform.faults.lost_answers = self.rng.randrange(2)
        accepted = await put_document(platform, document(number))
        platform.faults.lost_answers = 0
        self.revision = accepted.revision
        self.note(f'edit {number} accepted at {accepted.revision}')

    async def settle(self) -> None:
        """Wait until the last edit is in force everywhere, at most 5 s."""
        started = trio.current_time()
        while self.behind():
            await trio.sleep(POLL_SECONDS)
            if trio.current_time() - started > LIMIT_SECONDS:
                behind = ', '.join(self.behind())
                self.fail(f'{self.revision} is not in force on {behind}')
                return
        self.slowest = max(self.slowest, trio.current_time() - started)

    def behind(self) -> list[str]:
        """Return the VMs on which an older revision is in force."""
        return [
            name
            for name, running in self.world.nodes.items()
            if self.in_force(running) < self.revision
        ]

    async def overtaking(self) -> None:
        """Let two edits follow each other at once over a jittery network."""
        self.world.network.faults.jitter_seconds = 0.2
        self.world.network.faults.copies = 0.2
        self.world.network.faults.loss = 0.1
        await self.edit(1)
        await self.edit(2)
        await self.settle()
        self.world.network.faults.jitter_seconds = 0

    async def healed_cut(self) -> None:
        """Cut a failure domain off from all, the platform too; then heal."""
        cut = self.hosts(self.rng.choice(DOMAINS))
        others = [
            running.host
            for running in self.world.nodes.values()
            if running.host not in cut
        ]
        self.world.network.cut(cut, [*others, 'platform'])
        self.note('a failure domain is cut off')
        await self.edit(3)
        await trio.sleep(OUTAGE_SECONDS)
        self.world.network.heal()
        self.note('the cut heals')
        await self.settle()

    async def stale_store(self) -> None:
        """Let a VM start from a store that answers from before an edit."""
        platform = self.world.platform
        platform.faults.stale_at = platform.revision
        await self.edit(4)
        await self.settle()
        self.restart()
        await trio.sleep(OUTAGE_SECONDS)
        platform.faults.stale_at = None
        await self.settle()

    async def late_answer(self) -> None:
        """Let old snapshots arrive after gossip has told of an edit."""
        platform = self.world.platform
        platform.set_down(down=True)
        await trio.sleep(OUTAGE_SECONDS)
        platform.faults.late_answer = self.pick_delay
        platform.set_down(down=False)
        await trio.sleep(LATE_SECONDS / 2)
        await self.edit(5)
        await self.settle()
        await trio.sleep(LATE_SECONDS)
        platform.faults.late_answer = None

    def pick_delay(self) -> float:
        """Answer some at once and others late."""
        return self.rng.choice((0, LATE_SECONDS))

    async def outage(self) -> None:
        """Restart a VM while the store is down right after an edit."""
        await self.edit(6)
        await self.settle()
        self.world.platform.set_down(down=True)
        self.note('the store is down')
        self.restart()
        await trio.sleep(OUTAGE_SECONDS)
        self.world.platform.set_down(down=False)
        await self.settle()

    async def paused(self) -> None:
        """Freeze a VM over an edit; it wakes with the old document."""
        name = self.rng.choice(sorted(self.world.nodes))
        host = self.world.nodes[name].host
        self.world.network.pause(host)
        self.note(f'{name} is paused')
        await self.edit(7)
        await trio.sleep(OUTAGE_SECONDS)
        self.world.network.resume(host)
        await self.settle()

    def restart(self) -> None:
        """Replace a VM by one that knows nothing but the fleet's keys."""
        name = self.rng.choice(sorted(self.world.nodes))
        running = self.world.nodes[name]
        seeds = tuple(
            other.node.settings.peer
            for key, other in self.world.nodes.items()
            if key != name
        )
        self.note(f'{name} restarts')
        self.world.kill_node(name)
        self.begin(
            name,
            running.node.settings.domain,
            seeds=seeds,
            ring=running.node.keys.ring,
        )

    def hosts(self, domain: str) -> list[str]:
        """Return the hosts of a failure domain."""
        return [
            running.host
            for running in self.world.nodes.values()
            if running.node.settings.domain == domain
        ]

    async def run(self) -> None:
        """Run the faults in an order of the seed's."""
        await self.edit(0)
        for domain in DOMAINS:
            for number in range(NODES):
                self.begin(f'{domain}-{number}', domain)
        await trio.sleep(2)
        faults = [
            self.overtaking,
            self.healed_cut,
            self.stale_store,
            self.late_answer,
            self.outage,
            self.paused,
        ]
        for fault in self.rng.sample(faults, len(faults)):
            self.note(fault.__name__)
            await fault()


def document(number: int) -> ServiceDocument:
    """Make an edit that can be told from the others."""
    return ServiceDocument(
        service=SERVICE,
        team='vratka',
        deadline_seconds=1 + number,
        upstreams=(
            Upstream(
                name='ledger-1',
                domain=DOMAINS[0],
                host='192.0.2.7',
                port=8080,
                slots=2,
                connections=2000,
            ),
        ),
    )


@attrs.frozen(kw_only=True)
class DocumentInForceProof:
    """Prove that an accepted document comes into force and never reverts."""

    promise: str = (
        'An accepted document is in force everywhere within 5 s and never '
        'reverts.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control lets the last writer win."""
        components = (
            Components(revision_rule=LastWriterWinsRule)
            if control
            else Components()
        )

        async def main() -> ProofResult:
            async with open_world(seed, components=components) as world:
                story = InForceStory(world=world, rng=Random(seed))
                await story.run()
            return ProofResult(
                violation=story.violation,
                trace=tuple(story.trace),
                figures=(Figure(name='slowest_seconds', value=story.slowest),),
            )

        return run_seeded(seed, main)


PROOF: Final = DocumentInForceProof()
