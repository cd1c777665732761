"""The command group `burdocksill document`."""

import re
import sys
from pathlib import Path
from typing import Final

import attrs
import click

from burdocksill.checks.messages import Level
from burdocksill.documents.acceptance import (
    AcceptedEdit,
    delete_document,
    put_document,
)
from burdocksill.documents.checks import check_file, read_text
from burdocksill.documents.schema import parse_document
from burdocksill.management.commands.check import report
from burdocksill.management.exits import Exit
from burdocksill.management.in_force import InForce, wait_in_force
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_command,
)
from burdocksill.management.stored import (
    document_history,
    read_document,
    text_difference,
)
from burdocksill.management.target import Target
from burdocksill.management.toml import document_text
from burdocksill.platform.keys import document_key
from burdocksill.platform.protocols import Platform

REVISION_LINE: Final = re.compile(r'^# revision (\d+)$', re.MULTILINE)
file_argument = click.argument(
    'path',
    metavar='FILE',
    type=click.Path(path_type=Path),
)
wait_option = click.option(
    '--wait',
    'wait_seconds',
    type=float,
    default=0,
    metavar='SECONDS',
    help='Wait until it is in force on every VM, and name where it is not.',
)


@attrs.frozen(kw_only=True)
class PutOutcome:
    """Hold the result of an edit."""

    accepted: AcceptedEdit
    in_force: InForce | None = None


@click.group()
def document() -> None:
    """Edit and read services' documents."""


@document.command()
@file_argument
@click.option(
    '--expect',
    type=int,
    help='Revision that you edited, 0 for a new one; default: the line '
    '"# revision N" in the file, or whatever is stored.',
)
@wait_option
@json_option
@pass_target
def put(
    target: Target,
    path: Path,
    expect: int | None,
    wait_seconds: float,
    *,
    as_json: bool,
) -> None:
    """Put a document in force.

    \b
    Exit codes: 0 accepted (and in force on every VM, with --wait), 1 refused,
    3 somebody else changed it first, 4 accepted but not everywhere in time.
    """

    async def write(platform: Platform) -> PutOutcome:
        text = read_text(path)
        parsed = parse_document(text)
        accepted = await put_document(
            platform,
            parsed,
            expected_revision=revision_in(text) if expect is None else expect,
        )
        return await wait_if_requested(
            target,
            parsed.service,
            accepted,
            wait_seconds,
        )

    finish(run_command(target, write), as_json=as_json)


async def wait_if_requested(
    target: Target,
    service: str,
    accepted: AcceptedEdit,
    wait_seconds: float,
) -> PutOutcome:
    """Wait until an edit is in force on every VM, if --wait was given."""
    if not wait_seconds:
        return PutOutcome(accepted=accepted)
    in_force = await wait_in_force(
        target,
        document_key(service),
        accepted.revision,
        seconds=wait_seconds,
    )
    return PutOutcome(accepted=accepted, in_force=in_force)


def finish(outcome: PutOutcome, *, as_json: bool) -> None:
    """Print the result of an edit and exit with its code."""
    result = outcome.in_force
    if as_json:
        echo_json(outcome)
    else:
        click.echo(f'accepted at revision {outcome.accepted.revision}')
        if result is not None:
            print_in_force(result)
    if result is not None and result.not_on:
        sys.exit(Exit.NOT_EVERYWHERE)


def print_in_force(in_force: InForce) -> None:
    """Print on which VMs an edit is in force and on which it is not."""
    total = len(in_force.on) + len(in_force.not_on)
    click.echo(f'in force on {len(in_force.on)} of {total} VMs')
    for name in in_force.not_on:
        click.echo(f'not yet on {name}')


def revision_in(text: str) -> int | None:
    """Return the revision that `document get` wrote into a text, if any."""
    found = REVISION_LINE.search(text)
    return int(found.group(1)) if found else None


@document.command()
@click.argument('service')
@click.option('--expect', type=int, help='Revision that you looked at.')
@wait_option
@json_option
@pass_target
def delete(
    target: Target,
    service: str,
    expect: int | None,
    wait_seconds: float,
    *,
    as_json: bool,
) -> None:
    """Take a service out of force; its record stays and says so.

    \b
    Exit codes are those of `burdocksill document put`.
    """

    async def write(platform: Platform) -> PutOutcome:
        accepted = await delete_document(
            platform,
            service,
            expected_revision=expect,
        )
        return await wait_if_requested(target, service, accepted, wait_seconds)

    finish(run_command(target, write), as_json=as_json)


@document.command()
@click.argument('service')
@json_option
@pass_target
def get(target: Target, service: str, *, as_json: bool) -> None:
    """Print a service's document in the form that put reads."""
    stored = run_command(target, lambda store: read_document(store, service))
    if as_json:
        echo_json(stored)
        return
    click.echo(f'# revision {stored.revision}')
    click.echo(document_text(stored.document), nl=False)


@document.command()
@file_argument
@json_option
def check(path: Path, *, as_json: bool) -> None:
    """Check a document without putting it; needs no platform.

    \b
    Exit codes: 0 it could be put, 1 it would be refused.
    """
    messages = check_file(path)
    report(messages, as_json=as_json)
    refused = any(message.level is Level.ERROR for message in messages)
    sys.exit(Exit.FAILED if refused else Exit.DONE)


@document.command()
@file_argument
@pass_target
def diff(target: Target, path: Path) -> None:
    """Show what putting a document would change.

    \b
    Exit codes: 0 nothing, 1 something, or the command failed.
    """

    async def compare(platform: Platform) -> str:
        wanted = parse_document(read_text(path))
        stored = await read_document(platform, wanted.service)
        return text_difference(
            stored.label,
            document_text(stored.document),
            path.name,
            document_text(wanted),
        )

    changes = run_command(target, compare)
    click.echo(changes, nl=False)
    sys.exit(Exit.FAILED if changes else Exit.DONE)


@document.command()
@click.argument('service')
@json_option
@pass_target
def history(target: Target, service: str, *, as_json: bool) -> None:
    """Show the revisions of a document that the platform still has."""
    past = run_command(target, lambda store: document_history(store, service))
    if as_json:
        echo_json(past)
        return
    if not past.complete:
        click.echo('the platform has compacted the earlier revisions')
    for entry in past.entries:
        click.echo(f'revision {entry.revision}, edit {entry.edit_id}')
        click.echo(entry.changes)
