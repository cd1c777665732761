"""One run: start a deployment, load it, bring the faults about, measure."""

import itertools
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import World, open_world
from burdocksill_lab.runs import figures
from burdocksill_lab.runs.deployments import DEPLOYMENTS, Deployment
from burdocksill_lab.runs.plan import FaultPlan
from burdocksill_lab.runs.traffic import Caller, CallRecord
from burdocksill_lab.runs.trouble import Trouble
from burdocksill_lab.stand_ins.upstream import StandInUpstream

# Owners are settled and their connections verified before the load begins.
SETTLE_SECONDS: Final = 8.0
# Answers and late copies that are still under way at the end.
TAIL_SECONDS: Final = 8.0


@attrs.frozen(kw_only=True)
class RunPlan:
    """Hold what one run is made of."""

    deployment: str
    seed: int
    callers: int
    seconds: int
    faults: FaultPlan


@attrs.define(kw_only=True)
class Run:
    """Hold one run while it goes on."""

    plan: RunPlan
    world: World
    records: list[CallRecord] = attrs.field(factory=list)
    documents: dict[str, ServiceDocument] = attrs.field(factory=dict)
    told: list[str] = attrs.field(factory=list)

    @property
    def deployment(self) -> Deployment:
        """Return the deployment that runs."""
        return DEPLOYMENTS[self.plan.deployment]

    async def start(self) -> None:
        """Start upstreams and entry VMs, spread over the domains."""
        for service in self.deployment.services:
            domains = itertools.cycle(self.deployment.domains)
            upstreams = tuple(
                self.world.start_upstream(
                    service.service,
                    f'{service.service}-{number}',
                    next(domains),
                    slots=self.deployment.slots,
                )
                for number in range(1, service.endpoints + 1)
            )
            document = ServiceDocument(
                service=service.service,
                team=self.deployment.team,
                upstreams=upstreams,
            )
            self.documents[service.service] = document
            await self.world.put_document(document)
        domains = itertools.cycle(self.deployment.domains)
        for number in range(self.deployment.vms):
            domain = next(domains)
            place = number // len(self.deployment.domains) + 1
            await self.world.start_node(f'{domain}-entry-{place}', domain)
        await trio.sleep(SETTLE_SECONDS)

    async def load(self) -> None:
        """Let the callers call while the faults come."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            trouble = Trouble(
                world=self.world,
                documents=self.documents,
                began=began,
                nursery=nursery,
                told=self.told,
            )
            nursery.start_soon(trouble.run, self.plan.faults)
            for caller in self.callers(began + self.plan.seconds):
                nursery.start_soon(caller.run, self.world)
        await trio.sleep(TAIL_SECONDS)
        for record in self.records:
            record.began -= began
            record.ended -= began

    def callers(self, until: float) -> list[Caller]:
        """Make the callers of every service by their shares."""
        return [
            Caller(
                name=f'{service.service}-caller-{number}',
                plan=service,
                rng=Random(self.world.rng.random()),
                until=until,
                records=self.records,
            )
            for service in self.deployment.services
            for number in range(round(self.plan.callers * service.share))
        ]

    def report(self) -> figures.RunReport:
        """Measure what the callers were told against the ledgers."""
        records = self.records
        ran = figures.posts_run(self.world.upstreams.values())
        return figures.RunReport(
            deployment=self.plan.deployment,
            seed=self.plan.seed,
            vms=self.deployment.vms,
            callers=self.plan.callers,
            requests=len(records),
            flows=len({record.flow for record in records}),
            broken_flows=figures.broken_flows(records, domain_out=False),
            broken_in_domains_out=figures.broken_flows(
                records,
                domain_out=True,
            ),
            outcomes=figures.counts(record.outcome for record in records),
            reasons=figures.counts(
                str(record.reason) for record in records if record.reason
            ),
            unanswered=sum(not record.answered for record in records),
            double_runs=figures.double_runs(ran),
            lost=figures.lost(records, ran),
            mixed=sum(record.mixed for record in records),
            untrue=figures.untrue(records, ran),
            goodput=figures.goodput(records, self.plan.seconds),
            imbalance=tuple(
                figures.imbalance(service.service, self.upstreams(service))
                for service in self.documents.values()
            ),
            faults=tuple(self.told),
        )

    def upstreams(
        self,
        document: ServiceDocument,
    ) -> list[StandInUpstream]:
        """Return the stand-ins of a service."""
        return [
            self.world.upstreams[upstream.name]
            for upstream in document.upstreams
        ]


def run_deployment(plan: RunPlan) -> figures.RunReport:
    """Run a deployment; the same plan gives the same report."""
    return run_seeded(plan.seed, partial(story, plan))


async def story(plan: RunPlan) -> figures.RunReport:
    """Run a deployment in a world of its own."""
    async with open_world(plan.seed) as world:
        run = Run(plan=plan, world=world)
        await run.start()
        await run.load()
        return run.report()
