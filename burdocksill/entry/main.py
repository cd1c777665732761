"""Program burdocksill-entry, which runs once on each entry VM."""

import logging
import signal
import sys
from random import Random

import click
import trio

from burdocksill import VERSION
from burdocksill.admin.app import serve_admin
from burdocksill.conf.catalog import options
from burdocksill.conf.logs import configure_logging
from burdocksill.conf.settings import Settings, read_settings
from burdocksill.entry.node import EntryNode
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.sockets import SocketNetwork, SystemClock
from burdocksill.platform.etcd import EtcdPlatform

EXIT_FAILED = 1
EXIT_BAD_SETTING = 2

logger = logging.getLogger(__name__)


@click.command()
@options
@click.version_option(VERSION)
def main(**given: str | None) -> None:
    """Serve callers on one entry VM until SIGTERM.

    \b
    Exit codes: 0 stopped as asked, 1 failed, 2 a setting is wrong.
    """
    try:
        settings = read_settings(given)
    except BurdocksillError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTING)
    configure_logging(level=settings.log_level, node=settings.name)
    try:
        trio.run(serve, settings)
    except* BurdocksillError as group:
        for failure in flatten_errors(group):
            click.echo(str(failure), err=True)
        sys.exit(EXIT_FAILED)


def flatten_errors(
    group: BaseExceptionGroup[BaseException],
) -> list[BaseException]:
    """Return the errors in nested groups, one for each failed task."""
    found: list[BaseException] = []
    for member in group.exceptions:
        if isinstance(member, BaseExceptionGroup):
            found.extend(flatten_errors(member))
        else:
            found.append(member)
    return found


async def log_when_serving(node: EntryNode) -> None:
    """Write a log line once the node serves callers."""
    await node.serving.wait()
    logger.info('serving', extra={'listen': str(node.settings.listen)})


async def serve(settings: Settings) -> None:
    """Run the node until SIGTERM or SIGINT."""
    node = EntryNode(
        settings=settings,
        network=SocketNetwork(),
        platform=EtcdPlatform(endpoint=settings.platform),
        clock=SystemClock(),
        rng=Random(settings.seed),
        seeds=settings.seeds,
    )
    if settings.keys is not None:
        node.fleet.platform_watcher.use_keys(settings.keys)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_admin, node)
            nursery.start_soon(node.run)
            nursery.start_soon(log_when_serving, node)
            await anext(signals)
            logger.info('stopping')
            # A VM that still waits for the platform or a peer has nothing to
            # hand over. Without this check it would stop only after it joined.
            if node.serving.is_set():
                await node.stop()
            nursery.cancel_scope.cancel()
    logger.info('stopped')
