"""The command `burdocksill-lab up`: a fleet to follow the pages with."""

import signal
from pathlib import Path

import click
import trio

from burdocksill_lab.loopback import ENVIRONMENT_FILE, LoopbackFleet
from burdocksill_lab.processes import process_group


@click.command()
@click.option(
    '--folder',
    type=click.Path(path_type=Path, file_okay=False),
    default='play',
    show_default=True,
    help='Where the document, the environment and the logs are written.',
)
def up(folder: Path) -> None:
    """Run three entry VMs with all that surrounds them, until Ctrl-C."""
    folder.mkdir(parents=True, exist_ok=True)
    trio.run(hold, folder)


async def hold(folder: Path) -> None:
    """Start the fleet, say how to use it, end it with a signal."""
    with (
        trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals,
        process_group(folder) as group,
    ):
        fleet = LoopbackFleet(group=group, folder=folder)
        await fleet.start()
        environment = folder / ENVIRONMENT_FILE
        click.echo(f'ready; in another terminal: . {environment}')
        await anext(signals)
        # Each VM stops gracefully, which takes seconds; so all at once.
        for process in group.running.values():
            process.terminate()
