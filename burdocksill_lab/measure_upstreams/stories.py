"""The stories that are measured: steady load, a domain's loss, shedding."""

from collections.abc import Awaitable, Callable, Mapping
from statistics import fmean, pstdev
from types import MappingProxyType
from typing import Final

import attrs
import trio

from burdocksill.network.protocols import Address
from burdocksill.requests.verdict import Verdict
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.network import StreamHandler
from burdocksill_lab.fakes.world import open_world
from burdocksill_lab.measure_upstreams.deployments import (
    Deployment,
    Running,
    start_deployment,
)
from burdocksill_lab.measure_upstreams.variants import Variant
from burdocksill_lab.proofs.base import Figure
from burdocksill_lab.stand_ins.upstream import Fault
from burdocksill_lab.workload import CallRecord, Workload

# Callers ask as often as makes this share of all slots busy.
LOAD: Final = 0.55
PAUSE_SECONDS: Final = 1.0
# At steady load most flows are idle most of the time.
STEADY_PAUSE_SECONDS: Final = 5.0
STEADY_SECONDS: Final = 20.0
BEFORE_SECONDS: Final = 8.0
AWAY_SECONDS: Final = 8.0
AFTER_SECONDS: Final = 10.0
WINDOW_SECONDS: Final = 2.0
STEP_SECONDS: Final = 0.5
BACK_SHARE: Final = 0.95
MS: Final = 1000


Story = Callable[['Measurement'], Awaitable[list[Figure]]]


@attrs.define(kw_only=True)
class Measurement:
    """Hold one run of one story."""

    running: Running
    work: Workload
    began: float = 0
    lost_at: float = 0
    back_at: float = 0

    def start(self, nursery: trio.Nursery, seconds: float) -> None:
        """Start the callers for some time."""
        self.began = trio.current_time()
        self.work.until = self.began + seconds
        deployment = self.running.deployment
        pause = self.work.pause_seconds
        count = round(deployment.capacity * LOAD * pause)
        self.work.start(self.running.world, nursery, count)

    def goodput(self, since: float, until: float) -> float:
        """Return whole answers a second."""
        ran = sum(
            record.verdict is Verdict.RAN
            and since <= record.at + record.seconds < until
            for record in self.work.records
        )
        return ran / (until - since)

    def worst_goodput(self, since: float, until: float) -> float:
        """Return the least goodput of any window."""
        worst = self.goodput(since, since + WINDOW_SECONDS)
        while since + WINDOW_SECONDS <= until:
            worst = min(worst, self.goodput(since, since + WINDOW_SECONDS))
            since += STEP_SECONDS
        return worst


def run_story(
    deployment: Deployment,
    variant: Variant,
    seed: int,
    story: str,
) -> list[Figure]:
    """Run one story on the virtual clock."""

    async def main() -> list[Figure]:
        async with open_world(seed, components=variant.components) as world:
            running = await start_deployment(world, deployment)
            measurement = Measurement(
                running=running,
                work=Workload(
                    service=deployment.service,
                    until=0,
                    pause_seconds=PAUSE_SECONDS,
                    patient=variant.patient,
                ),
            )
            return await STORIES[story](measurement)

    return run_seeded(seed, main)


async def steady(measurement: Measurement) -> list[Figure]:
    """Measure how evenly flows and requests spread at steady load."""
    measurement.work.pause_seconds = STEADY_PAUSE_SECONDS
    measurement.work.begin_seconds = STEADY_PAUSE_SECONDS
    async with trio.open_nursery() as nursery:
        measurement.start(nursery, STEADY_SECONDS)
        await trio.sleep(STEADY_SECONDS - 1)
        flows = [float(count) for count in held_flows(measurement.running)]
    stand_ins = measurement.running.world.upstreams.values()
    requests = [float(len(one.ledger)) for one in stand_ins]
    return [
        Figure(name='flows_max_over_mean', value=max(flows) / fmean(flows)),
        Figure(name='flows_cv', value=pstdev(flows) / fmean(flows)),
        Figure(
            name='requests_max_over_mean',
            value=max(requests) / fmean(requests),
        ),
        *common(measurement),
    ]


def held_flows(running: Running) -> list[int]:
    """Return how many flows each upstream holds, as its owner counts."""
    return [
        hint.flows
        for node in running.world.nodes.values()
        for hint in node.node.hints.hints()
    ]


async def domain_away(measurement: Measurement) -> list[Figure]:
    """Lose all upstreams of a failure domain; they return cold at once."""
    running = measurement.running
    domain = running.deployment.domains[0]
    async with trio.open_nursery() as nursery:
        measurement.start(
            nursery, BEFORE_SECONDS + AWAY_SECONDS + AFTER_SECONDS
        )
        await trio.sleep(BEFORE_SECONDS)
        measurement.lost_at = trio.current_time()
        listeners = take_away(running, domain)
        await trio.sleep(AWAY_SECONDS)
        measurement.back_at = trio.current_time()
        running.world.network.listeners.update(listeners)
    return [*outage_figures(measurement, domain), *common(measurement)]


