"""Bring the faults of a plan about, each at its time."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from burdocksill.documents.acceptance import put_document, set_domain
from burdocksill.documents.models import DomainState, ServiceDocument, Upstream
from burdocksill_lab.fakes.world import World
from burdocksill_lab.runs.plan import (
    Fault,
    FaultKind,
    FaultPlan,
    FaultPlanError,
)


@attrs.define(kw_only=True)
class Trouble:
    """Hold what faults can be brought on in one run."""

    world: World
    documents: dict[str, ServiceDocument]
    began: float
    nursery: trio.Nursery
    told: list[str] = attrs.field(factory=list)

    async def run(self, plan: FaultPlan) -> None:
        """Bring every fault about in the order of time."""
        actions: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self.kill,
            FaultKind.STOP: self.stop,
            FaultKind.PAUSE: self.pause,
            FaultKind.RESUME: self.resume,
            FaultKind.CUT: self.cut,
            FaultKind.HEAL: self.heal,
            FaultKind.PLATFORM_OUTAGE: self.lose_platform,
            FaultKind.PLATFORM_RETURN: self.return_platform,
            FaultKind.LOSS: self.lose,
            FaultKind.DOMAIN_OUT: self.take_out,
            FaultKind.DOMAIN_RETURN: self.take_back,
            FaultKind.UPSTREAM_RESTART: self.restart,
            FaultKind.UPSTREAM_DRAIN: self.drain,
            FaultKind.DOCUMENT_EDIT: self.edit,
        }
        for fault in plan.in_order():
            await trio.sleep_until(self.began + fault.at)
            self.told.append(f'{fault.at:.3f} {fault.kind} {fault.target}')
            await actions[fault.kind](fault)

    async def kill(self, fault: Fault) -> None:
        """End an entry VM without a word."""
        self.require_node(fault)
        self.world.kill_node(fault.target)

    async def stop(self, fault: Fault) -> None:
        """Stop an entry VM as planned, beside the faults that follow."""
        self.require_node(fault)
        self.nursery.start_soon(self.world.stop_node, fault.target)

    async def pause(self, fault: Fault) -> None:
        """Freeze the hosts of a target."""
        for host in self.hosts(fault.target):
            self.world.network.pause(host)

    async def resume(self, fault: Fault) -> None:
        """Let frozen hosts go on."""
        for host in self.hosts(fault.target):
            self.world.network.resume(host)

    async def cut(self, fault: Fault) -> None:
        """Cut hosts off from others, or from all others."""
        some = self.hosts(fault.target)
        if fault.others:
            others = [
                host for name in fault.others for host in self.hosts(name)
            ]
        else:
            others = [host for host in self.all_hosts() if host not in some]
        self.world.network.cut(some, others)

    async def heal(self, fault: Fault) -> None:
        """Undo every cut."""
        self.world.network.heal()

    async def lose_platform(self, fault: Fault) -> None:
        """Let the platform answer nobody."""
        self.world.platform.set_down(down=True)

    async def return_platform(self, fault: Fault) -> None:
        """Let the platform answer again."""
        self.world.platform.set_down(down=False)

    async def lose(self, fault: Fault) -> None:
        """Lose a share of all datagrams."""
        self.world.network.faults.loss = fault.share

    async def take_out(self, fault: Fault) -> None:
        """Take a failure domain out of service."""
        await set_domain(
            self.world.platform,
            domain=fault.target,
            state=DomainState.OUT,
        )

    async def take_back(self, fault: Fault) -> None:
        """Return a failure domain."""
        await set_domain(
            self.world.platform,
            domain=fault.target,
            state=DomainState.IN_SERVICE,
        )

    async def restart(self, fault: Fault) -> None:
        """Let an upstream come back cold, as a new instance."""
        self.require_upstream(fault)
        self.world.upstreams[fault.target].restart()

    async def drain(self, fault: Fault) -> None:
        """Say in the document that an upstream leaves."""
        leaving = self.require_upstream(fault)
        document = next(
            known
            for known in self.documents.values()
            if leaving in known.upstreams
        )
        upstreams = tuple(
            attrs.evolve(known, draining=True) if known == leaving else known
            for known in document.upstreams
        )
        await self.put(attrs.evolve(document, upstreams=upstreams))

    async def edit(self, fault: Fault) -> None:
        """Put a service's document again."""
        document = self.documents.get(fault.target)
        if document is None:
            raise unknown(fault, 'a service')
        await self.put(document)

    async def put(self, document: ServiceDocument) -> None:
        """Accept a document as its team would."""
        self.documents[document.service] = document
        await put_document(self.world.platform, document)

    def require_node(self, fault: Fault) -> None:
        """Refuse a fault of an entry VM that does not run."""
        if fault.target not in self.world.nodes:
            raise unknown(fault, 'a running entry VM')

    def require_upstream(self, fault: Fault) -> Upstream:
        """Return the upstream that a fault names."""
        for document in self.documents.values():
            found = document.upstream(fault.target)
            if found is not None:
                return found
        raise unknown(fault, 'an upstream')

    def hosts(self, target: str) -> list[str]:
        """Return the hosts of a VM, an upstream or a failure domain."""
        nodes = [
            running.host
            for name, running in self.world.nodes.items()
            if target in {name, running.node.settings.domain}
        ]
        upstreams = [
            upstream.host
            for document in self.documents.values()
            for upstream in document.upstreams
            if target in {upstream.name, upstream.domain}
        ]
        return nodes + upstreams

    def all_hosts(self) -> list[str]:
        """Return the hosts of every VM and upstream."""
        domains = {
            running.node.settings.domain
            for running in self.world.nodes.values()
        }
        return [
            host for domain in sorted(domains) for host in self.hosts(domain)
        ]


def unknown(fault: Fault, wanted: str) -> FaultPlanError:
    """Return the error of a fault whose target is not there."""
    return FaultPlanError(
        message=f'{fault.kind} at {fault.at} names {fault.target!r}',
        hint=f'name {wanted}',
    )
