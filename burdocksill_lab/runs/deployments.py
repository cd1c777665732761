"""The two deployments at the sizes of today."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs


@attrs.frozen(kw_only=True)
class ServicePlan:
    """Describe one service and what its callers do."""

    service: str
    endpoints: int
    # Of all callers, the share that calls this service.
    share: float
    # Of its requests, the share that is not idempotent.
    posts: float
    path: str


@attrs.frozen(kw_only=True)
class Deployment:
    """Describe one team's failure domains, entry VMs and services."""

    team: str
    domains: tuple[str, ...]
    vms: int
    slots: int
    connections: int
    services: tuple[ServicePlan, ...]


DEPLOYMENTS: Final[Mapping[str, Deployment]] = MappingProxyType(
    {
        'vratka': Deployment(
            team='vratka',
            domains=('cz-a', 'cz-b', 'cz-c'),
            vms=9,
            slots=2,
            connections=2000,
            services=(
                ServicePlan(
                    service='kiosk-ledger',
                    endpoints=7,
                    share=0.8,
                    posts=0.5,
                    path='returns',
                ),
                ServicePlan(
                    service='statement-desk',
                    endpoints=3,
                    share=0.2,
                    posts=0,
                    path='statements',
                ),
            ),
        ),
        'vecinas': Deployment(
            team='vecinas',
            domains=('quito-a', 'quito-b', 'quito-c', 'quito-d'),
            vms=8,
            slots=3,
            connections=2000,
            services=(
                ServicePlan(
                    service='rounds',
                    endpoints=7,
                    share=0.7,
                    posts=0.4,
                    path='portions',
                ),
                ServicePlan(
                    service='menus',
                    endpoints=4,
                    share=0.3,
                    posts=0,
                    path='sheets',
                ),
            ),
        ),
    }
)