def take_away(
    running: Running,
    domain: str,
) -> dict[Address, StreamHandler]:
    """Break all connections of a domain's upstreams and refuse new ones."""
    network = running.world.network
    hosts = set(running.hosts(domain))
    listeners = {
        address: handler
        for address, handler in network.listeners.items()
        if address.host in hosts
    }
    for host in hosts:
        network.kill(host)
    for name in running.names(domain):
        running.world.upstreams[name].restart()
    return listeners


def outage_figures(measurement: Measurement, domain: str) -> list[Figure]:
    """Compare goodput with what was asked for and what could be carried."""
    deployment = measurement.running.deployment
    gone = len(measurement.running.hosts(domain))
    left = deployment.capacity * (1 - gone / deployment.endpoints)
    before = measurement.goodput(
        measurement.began + WINDOW_SECONDS,
        measurement.lost_at,
    )
    possible = min(before, left)
    worst = measurement.worst_goodput(
        measurement.lost_at,
        measurement.back_at,
    )
    return [
        Figure(name='goodput_before', value=before),
        Figure(name='possible_while_away', value=possible),
        Figure(name='worst_share_while_away', value=worst / possible),
        Figure(
            name='worst_share_after_return',
            value=measurement.worst_goodput(
                measurement.back_at,
                measurement.work.until,
            )
            / possible,
        ),
        Figure(
            name='seconds_to_95_after_return',
            value=seconds_to_return(measurement, before),
        ),
    ]


def seconds_to_return(measurement: Measurement, before: float) -> float:
    """Return how long after the return goodput stays at its level again."""
    since = measurement.back_at
    end = measurement.work.until - WINDOW_SECONDS
    last_bad = since
    while since <= end:
        if measurement.goodput(since, since + WINDOW_SECONDS) < (
            before * BACK_SHARE
        ):
            last_bad = since + STEP_SECONDS
        since += STEP_SECONDS
    return last_bad - measurement.back_at


async def half_shed(measurement: Measurement) -> list[Figure]:
    """Let half the upstreams shed everything, and count what they are sent."""
    running = measurement.running
    shedding = list(running.world.upstreams.values())[::2]
    async with trio.open_nursery() as nursery:
        measurement.start(nursery, BEFORE_SECONDS + AWAY_SECONDS)
        await trio.sleep(BEFORE_SECONDS)
        measurement.lost_at = trio.current_time()
        for ill in shedding:
            ill.fault = Fault.SHED
    since = measurement.lost_at
    offered = sum(
        at >= since
        for stand_in in running.world.upstreams.values()
        for at in stand_in.arrivals
    )
    shed = sum(at >= since for one in shedding for at in one.arrivals)
    asked = sum(record.at >= since for record in measurement.work.records)
    before = measurement.goodput(measurement.began + WINDOW_SECONDS, since)
    after = measurement.goodput(since, measurement.work.until)
    return [
        Figure(name='offered_per_answer', value=offered / max(1, asked)),
        Figure(name='sent_to_shedding', value=shed),
        Figure(name='goodput_before', value=before),
        Figure(name='goodput_while_shedding', value=after),
        Figure(name='calls_while_shedding', value=asked),
        *common(measurement),
    ]


def common(measurement: Measurement) -> list[Figure]:
    """Return what every story reports."""
    records = measurement.work.records
    stand_ins = measurement.running.world.upstreams.values()
    return [
        Figure(name='calls', value=len(records)),
        Figure(name='refused', value=measurement.work.count(Verdict.NOT_RUN)),
        Figure(
            name='may_have_run',
            value=measurement.work.count(Verdict.MAY_HAVE_RUN),
        ),
        Figure(name='refusal_ms_p50', value=refusal_ms(records, 0.5)),
        Figure(name='refusal_ms_p99', value=refusal_ms(records, 0.99)),
        Figure(
            name='most_over_limit',
            value=max(one.most_over for one in stand_ins),
        ),
        Figure(name='falls', value=sum(one.falls for one in stand_ins)),
    ]


def refusal_ms(records: list[CallRecord], share: float) -> float:
    """Return a percentile of how long refusals took."""
    seconds = sorted(
        record.seconds
        for record in records
        if record.verdict is Verdict.NOT_RUN
    )
    if not seconds:
        return 0
    return seconds[min(len(seconds) - 1, int(len(seconds) * share))] * MS


STORIES: Final[Mapping[str, Story]] = MappingProxyType(
    {
        'steady': steady,
        'domain-away': domain_away,
        'half-shed': half_shed,
    }
)
