"""The command `burdocksill check`."""

import sys
from pathlib import Path

import attrs
import click

from burdocksill.checks.catalog import CHECKS, TAGS
from burdocksill.checks.messages import CheckMessage, Level
from burdocksill.checks.registry import CheckContext, run_checks
from burdocksill.conf.catalog import options as setting_options
from burdocksill.exceptions import BurdocksillError
from burdocksill.management.exits import Exit
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_async,
)
from burdocksill.management.target import Target
from burdocksill.platform.protocols import Platform

LEVEL_NAMES = tuple(level.name for level in Level)


@click.command()
@setting_options
@click.option(
    '--document',
    'documents',
    multiple=True,
    type=click.Path(path_type=Path),
    help='Check this document too; may be given again.',
)
@click.option(
    '--tag',
    'tags',
    multiple=True,
    type=click.Choice(TAGS),
    help='Run these checks only.',
)
@click.option(
    '--fail-level',
    type=click.Choice(LEVEL_NAMES),
    default=Level.ERROR.name,
    show_default=True,
    help='Least level that makes the command fail.',
)
@json_option
@pass_target
def check(
    target: Target,
    /,
    documents: tuple[Path, ...],
    tags: tuple[str, ...],
    fail_level: str,
    *,
    as_json: bool,
    **settings: str | None,
) -> None:
    """Check settings of an entry VM, documents, the platform and the fleet.

    \b
    Give the settings as burdocksill-entry gets them, by flags or environment.
    Exit codes: 0 nothing at or above the fail level, 1 something.
    """
    platform = settings.get('platform') or target.platform_url
    checked = attrs.evolve(target, platform_url=platform)
    context = CheckContext(
        settings=settings,
        documents=documents,
        platform=platform_or_none(checked),
        ask_fleet=checked.fleet if platform or target.entries else None,
    )

    async def run() -> list[CheckMessage]:
        return await run_checks(CHECKS, context, tags=tags)

    messages = run_async(run)
    report(messages, as_json=as_json)
    worst = max((message.level for message in messages), default=Level.INFO)
    sys.exit(Exit.FAILED if worst >= Level[fail_level] else Exit.DONE)


def platform_or_none(target: Target) -> Platform | None:
    """Return the platform's client, or None when the URL is not usable.

    The checks of settings report a wrong URL.
    """
    try:
        return target.platform()
    except BurdocksillError:
        return None


def report(messages: list[CheckMessage], *, as_json: bool) -> None:
    """Print the messages, the most serious first."""
    ordered = sorted(messages, key=lambda each: each.level, reverse=True)
    if as_json:
        echo_json(ordered)
        return
    problems = sum(each.level > Level.INFO for each in ordered)
    summary = f'{problems} problems' if problems else 'no problems'
    click.echo('\n'.join([*map(str, ordered), summary]))
