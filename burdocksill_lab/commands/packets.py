"""The command `burdocksill-lab packets`: a small day of the packet path."""

import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Final

import attrs
import click
import trio

from burdocksill.packets.header import flow_id
from burdocksill_lab.packets.client import Outcome
from burdocksill_lab.packets.loopback import LoopbackDeployment
from burdocksill_lab.packets.upstream import Condition
from burdocksill_lab.processes import free_port

ROUND_SECONDS: Final = 1.0
# From the last request to the last deadline.
SETTLE_SECONDS: Final = 1.2
# Troubles begin when flows have had an answer or two.
TROUBLE_SECONDS: Final = 1.5
# Two probes miss a killed node, and a third is under way.
TURNED_AWAY_SECONDS: Final = 2.0
LATER_FLOWS: Final = 6
UNKNOWN_PORT: Final = 9999
UNKNOWN_FLOWS: Final = 3
Trouble = Callable[[LoopbackDeployment], Awaitable[None]]


@attrs.frozen(kw_only=True)
class DayPlan:
    """Hold what a day consists of."""

    nodes: int
    upstreams: int
    flows: int
    rounds: int
    trouble: str


@click.command()
@click.option('--nodes', default=3, show_default=True, help='Nodes to start.')
@click.option('--upstreams', default=4, show_default=True, help='Upstreams.')
@click.option('--flows', default=40, show_default=True, help='Open flows.')
@click.option('--rounds', default=5, show_default=True, help='Requests a flow.')
@click.option(
    '--trouble',
    default='stop-nodes',
    show_default=True,
    type=click.Choice(
        ['none', 'stop-nodes', 'kill-node', 'silent-upstream', 'no-route'],
    ),
    help='What happens meanwhile.',
)
@click.option('--logs', type=click.Path(path_type=Path), help='Keep logs here.')
def packets(logs: Path | None, **sizes: int | str) -> None:
    """Serve long flows on loopback through real nodes.

    \b
    Exit codes: 0 every request was served, 1 one was not.
    """
    plan = DayPlan(**sizes)  # type: ignore[arg-type]
    with tempfile.TemporaryDirectory() as folder:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        day = trio.run(play, logs or Path(folder), plan)
    for outcome, count in day.outcomes().items():
        click.echo(f'{outcome.value}: {count}')
    if set(day.outcomes()) != {Outcome.SERVED}:
        show_failures(day)
        sys.exit(1)


def show_failures(day: LoopbackDeployment) -> None:
    """Print each flow on which a request failed."""
    for flow in day.flows:
        for request in flow.requests:
            if request.outcome is not Outcome.SERVED:
                click.echo(f'{request.outcome.value}: {flow_id(flow.key)}')


async def play(folder: Path, plan: DayPlan) -> LoopbackDeployment:
    """Play the day and return it."""
    async with trio.open_nursery() as nursery:
        port = free_port('127.0.0.1')
        day = LoopbackDeployment(nursery=nursery, folder=folder, port=port)
        try:
            await day.start(nodes=plan.nodes, upstreams=plan.upstreams)
            await serve(day, plan)
        finally:
            day.stop()
    return day


async def serve(day: LoopbackDeployment, plan: DayPlan) -> None:
    """Send requests, with some trouble meanwhile."""
    click.echo(f'{len(day.nodes)} nodes are ready')
    day.open_flows(plan.flows)
    if plan.trouble != 'none':
        day.nursery.start_soon(TROUBLES[plan.trouble], day)
    await day.request_all(plan.rounds, ROUND_SECONDS)
    await trio.sleep(SETTLE_SECONDS)


async def restart_in_turn(day: LoopbackDeployment) -> None:
    """Stop each node by SIGTERM and start it again."""
    for node in day.nodes:
        click.echo(f'{node.host} is stopped')
        node.signal(signal.SIGTERM)
        process = node.process
        if process is not None:
            await trio.to_thread.run_sync(process.wait)
        node.start()
        await day.wait_until_ready(len(day.nodes))
        click.echo(f'{node.host} is back')


async def kill_node(day: LoopbackDeployment) -> None:
    """Kill a node; once routers have noticed, open flows at the others."""
    await trio.sleep(TROUBLE_SECONDS)
    # A node takes requests with it for as long as routers send to it: just
    # after a probe it does so for two more, just before one for too short.
    await day.wait_for_probe(day.nodes[0])
    click.echo(f'{day.nodes[0].host} is killed')
    day.nodes[0].signal(signal.SIGKILL)
    await trio.sleep(TURNED_AWAY_SECONDS)
    day.open_flows(LATER_FLOWS)


async def silence_upstream(day: LoopbackDeployment) -> None:
    """Let an upstream lose power."""
    await trio.sleep(TROUBLE_SECONDS)
    click.echo(f'{day.upstreams[0].name} falls silent')
    day.upstreams[0].condition = Condition.UNRESPONSIVE


async def use_unknown_port(day: LoopbackDeployment) -> None:
    """Send openings to a port that no route has."""
    await trio.sleep(TROUBLE_SECONDS)
    click.echo(f'flows to port {UNKNOWN_PORT}')
    day.open_flows(UNKNOWN_FLOWS, UNKNOWN_PORT)


TROUBLES: Final[Mapping[str, Trouble]] = MappingProxyType(
    {
        'stop-nodes': restart_in_turn,
        'kill-node': kill_node,
        'silent-upstream': silence_upstream,
        'no-route': use_unknown_port,
    },
)
