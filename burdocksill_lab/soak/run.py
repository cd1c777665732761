"""Run a soak and report its violations."""

import math
import tempfile
from pathlib import Path
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.packets.features import NONE
from burdocksill_lab.packets.world import ROUTE_PORT
from burdocksill_lab.processes import free_port
from burdocksill_lab.soak.checker import SoakChecker, Violation
from burdocksill_lab.soak.deployment import (
    DOMAINS,
    TOGGLED_PORT,
    SoakDeployment,
    SoakSize,
)
from burdocksill_lab.soak.injector import FaultInjector
from burdocksill_lab.soak.plan import (
    ROUND_SECONDS,
    FaultKind,
    PlannedFault,
    draw_plan,
)
from burdocksill_lab.soak.processes import check_logs, check_processes

USERS_PER_DOMAIN: Final = 12
# Users that open a flow per request: only openings show where new flows are
# placed, and users of long flows open none while there is no fault.
SHORT_FLOW_USERS_PER_DOMAIN: Final = 3
TOGGLED_USERS_PER_DOMAIN: Final = 2
UPSTREAMS: Final = 8
MONITOR_SECONDS: Final = 1.0
# Interval of the check for stalls of the soak process. Waking up late by about
# the time that a client waits before it retransmits counts as a stall.
TICK_SECONDS: Final = 0.05
STALL_SECONDS: Final = 0.15
# Time after the last round in which the last requests end.
SETTLE_SECONDS: Final = 3.0
READY_SECONDS: Final = 30.0
MINUTE: Final = 60


@attrs.frozen(kw_only=True)
class SoakSettings:
    """Parameters of a soak."""

    seed: int
    minutes: float
    nodes: int
    # Number of rounds to skip at the beginning of the plan.
    skipped: int = 0
    # Name of the safeguard that nodes run without (control run); empty: none.
    without: str = ''
    # Directory in which logs are kept; None discards them.
    logs: Path | None = None
    size: SoakSize = SoakSize()
    # What each round has besides, see `plan.EXTRAS`.
    extras: tuple[FaultKind, ...] = ()
    # Features of the nodes, as in their environment variable.
    features: str = NONE

    @property
    def rounds(self) -> int:
        """Return the number of rounds that fit into the time, at least one."""
        return max(1, math.floor(self.minutes * MINUTE / ROUND_SECONDS))

    def plan(self) -> list[PlannedFault]:
        """Return the faults of the plan, without the skipped rounds."""
        began = self.skipped * ROUND_SECONDS
        return [
            attrs.evolve(fault, at=fault.at - began)
            for fault in draw_plan(
                self.seed,
                self.skipped + self.rounds,
                extras=self.extras,
            )
            if fault.at >= began
        ]

    @property
    def command(self) -> tuple[str, ...]:
        """Return the module that nodes run, and its arguments."""
        if self.without:
            return ('burdocksill_lab.soak.broken', self.without)
        return ('burdocksill.packets',)


@attrs.frozen(kw_only=True)
class SoakReport:
    """Results of a soak."""

    seed: int
    violations: list[Violation]
    outcomes: dict[str, int]
    checked: dict[str, int]
    troubles: list[str]
    # Number of stalls of the soak process; not reproducible by seed.
    stalls: int


def play(settings: SoakSettings) -> SoakReport:
    """Run a soak on loopback; start its processes and stop them."""
    with tempfile.TemporaryDirectory() as folder:
        logs = settings.logs or Path(folder)
        logs.mkdir(parents=True, exist_ok=True)
        return trio.run(run, settings, logs)


async def run(settings: SoakSettings, logs: Path) -> SoakReport:
    """Run all rounds of a soak."""
    async with trio.open_nursery() as nursery:
        zero = trio.current_time()
        checker = SoakChecker(clock=trio.current_time)
        deployment = SoakDeployment(
            nursery=nursery,
            folder=logs,
            port=free_port('127.0.0.1'),
            rng=Random(settings.seed),
            checker=checker,
            command=settings.command,
            features=settings.features,
            size=settings.size,
        )
        injector = FaultInjector(deployment=deployment)
        try:
            await serve(deployment, injector, settings)
        finally:
            deployment.stop()
    return SoakReport(
        seed=settings.seed,
        violations=[
            attrs.evolve(one, at=round(one.at - zero, 3))
            for one in checker.violations
        ],
        outcomes=dict(checker.outcomes),
        checked=dict(checker.checked),
        troubles=injector.injected,
        stalls=checker.stalls,
    )


async def serve(
    deployment: SoakDeployment,
    injector: FaultInjector,
    settings: SoakSettings,
) -> None:
    """Let users send requests while the plan's faults are injected."""
    await deployment.start(nodes=settings.nodes, upstreams=UPSTREAMS)
    await injector.wait_until_ready()
    deployment.checker.fault_free_since = trio.current_time()
    began = trio.current_time()
    async with trio.open_nursery() as users:
        for domain in DOMAINS:
            for _ in range(USERS_PER_DOMAIN):
                users.start_soon(use_long, deployment, domain)
            for _ in range(SHORT_FLOW_USERS_PER_DOMAIN):
                users.start_soon(use_short, deployment, domain)
            for _ in range(TOGGLED_USERS_PER_DOMAIN):
                users.start_soon(use_toggled, deployment, domain)
        users.start_soon(monitor, deployment)
        users.start_soon(monitor_stalls, deployment.checker)
        await injector.run(settings.plan(), began)
        await trio.sleep_until(began + settings.rounds * ROUND_SECONDS)
        await trio.sleep(SETTLE_SECONDS)
        users.cancel_scope.cancel()
    check_logs(deployment)


async def use_long(deployment: SoakDeployment, domain: str) -> None:
    """Send requests on one flow for as long as it is open."""
    await deployment.run_user(domain, ROUTE_PORT, long=True)


async def use_short(deployment: SoakDeployment, domain: str) -> None:
    """Open a flow for each request."""
    await deployment.run_user(domain, ROUTE_PORT, long=False)


async def use_toggled(deployment: SoakDeployment, domain: str) -> None:
    """Open a flow for each request to the toggled route."""
    await deployment.run_user(domain, TOGGLED_PORT, long=False)


async def monitor(deployment: SoakDeployment) -> None:
    """Check processes and packets periodically."""
    while True:
        await trio.sleep(MONITOR_SECONDS)
        check_processes(deployment)
        deployment.checker.check_corruption()


async def monitor_stalls(checker: SoakChecker) -> None:
    """Record when this process got no processor time."""
    while True:
        due = trio.current_time() + TICK_SECONDS
        await trio.sleep_until(due)
        if trio.current_time() - due > STALL_SECONDS:
            checker.record_stall()
