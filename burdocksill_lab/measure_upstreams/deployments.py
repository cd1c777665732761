"""The two deployments at their sizes, as a world of fakes."""

from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill_lab.fakes.world import World

JOIN_SECONDS: Final = 6.0
WORK_SECONDS: Final = 0.1


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe one user's failure domains, entry VMs and endpoints."""

    name: str
    service: str
    domains: tuple[str, ...]
    entry_vms: int
    endpoints: int
    slots: int

    @property
    def capacity(self) -> float:
        """Return how many requests a second all upstreams carry."""
        return self.endpoints * self.slots / WORK_SECONDS

    def domain_of(self, index: int) -> str:
        """Return the failure domain of a VM or an endpoint by number."""
        return self.domains[index % len(self.domains)]


VRATKA: Final = Deployment(
    name='vratka',
    service='kiosk-ledger',
    domains=('cz-a', 'cz-b', 'cz-c'),
    entry_vms=8,
    endpoints=7,
    slots=2,
)
VECINAS: Final = Deployment(
    name='vecinas',
    service='rounds',
    domains=('north', 'centre', 'south', 'valley'),
    entry_vms=9,
    endpoints=7,
    slots=3,
)
VRATKA_SECOND: Final = attrs.evolve(
    VRATKA,
    name='vratka-statements',
    service='statement-desk',
    endpoints=3,
)
VECINAS_SECOND: Final = attrs.evolve(
    VECINAS,
    name='vecinas-menus',
    service='menu-publisher',
    endpoints=4,
)
DEPLOYMENTS: Final = (VRATKA, VRATKA_SECOND, VECINAS, VECINAS_SECOND)


@attrs.define(kw_only=True)
class Running:
    """Hold a deployment that runs in a world."""

    deployment: Deployment
    world: World
    upstreams: tuple[Upstream, ...]

    def hosts(self, domain: str) -> list[str]:
        """Return the hosts of a failure domain's upstreams."""
        return [one.host for one in self.upstreams if one.domain == domain]

    def names(self, domain: str) -> list[str]:
        """Return the names of a failure domain's upstreams."""
        return [one.name for one in self.upstreams if one.domain == domain]


async def start_deployment(world: World, deployment: Deployment) -> Running:
    """Start warm upstreams and entry VMs, and wait until all know all."""
    upstreams = tuple(
        world.start_upstream(
            deployment.service,
            f'{deployment.service}-{index}',
            deployment.domain_of(index),
            slots=deployment.slots,
        )
        for index in range(deployment.endpoints)
    )
    for stand_in in world.upstreams.values():
        stand_in.work_seconds = WORK_SECONDS
    await world.put_document(
        ServiceDocument(
            service=deployment.service,
            team=deployment.name,
            upstreams=upstreams,
        ),
    )
    async with trio.open_nursery() as nursery:
        for index in range(deployment.entry_vms):
            domain = deployment.domain_of(index)
            name = f'{domain}-entry-{index}'
            nursery.start_soon(world.start_node, name, domain)
    await trio.sleep(JOIN_SECONDS)
    return Running(deployment=deployment, world=world, upstreams=upstreams)
