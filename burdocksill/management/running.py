"""Running of operators' commands, with their output and exit codes."""

import json
import sys
from collections.abc import Awaitable, Callable
from typing import Final, NoReturn, TypeVar

import click
import msgspec
import trio

from burdocksill.admin.exceptions import AdminUnreachableError
from burdocksill.conf.exceptions import SettingInvalidError
from burdocksill.documents.exceptions import DocumentConflictError
from burdocksill.exceptions import BurdocksillError
from burdocksill.management.exits import Exit
from burdocksill.management.target import Target
from burdocksill.platform.protocols import Platform

Outcome = TypeVar('Outcome')
JSON_INDENT: Final = 2

pass_target = click.make_pass_decorator(Target)
json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print JSON for scripts.',
)


def run_command(
    target: Target,
    command: Callable[[Platform], Awaitable[Outcome]],
) -> Outcome:
    """Run a command against the platform."""

    async def call() -> Outcome:
        return await command(target.platform())

    return run_async(call)


def run_async(command: Callable[[], Awaitable[Outcome]]) -> Outcome:
    """Run a command; on an error print its code and hint, and exit."""
    try:
        return trio.run(command)
    except BurdocksillError as error:
        fail(error)


def fail(error: BurdocksillError) -> NoReturn:
    """Print an error and exit with its code."""
    click.echo(str(error), err=True)
    sys.exit(exit_code(error))


def exit_code(error: BurdocksillError) -> Exit:
    """Return the exit code of an error."""
    match error:
        case SettingInvalidError():
            return Exit.USAGE
        case DocumentConflictError():
            return Exit.CONFLICT
        case AdminUnreachableError():
            return Exit.UNREACHABLE
    return Exit.FAILED


def echo_json(content: object) -> None:
    """Print a typed message as indented JSON."""
    plain = msgspec.to_builtins(content)
    click.echo(json.dumps(plain, indent=JSON_INDENT))
