"""The program burdocksill-lab: stand-ins, demo, proofs and benches."""

import click

from burdocksill import VERSION
from burdocksill_lab.commands.demo import demo
from burdocksill_lab.commands.measure_upstreams import measure_upstreams
from burdocksill_lab.commands.stand_ins import fabric, platform, upstream
from burdocksill_lab.measure_fleet import measure_fleet


@click.group()
@click.version_option(VERSION)
def main() -> None:
    """Run stand-ins of what surrounds burdocksill, and prove its promises."""


main.add_command(demo)
main.add_command(measure_upstreams)
main.add_command(platform)
main.add_command(upstream)
main.add_command(fabric)
main.add_command(measure_fleet)
