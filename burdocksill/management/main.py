"""The program burdocksill: the operators' commands."""

import click

from burdocksill import VERSION
from burdocksill.conf.readers import parse_address
from burdocksill.exceptions import BurdocksillError
from burdocksill.management.commands.check import check
from burdocksill.management.commands.document import document
from burdocksill.management.commands.domain import domain
from burdocksill.management.commands.explain import explain
from burdocksill.management.commands.keys import keys
from burdocksill.management.commands.status import status
from burdocksill.management.running import fail
from burdocksill.management.target import Target


@click.group()
@click.option(
    '--platform',
    envvar='BURDOCKSILL_PLATFORM',
    default='',
    help="URL of the platform's key-value service.",
)
@click.option(
    '--entry',
    'entries',
    envvar='BURDOCKSILL_ENTRY',
    multiple=True,
    help='Admin address of any entry VM, host:port; it names the others.',
)
@click.version_option(VERSION)
@click.pass_context
def main(
    context: click.Context,
    platform: str,
    entries: tuple[str, ...],
) -> None:
    """Edit documents, take failure domains out, see what the fleet does.

    \b
    Exit codes: 0 done, 1 failed, 2 wrong usage or setting, 3 somebody else
    changed the record first, 4 not in force everywhere, 5 no VM answered.
    """
    if context.obj is not None:
        return
    try:
        addresses = tuple(parse_address('--entry', text) for text in entries)
    except BurdocksillError as error:
        fail(error)
    context.obj = Target(platform_url=platform, entries=addresses)


main.add_command(check)
main.add_command(document)
main.add_command(domain)
main.add_command(explain)
main.add_command(keys)
main.add_command(status)
