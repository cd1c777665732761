"""The command `burdocksill-lab packets`: a small day of the packet path."""

import signal
import sys
import tempfile
from pathlib import Path
from typing import Final

import click
import trio

from burdocksill_lab.packets.client import Outcome
from burdocksill_lab.packets.loopback import LoopbackDay
from burdocksill_lab.processes import free_port

ROUND_SECONDS: Final = 1.0
# From the last request to the last deadline.
SETTLE_SECONDS: Final = 1.2


@click.command()
@click.option('--nodes', default=3, show_default=True, help='Nodes to start.')
@click.option('--upstreams', default=4, show_default=True, help='Upstreams.')
@click.option('--flows', default=40, show_default=True, help='Open flows.')
@click.option('--rounds', default=5, show_default=True, help='Requests a flow.')
@click.option('--restart/--no-restart', default=True, help='Stop each in turn.')
@click.option('--logs', type=click.Path(path_type=Path), help='Keep logs here.')
def packets(
    nodes: int,
    upstreams: int,
    flows: int,
    rounds: int,
    *,
    restart: bool,
    logs: Path | None,
) -> None:
    """Serve long flows on loopback through real nodes, all stopped in turn.

    \b
    Exit codes: 0 every request was served, 1 one was not.
    """
    with tempfile.TemporaryDirectory() as folder:
        day = trio.run(
            play,
            Path(folder) if logs is None else logs,
            (nodes, upstreams, flows, rounds),
            restart,
        )
    outcomes = day.outcomes()
    for outcome, count in outcomes.items():
        click.echo(f'{outcome.value}: {count}')
    if set(outcomes) != {Outcome.SERVED}:
        sys.exit(1)


async def play(
    folder: Path,
    sizes: tuple[int, int, int, int],
    restart: bool,
) -> LoopbackDay:
    """Play the day and return it."""
    nodes, upstreams, flows, rounds = sizes
    async with trio.open_nursery() as nursery:
        port = free_port('127.0.0.1')
        day = LoopbackDay(nursery=nursery, folder=folder, port=port)
        try:
            await day.start(nodes=nodes, upstreams=upstreams)
            await serve(day, flows, rounds, restart=restart)
        finally:
            day.stop()
    return day


async def serve(
    day: LoopbackDay,
    flows: int,
    rounds: int,
    *,
    restart: bool,
) -> None:
    """Send requests, and stop the nodes in turn meanwhile."""
    click.echo(f'{len(day.nodes)} nodes are ready')
    day.open_flows(flows)
    if restart:
        day.nursery.start_soon(restart_in_turn, day)
    await day.request_all(rounds, ROUND_SECONDS)
    await trio.sleep(SETTLE_SECONDS)


async def restart_in_turn(day: LoopbackDay) -> None:
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
