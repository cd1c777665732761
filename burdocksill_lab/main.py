"""The program burdocksill-lab: stand-ins, demo, proofs and benches."""

import sys

import click

from burdocksill import VERSION
from burdocksill.exceptions import BurdocksillError
from burdocksill_lab.commands.bench import bench
from burdocksill_lab.commands.demo import demo
from burdocksill_lab.commands.prove import prove
from burdocksill_lab.commands.stand_ins import fabric, platform, upstream

EXIT_FAILED = 2


@click.group()
@click.version_option(VERSION)
def group() -> None:
    """Run stand-ins of what surrounds burdocksill, and prove its promises."""


group.add_command(demo)
group.add_command(bench)
group.add_command(platform)
group.add_command(upstream)
group.add_command(fabric)
group.add_command(prove)


def main() -> None:
    """Run the command line; an error ends it with its code and cure."""
    try:
        group()
    except BurdocksillError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_FAILED)
