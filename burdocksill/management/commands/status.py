"""The command `burdocksill status`."""

import sys

import click

from burdocksill.management.exits import Exit
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_async,
)
from burdocksill.management.screen import status_screen
from burdocksill.management.target import Target


@click.command()
@json_option
@pass_target
def status(target: Target, *, as_json: bool) -> None:
    """Show the fleet on one screen; works with the platform down.

    \b
    Name any one VM with --entry, or let the platform's list name them.
    Exit codes: 0 shown, 5 no VM answered.
    """
    fleet = run_async(target.fleet)
    if as_json:
        echo_json(fleet)
    else:
        click.echo(status_screen(fleet))
    if not fleet.nodes:
        sys.exit(Exit.UNREACHABLE)
