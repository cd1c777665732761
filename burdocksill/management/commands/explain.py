"""The command `burdocksill explain`."""

import sys
from datetime import UTC, datetime
from typing import Final

import attrs
import click

from burdocksill.admin.explain import ExplainQuery
from burdocksill.admin.messages import CookieLine, DecisionLine, Explanation
from burdocksill.management.exits import Exit
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_async,
)
from burdocksill.management.target import Target

# The requests of one flow that one explanation goes into, the latest ones.
TOKENS_AT_ONCE: Final = 64


@attrs.frozen(kw_only=True)
class FleetExplanation:
    """Hold what the VMs that answered remember, in the order of time."""

    cookie: CookieLine | None
    decisions: tuple[DecisionLine, ...]
    silent: tuple[str, ...]


@click.command()
@click.option('--flow', default='', help='Flow id in hex.')
@click.option('--token', default='', help="A request's token in hex.")
@click.option('--cookie', default='', help="A flow's cookie in hex.")
@json_option
@pass_target
def explain(
    target: Target,
    flow: str,
    token: str,
    cookie: str,
    *,
    as_json: bool,
) -> None:
    """Say why a request or flow went where it went, or was refused.

    \b
    Each VM remembers its latest decisions in memory; all that answer are
    asked. Exit codes: 0 found, 1 nothing is remembered, 5 no VM answered.
    """
    query = ExplainQuery(
        flow=flow,
        cookie=cookie,
        tokens=(token,) if token else (),
    )
    told = run_async(lambda: ask(target, query))
    if as_json:
        echo_json(told)
    else:
        show(told)
    if told.cookie is None and not told.decisions:
        sys.exit(Exit.FAILED)


async def ask(target: Target, query: ExplainQuery) -> FleetExplanation:
    """Ask every VM that can be found and put the answers in order.

    The VM that placed a flow did not know its id yet, so a second round asks
    for the tokens that the first has found.
    """
    query.require()
    fleet = await target.fleet()
    told = await target.admin.explain_all(fleet.addresses, query)
    cookies = [part.cookie for part in told if part.cookie]
    tokens = latest_tokens(told)
    if tokens:
        told = await target.admin.explain_all(
            fleet.addresses,
            ExplainQuery(tokens=tokens),
        )
    decisions = [line for part in told for line in part.decisions]
    return FleetExplanation(
        cookie=cookies[0] if cookies else None,
        decisions=tuple(sorted(decisions, key=lambda line: line.at)),
        silent=fleet.silent,
    )


def latest_tokens(told: tuple[Explanation, ...]) -> tuple[str, ...]:
    """Return the tokens of the latest requests, as many as one call takes."""
    lines = [line for part in told for line in part.decisions]
    lines.sort(key=lambda line: line.at)
    tokens = dict.fromkeys(line.token for line in reversed(lines))
    return tuple(tokens)[:TOKENS_AT_ONCE]


def show(told: FleetExplanation) -> None:
    """Print an explanation, one decision a line."""
    if told.cookie is not None:
        show_cookie(told.cookie)
    for line in told.decisions:
        click.echo(decision_text(line))
    if not told.decisions:
        click.echo('no VM that answered remembers a decision about it')
    for name in told.silent:
        click.echo(f'!! {name} does not answer; what it knows is missing')


def show_cookie(cookie: CookieLine) -> None:
    """Print what a cookie says."""
    click.echo(
        f'cookie of {cookie.service}: flow {cookie.flow} at '
        f'{cookie.upstream}, owner {cookie.owner}, epoch {cookie.epoch}, '
        f'{cookie.age}',
    )


def decision_text(line: DecisionLine) -> str:
    """Write one decision."""
    clock = datetime.fromtimestamp(line.at, UTC).strftime('%H:%M:%S.%f')
    parts = [clock, line.node, line.step, f'token {line.token}']
    if line.flow:
        parts.append(f'flow {line.flow}')
    if line.upstream:
        parts.append(f'upstream {line.upstream}')
    if line.peer:
        parts.append(f'to {line.peer}')
    if line.verdict:
        parts.append(f'{line.verdict} {line.reason}'.strip())
    return '  '.join(parts)
