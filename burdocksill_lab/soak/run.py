"""Play a soak and tell what it found."""

import math
import tempfile
from pathlib import Path
from random import Random
from typing import Final

import attrs
import trio

from burdocksill_lab.packets.world import ROUTE_PORT
from burdocksill_lab.processes import free_port
from burdocksill_lab.soak.day import DOMAINS, TOGGLED_PORT, SoakDay, SoakSize
from burdocksill_lab.soak.judge import Judge, Violation
from burdocksill_lab.soak.plan import ROUND_SECONDS, Trouble, draw_plan
from burdocksill_lab.soak.processes import check_logs, check_processes
from burdocksill_lab.soak.troubles import Troublemaker

USERS_PER_DOMAIN: Final = 12
# Users that open a flow for each request: only openings show where new flows
# go, and users of long flows have none in calm times.
FRESH_PER_DOMAIN: Final = 3
PROBERS_PER_DOMAIN: Final = 2
UPSTREAMS: Final = 8
WATCH_SECONDS: Final = 1.0
# The soak's process is looked at this often; waking up later than that by as
# much as a client waits before it sends again means that it stood still.
TICK_SECONDS: Final = 0.05
STALL_SECONDS: Final = 0.15
# After the last round, so that its last requests end.
SETTLE_SECONDS: Final = 3.0
READY_SECONDS: Final = 30.0
MINUTE: Final = 60


@attrs.frozen(kw_only=True)
class SoakSettings:
    """Hold what a soak is made of."""

    seed: int
    minutes: float
    nodes: int
    # Rounds of the plan that are left out at its beginning.
    skipped: int = 0
    # Name of the guard that the nodes run without, empty for none.
    without: str = ''
    # Where logs are kept; nowhere when it is None.
    logs: Path | None = None
    size: SoakSize = SoakSize()

    @property
    def rounds(self) -> int:
        """Return how many rounds fit into the time, one at least."""
        return max(1, math.floor(self.minutes * MINUTE / ROUND_SECONDS))

    def plan(self) -> list[Trouble]:
        """Return what happens, without the rounds that are left out."""
        began = self.skipped * ROUND_SECONDS
        return [
            attrs.evolve(trouble, at=trouble.at - began)
            for trouble in draw_plan(self.seed, self.skipped + self.rounds)
            if trouble.at >= began
        ]

    @property
    def command(self) -> tuple[str, ...]:
        """Return the module that nodes run, with its arguments."""
        if self.without:
            return ('burdocksill_lab.soak.broken', self.without)
        return ('burdocksill.packets',)


@attrs.frozen(kw_only=True)
class SoakReport:
    """Hold what a soak found."""

    seed: int
    violations: list[Violation]
    outcomes: dict[str, int]
    checked: dict[str, int]
    troubles: list[str]
    # How often the soak itself stood still, which no seed repeats.
    stalls: int


def play(settings: SoakSettings) -> SoakReport:
    """Play a soak on loopback, from its own processes' start to their end."""
    with tempfile.TemporaryDirectory() as folder:
        logs = settings.logs or Path(folder)
        logs.mkdir(parents=True, exist_ok=True)
        return trio.run(run, settings, logs)


async def run(settings: SoakSettings, logs: Path) -> SoakReport:
    """Play all rounds of a soak."""
    async with trio.open_nursery() as nursery:
        zero = trio.current_time()
        judge = Judge(clock=trio.current_time)
        day = SoakDay(
            nursery=nursery,
            folder=logs,
            port=free_port('127.0.0.1'),
            rng=Random(settings.seed),
            judge=judge,
            command=settings.command,
            size=settings.size,
        )
        maker = Troublemaker(day=day)
        try:
            await serve(day, maker, settings)
        finally:
            day.stop()
    return SoakReport(
        seed=settings.seed,
        violations=[
            attrs.evolve(one, at=round(one.at - zero, 3))
            for one in judge.violations
        ],
        outcomes=dict(judge.outcomes),
        checked=dict(judge.checked),
        troubles=maker.told,
        stalls=judge.stalls,
    )


async def serve(
    day: SoakDay,
    maker: Troublemaker,
    settings: SoakSettings,
) -> None:
    """Let users send requests while the plan is carried out."""
    await day.start(nodes=settings.nodes, upstreams=UPSTREAMS)
    await maker.wait_until_ready()
    day.judge.calm_since = trio.current_time()
    began = trio.current_time()
    async with trio.open_nursery() as users:
        for domain in DOMAINS:
            for _ in range(USERS_PER_DOMAIN):
                users.start_soon(use_long, day, domain)
            for _ in range(FRESH_PER_DOMAIN):
                users.start_soon(use_fresh, day, domain)
            for _ in range(PROBERS_PER_DOMAIN):
                users.start_soon(use_toggled, day, domain)
        users.start_soon(watch, day)
        users.start_soon(watch_itself, day.judge)
        await maker.run(settings.plan(), began)
        await trio.sleep_until(began + settings.rounds * ROUND_SECONDS)
        await trio.sleep(SETTLE_SECONDS)
        users.cancel_scope.cancel()
    check_logs(day)


async def use_long(day: SoakDay, domain: str) -> None:
    """Use one flow for as long as it lives."""
    await day.use(domain, ROUTE_PORT, long=True)


async def use_fresh(day: SoakDay, domain: str) -> None:
    """Open a flow for each request."""
    await day.use(domain, ROUTE_PORT, long=False)


async def use_toggled(day: SoakDay, domain: str) -> None:
    """Open a flow for each request to the route that comes and goes."""
    await day.use(domain, TOGGLED_PORT, long=False)


async def watch(day: SoakDay) -> None:
    """Look at processes and packets."""
    while True:
        await trio.sleep(WATCH_SECONDS)
        check_processes(day)
        day.judge.look_for_changes()


async def watch_itself(judge: Judge) -> None:
    """Notice when this process gets no processor."""
    while True:
        due = trio.current_time() + TICK_SECONDS
        await trio.sleep_until(due)
        if trio.current_time() - due > STALL_SECONDS:
            judge.stood_still()
