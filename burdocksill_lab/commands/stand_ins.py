"""Commands that run one stand-in as a process."""

from pathlib import Path
from random import Random

import click
import trio

from burdocksill.conf.logs import configure_logging
from burdocksill.conf.settings import parse_address
from burdocksill.network.sockets import SocketNetwork
from burdocksill_lab.stand_ins.fabric import Fabric, FabricFaults
from burdocksill_lab.stand_ins.gateway import serve_gateway
from burdocksill_lab.stand_ins.ledger import LedgerFile
from burdocksill_lab.stand_ins.upstream import (
    DEFAULT_WORK_SECONDS,
    StandInUpstream,
    serve_upstream,
)


@click.command()
@click.option('--listen', required=True, help='Address, host:port.')
def platform(listen: str) -> None:
    """Run the platform's key-value service."""
    trio.run(serve_gateway, parse_address('--listen', listen))


@click.command()
@click.option('--listen', required=True, help='Address, host:port.')
@click.option('--service', required=True)
@click.option('--name', required=True)
@click.option('--slots', default=2, show_default=True)
@click.option(
    '--work-seconds',
    default=DEFAULT_WORK_SECONDS,
    show_default=True,
    help='How long each request takes.',
)
@click.option(
    '--ledger',
    type=click.Path(path_type=Path, dir_okay=False),
    help='A file that gets a line for each request that ran.',
)
def upstream(
    listen: str,
    service: str,
    name: str,
    slots: int,
    work_seconds: float,
    ledger: Path | None,
) -> None:
    """Run one upstream."""
    stand_in = StandInUpstream(
        service=service,
        name=name,
        slots=slots,
        work_seconds=work_seconds,
        ledger=LedgerFile(ledger) if ledger else [],
    )
    trio.run(serve_upstream, stand_in, parse_address('--listen', listen))


@click.command()
@click.option('--listen', required=True, help='Address, host:port.')
@click.option('--entry', 'entries', multiple=True, required=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--loss', type=float, default=0, help='Share of packets lost.')
@click.option(
    '--copies', type=float, default=0, help='Share of packets sent twice.'
)
@click.option(
    '--delay', type=float, default=0, help='Longest delay in seconds.'
)
@click.option('--cut', 'cuts', multiple=True, help='Entry VM not reached.')
def fabric(
    listen: str,
    entries: tuple[str, ...],
    seed: int,
    loss: float,
    copies: float,
    delay: float,
    cuts: tuple[str, ...],
) -> None:
    """Run a fabric that sprays packets over entry VMs."""
    configure_logging(level='INFO')
    stand_in = Fabric(
        network=SocketNetwork(),
        listen=parse_address('--listen', listen),
        entries=[parse_address('--entry', entry) for entry in entries],
        rng=Random(seed),
        faults=FabricFaults(
            loss=loss,
            copies=copies,
            delay_seconds=delay,
            cut={parse_address('--cut', entry) for entry in cuts},
        ),
    )
    trio.run(stand_in.run)
