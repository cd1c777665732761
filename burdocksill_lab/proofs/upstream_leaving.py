"""Prove that an upstream that starts to leave soon receives no new work."""

from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.entry.components import Components
from burdocksill.platform.protocols import VmRecord, VmState
from burdocksill.requests.verdict import Verdict
from burdocksill.upstreams.departures import NeverLeavingRule
from burdocksill.upstreams.health import HealthState
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.proofs.base import Figure, ProofResult
from burdocksill_lab.workload import Workload

SERVICE: Final = 'rounds'
DOMAINS: Final = ('valley', 'centre')
LISTED: Final = 'rounds-1'
TOLD: Final = 'rounds-2'
WRITTEN: Final = 'rounds-3'
GOES_AWAY: Final = 'rounds-4'
STAYS: Final = ('rounds-5', 'rounds-6')
SLOTS: Final = 3
CALLERS: Final = 10
PAUSE_SECONDS: Final = 0.3
# Long enough that each upstream has work in progress when it leaves.
WORK_SECONDS: Final = 0.15
JOIN_SECONDS: Final = 4.0
WARM_SECONDS: Final = 4.0
GAP_SECONDS: Final = 3.0
ALLOWED_SECONDS: Final = 2.0


@attrs.define(kw_only=True)
class LeavingStory:
    """Let four upstreams leave, each told in another way, under load."""

    world: World
    upstreams: tuple[Upstream, ...] = ()
    # When each upstream started to leave.
    left: dict[str, float] = attrs.field(factory=dict)
    trace: list[str] = attrs.field(factory=list)
    work: Workload = attrs.field(init=False)

    async def run(self) -> None:
        """Run callers and let the upstreams leave one after the other."""
        await self.prepare()
        self.work = Workload(
            service=SERVICE,
            until=trio.current_time() + WARM_SECONDS + 5 * GAP_SECONDS,
            pause_seconds=PAUSE_SECONDS,
            # All upstreams are cold: callers come one after the other.
            begin_seconds=WARM_SECONDS / 2,
        )
        async with trio.open_nursery() as nursery:
            self.work.start(self.world, nursery, CALLERS)
            await trio.sleep(WARM_SECONDS)
            for name in (LISTED, TOLD, WRITTEN, GOES_AWAY):
                self.left[name] = trio.current_time()
                await self.leave(name)
                self.note(f'{name} leaves')
                await trio.sleep(GAP_SECONDS)
        self.note('end')

    async def prepare(self) -> None:
        """Start six upstreams and an owner in each failure domain."""
        names = (LISTED, TOLD, WRITTEN, GOES_AWAY, *STAYS)
        self.upstreams = tuple(
            self.world.start_upstream(
                SERVICE,
                name,
                DOMAINS[index % 2],
                slots=SLOTS,
            )
            for index, name in enumerate(names)
        )
        for stand_in in self.world.upstreams.values():
            stand_in.work_seconds = WORK_SECONDS
        await self.put_document()
        for domain in DOMAINS:
            for number in range(1, 6):
                name = f'{domain}-entry-{number}'
                await self.world.start_node(name, domain)
        # The VMs have to know of each other before callers come.
        await trio.sleep(JOIN_SECONDS)

    async def put_document(self) -> None:
        """Put the document with what is said to drain."""
        upstreams = tuple(
            attrs.evolve(upstream, draining=upstream.name in self.left)
            if upstream.name == WRITTEN
            else upstream
            for upstream in self.upstreams
        )
        await self.world.put_document(
            ServiceDocument(
                service=SERVICE,
                team='vecinas',
                upstreams=upstreams,
            ),
        )

    async def leave(self, name: str) -> None:
        """Say in one of the four ways that an upstream leaves."""
        stand_in = self.world.upstreams[name]
        match name:
            case 'rounds-1':
                self.list_leaving(name)
            case 'rounds-2':
                stand_in.state = HealthState.DRAINING
            case 'rounds-3':
                await self.put_document()
            case _:
                stand_in.state = HealthState.DRAINING
                stand_in.send_goaway()

    def list_leaving(self, name: str) -> None:
        """Put an upstream's VM on the platform's list as leaving."""
        upstream = next(one for one in self.upstreams if one.name == name)
        self.world.platform.put_vm(
            VmRecord(
                name=f'vm-{name}',
                domain=upstream.domain,
                role='upstream',
                host=upstream.host,
                state=VmState.LEAVING,
            ),
        )

    def note(self, text: str) -> None:
        """Add a line with what each upstream was asked to the trace."""
        counts = ' '.join(
            str(len(one.arrivals)) for one in self.world.upstreams.values()
        )
        self.trace.append(f'{trio.current_time():.3f} {text}: {counts}')

    def latest(self, name: str) -> float:
        """Return how long after leaving an upstream got its last request."""
        arrivals = self.world.upstreams[name].arrivals
        return max(arrivals, default=0) - self.left[name]


@attrs.define(kw_only=True)
class UpstreamLeavingProof:
    """Look for requests at upstreams that left, and for flows that broke."""

    promise: str = (
        'Within a few seconds of an upstream starting to leave, it receives '
        'no new work.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control takes no notice of who leaves."""
        components = Components()
        if control:
            components = Components(
                leaving_rule=lambda store: NeverLeavingRule(store=store),
            )

        async def story() -> ProofResult:
            async with open_world(seed, components=components) as world:
                told = LeavingStory(world=world)
                await told.run()
                return judge(told)

        return run_seeded(seed, story)


def judge(story: LeavingStory) -> ProofResult:
    """Compare the last new request of each upstream with when it left."""
    latest = max(story.latest(name) for name in story.left)
    late = [name for name in story.left if story.latest(name) > ALLOWED_SECONDS]
    cut = story.work.count(Verdict.MAY_HAVE_RUN)
    refused = story.work.count(Verdict.NOT_RUN)
    violation = ''
    if late:
        violation = f'{late} got new work {latest:.2f} s after leaving'
    elif cut:
        violation = f'{cut} requests in progress were cut'
    elif refused:
        violation = f'{refused} requests found no other upstream'
    return ProofResult(
        violation=violation,
        trace=tuple(story.trace),
        figures=(
            Figure(name='seconds_to_last_new_request', value=latest),
            Figure(name='requests', value=len(story.work.records)),
            Figure(name='cut', value=cut),
            Figure(name='refused', value=refused),
        ),
    )


PROOF: Final = UpstreamLeavingProof()
