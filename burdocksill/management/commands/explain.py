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

# How many of a flow's latest requests one explanation covers.
MAX_TOKENS: Final = 64


@attrs.frozen(kw_only=True)
class FleetExplanation:
    """Hold the decisions of the VMs that answered, ordered by time."""

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
    explanation = run_async(lambda: explain_fleet(target, query))
    if as_json:
        echo_json(explanation)
    else:
        show(explanation)
    if explanation.cookie is None and not explanation.decisions:
        sys.exit(Exit.FAILED)


async def explain_fleet(
    target: Target,
    query: ExplainQuery,
) -> FleetExplanation:
    """Query every VM that can be found and merge the answers.

    The VM that placed a flow recorded the decision before the flow had an id.
    So a second round queries the tokens that the first one found.
    """
    query.validate()
    fleet = await target.fleet()
    answers = await target.admin.explain_all(fleet.addresses, query)
    cookies = [part.cookie for part in answers if part.cookie]
    tokens = latest_tokens(answers)
    if tokens:
        answers = await target.admin.explain_all(
            fleet.addresses,
            ExplainQuery(tokens=tokens),
        )
    decisions = [line for part in answers for line in part.decisions]
    return FleetExplanation(
        cookie=cookies[0] if cookies else None,
        decisions=tuple(sorted(decisions, key=lambda line: line.at)),
        silent=fleet.silent,
    )


def latest_tokens(answers: tuple[Explanation, ...]) -> tuple[str, ...]:
    """Return the tokens of the latest requests, at most MAX_TOKENS."""
    lines = [line for part in answers for line in part.decisions]
    lines.sort(key=lambda line: line.at)
    tokens = dict.fromkeys(line.token for line in reversed(lines))
    return tuple(tokens)[:MAX_TOKENS]


def show(explanation: FleetExplanation) -> None:
    """Print an explanation, one decision per line."""
    if explanation.cookie is not None:
        show_cookie(explanation.cookie)
    for line in explanation.decisions:
        click.echo(decision_text(line))
    if not explanation.decisions:
        click.echo('no VM that answered remembers a decision about it')
    for name in explanation.silent:
        click.echo(f'!! {name} does not answer; what it knows is missing')


def show_cookie(cookie: CookieLine) -> None:
    """Print the content of a cookie."""
    click.echo(
        f'cookie of {cookie.service}: flow {cookie.flow} at '
        f'{cookie.upstream}, owner {cookie.owner}, epoch {cookie.epoch}, '
        f'{cookie.age}',
    )


def decision_text(line: DecisionLine) -> str:
    """Return one decision as a line of text."""
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
