"""The program burdocksill-entry: one on each entry VM."""

import logging
import signal
import sys
from random import Random

import click
import trio

from burdocksill import VERSION
from burdocksill.conf.logs import configure_logging
from burdocksill.conf.settings import Settings, parse_address, require_name
from burdocksill.entry.node import EntryNode
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.sockets import SocketNetwork, SystemClock
from burdocksill.platform.etcd import EtcdPlatform

EXIT_BAD_SETTING = 2

logger = logging.getLogger(__name__)


@click.command(context_settings={'auto_envvar_prefix': 'BURDOCKSILL'})
@click.option('--name', required=True, help='Name of this entry VM.')
@click.option('--domain', required=True, help='Failure domain of this VM.')
@click.option('--listen', required=True, help="Callers' address, host:port.")
@click.option('--peer', required=True, help="Entry VMs' address, host:port.")
@click.option('--admin', required=True, help="Operators' address, host:port.")
@click.option('--platform', required=True, help='URL of the platform service.')
@click.option('--seed', type=int, help='Seed of random choices, for tests.')
@click.option('--log-level', default='INFO', show_default=True)
@click.version_option(VERSION)
def main(
    name: str,
    domain: str,
    listen: str,
    peer: str,
    admin: str,
    platform: str,
    seed: int | None,
    log_level: str,
) -> None:
    """Serve callers on one entry VM until SIGTERM."""
    try:
        settings = Settings(
            name=require_name('--name', name),
            domain=require_name('--domain', domain),
            listen=parse_address('--listen', listen),
            peer=parse_address('--peer', peer),
            admin=parse_address('--admin', admin),
            platform=platform,
            seed=seed,
        )
    except BurdocksillError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTING)
    configure_logging(level=log_level, node=name)
    trio.run(serve, settings)


async def serve(settings: Settings) -> None:
    """Run the node until a signal asks it to stop."""
    node = EntryNode(
        settings=settings,
        network=SocketNetwork(),
        platform=EtcdPlatform(endpoint=settings.platform),
        clock=SystemClock(),
        rng=Random(settings.seed),
    )
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.run)
            await node.serving.wait()
            logger.info('serving', extra={'listen': str(settings.listen)})
            async for _ in signals:
                logger.info('stopping')
                await node.stop()
                break
            nursery.cancel_scope.cancel()
    logger.info('stopped')
