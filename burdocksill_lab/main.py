"""The program burdocksill-lab: stand-ins, demo, proofs and benches."""

import sys
from collections.abc import Iterator

import click

from burdocksill import VERSION
from burdocksill.exceptions import BurdocksillError
from burdocksill_lab.commands.bench import bench
from burdocksill_lab.commands.demo import demo
from burdocksill_lab.commands.load import play_load
from burdocksill_lab.commands.measure_upstreams import measure_upstreams
from burdocksill_lab.commands.packets import packets
from burdocksill_lab.commands.prove import prove
from burdocksill_lab.commands.run import run
from burdocksill_lab.commands.soak import soak
from burdocksill_lab.commands.stand_ins import fabric, platform, upstream
from burdocksill_lab.commands.up import up
from burdocksill_lab.measure_fleet import measure_fleet

EXIT_FAILED = 2


@click.group()
@click.version_option(VERSION)
def group() -> None:
    """Run stand-ins of what surrounds burdocksill, and prove its promises."""


group.add_command(demo)
group.add_command(play_load)
group.add_command(measure_upstreams)
group.add_command(bench)
group.add_command(platform)
group.add_command(upstream)
group.add_command(fabric)
group.add_command(packets)
group.add_command(prove)
group.add_command(run)
group.add_command(soak)
group.add_command(up)
group.add_command(measure_fleet)


def main() -> None:
    """Run the command line; an error ends it with its code and cure."""
    try:
        group()
    except* BurdocksillError as errors:
        # Errors of tasks arrive in groups of groups; each is shown once.
        for error in leaves(errors):
            click.echo(str(error), err=True)
        sys.exit(EXIT_FAILED)


def leaves(errors: BaseExceptionGroup) -> Iterator[BaseException]:
    """Return the errors inside of nested groups."""
    for error in errors.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from leaves(error)
        else:
            yield error
