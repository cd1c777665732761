"""The command group `burdocksill domain`."""

import attrs
import click

from burdocksill.documents.acceptance import set_domain
from burdocksill.documents.models import DomainState
from burdocksill.management.commands.document import (
    PutOutcome,
    finish,
    wait_option,
)
from burdocksill.management.domains import list_domains
from burdocksill.management.in_force import wait_in_force
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_command,
)
from burdocksill.management.target import Target
from burdocksill.platform.keys import domain_key
from burdocksill.platform.protocols import Platform

reason_option = click.option(
    '--reason',
    default='',
    help='Why, for whoever reads status.',
)


@attrs.frozen(kw_only=True)
class DomainEdit:
    """Hold a new state of a failure domain and the command's options."""

    domain: str
    state: DomainState
    reason: str
    wait_seconds: float
    as_json: bool


@click.group()
def domain() -> None:
    """Take failure domains out of service and return them."""


@domain.command()
@click.argument('name')
@reason_option
@wait_option
@json_option
@pass_target
def out(
    target: Target,
    name: str,
    reason: str,
    wait_seconds: float,
    *,
    as_json: bool,
) -> None:
    """Take a failure domain out of service.

    \b
    Exit codes: 0 accepted (and known on every VM, with --wait), 1 refused,
    3 somebody else changed it first, 4 accepted but not known everywhere.
    """
    change(
        target,
        DomainEdit(
            domain=name,
            state=DomainState.OUT,
            reason=reason,
            wait_seconds=wait_seconds,
            as_json=as_json,
        ),
    )


@domain.command('return')
@click.argument('name')
@reason_option
@wait_option
@json_option
@pass_target
def return_domain(
    target: Target,
    name: str,
    reason: str,
    wait_seconds: float,
    *,
    as_json: bool,
) -> None:
    """Return a failure domain to service.

    \b
    Exit codes are those of `burdocksill domain out`.
    """
    change(
        target,
        DomainEdit(
            domain=name,
            state=DomainState.IN_SERVICE,
            reason=reason,
            wait_seconds=wait_seconds,
            as_json=as_json,
        ),
    )


def change(target: Target, edit: DomainEdit) -> None:
    """Write a failure domain's state and print the revision."""

    async def write(platform: Platform) -> PutOutcome:
        accepted = await set_domain(
            platform,
            domain=edit.domain,
            state=edit.state,
            reason=edit.reason,
        )
        if not edit.wait_seconds:
            return PutOutcome(accepted=accepted)
        in_force = await wait_in_force(
            target,
            domain_key(edit.domain),
            accepted.revision,
            seconds=edit.wait_seconds,
        )
        return PutOutcome(accepted=accepted, in_force=in_force)

    outcome = run_command(target, write)
    if not edit.as_json:
        click.echo(f'{edit.domain} is {edit.state.value}')
    finish(outcome, as_json=edit.as_json)


@domain.command('list')
@json_option
@pass_target
def show_list(target: Target, *, as_json: bool) -> None:
    """List failure domains with their state and why they are out."""
    lines = run_command(target, list_domains)
    if as_json:
        echo_json(lines)
        return
    for line in lines:
        why = f': {line.reason}' if line.reason else ''
        click.echo(f'{line.domain} {line.state.value}{why}')
