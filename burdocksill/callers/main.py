"""The program burdocksill-call: send requests or follow a feed."""

import math
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, TextIO

import attrs
import click
import trio

from burdocksill import VERSION
from burdocksill.callers.display import (
    answered,
    failed,
    show,
    show_notification,
)
from burdocksill.callers.exceptions import CallFailedError, ScriptInvalidError
from burdocksill.callers.feeds import open_feed
from burdocksill.callers.script import Call, make_call, read_script
from burdocksill.callers.session import (
    DEFAULT_TIMEOUT_SECONDS,
    Session,
    open_session,
)
from burdocksill.conf.readers import parse_address, require_name
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address
from burdocksill.network.sockets import SocketNetwork
from burdocksill.requests.verdict import Verdict

EXIT_DONE: Final = 0
EXIT_USAGE: Final = 2
EXIT_CODES: Final[Mapping[Verdict, int]] = MappingProxyType(
    {
        Verdict.NOT_RUN: 3,
        Verdict.MAY_HAVE_RUN: 4,
        Verdict.RAN: 5,
    }
)


@attrs.frozen(kw_only=True)
class Plan:
    """Hold the validated command line."""

    service: str
    server: Address
    calls: tuple[Call, ...]
    timeout_seconds: float
    as_json: bool
    # How many notifications of a feed to print, and after which position.
    count: float
    after: int | None


@attrs.frozen(kw_only=True)
class CommandLine:
    """Hold the flags and arguments as they were given."""

    server: str
    service: str
    method: str
    payload: str
    script: TextIO | None
    timeout: float
    paths: tuple[str, ...]
    count: int | None
    after: int | None
    feed: bool
    as_json: bool

    def plan(self) -> Plan:
        """Validate the command line and script before anything is sent."""
        calls = self.calls()
        if not calls:
            raise ScriptInvalidError(
                message='there is nothing to send',
                hint='give a PATH or --script',
            )
        if self.feed and len(calls) > 1:
            raise ScriptInvalidError(
                message=f'--feed was given {len(calls)} paths',
                hint='give one; a session follows one feed here',
            )
        return Plan(
            service=require_name('--service', self.service),
            server=parse_address('--server', self.server),
            calls=calls,
            timeout_seconds=self.timeout,
            as_json=self.as_json,
            count=self.count or math.inf,
            after=self.after,
        )

    def calls(self) -> tuple[Call, ...]:
        """Return the calls of the paths, then those of the script."""
        named = (
            make_call(self.method, path, self.payload) for path in self.paths
        )
        return (*named, *read_script(self.script or ()))


@click.command(context_settings={'auto_envvar_prefix': 'BURDOCKSILL_CALL'})
@click.option('--server', default='', help='Address of the service, host:port.')
@click.option('--service', default='', help='Name of the service.')
@click.option('--method', default='GET', show_default=True)
@click.option('--payload', default='', help='Body of each request.')
@click.option(
    '--script',
    type=click.File(),
    help='Send its lines too, each METHOD PATH [PAYLOAD]; - is standard input.',
)
@click.option(
    '--timeout',
    type=float,
    default=DEFAULT_TIMEOUT_SECONDS,
    show_default=True,
    help='Seconds to wait for each answer.',
)
@click.option('--feed', is_flag=True, help='Follow the feed at PATH.')
@click.option(
    '--count',
    type=click.IntRange(min=1),
    help='End a feed after so many notifications; default: never.',
)
@click.option(
    '--after',
    type=int,
    help='Go on with a feed after this position; default: from now on.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print a JSON line each.')
@click.argument('paths', nargs=-1, metavar='[PATH]...')
@click.version_option(VERSION)
def main(**given: Any) -> None:
    """Send requests in one session, or follow a feed.

    Each request shows its verdict and hops, each notification its position.

    \b
    The session ends with the first request that fails. Exit codes: 0 all
    answers are whole, 2 wrong usage, 3 not run, 4 may have run, 5 ran but
    its answer cannot be delivered.
    """
    line = CommandLine(**given)
    try:
        plan = line.plan()
    except BurdocksillError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_USAGE)
    sys.exit(trio.run(follow_feed if line.feed else send_all, plan))


async def follow_feed(plan: Plan) -> int:
    """Print a feed's notifications and return the exit code."""
    call = plan.calls[0]
    async with (
        open_session(
            service=plan.service,
            server=plan.server,
            network=SocketNetwork(),
            wants_hops=True,
        ) as session,
        open_feed(session, call.path, after=plan.after) as reader,
    ):
        shown = 0
        while shown < plan.count:
            try:
                notification = await reader.receive()
            except CallFailedError as error:
                report = failed(call, error, session.cookie)
                show(report, as_json=plan.as_json)
                return EXIT_CODES[error.verdict]
            show_notification(notification, as_json=plan.as_json)
            shown += 1
    return EXIT_DONE


async def send_all(plan: Plan) -> int:
    """Send the calls in order and return the exit code."""
    async with open_session(
        service=plan.service,
        server=plan.server,
        network=SocketNetwork(),
        wants_hops=True,
    ) as session:
        for call in plan.calls:
            code = await send(session, call, plan)
            if code != EXIT_DONE:
                return code
    return EXIT_DONE


async def send(session: Session, call: Call, plan: Plan) -> int:
    """Send one call, print its outcome and return the exit code."""
    try:
        answer = await session.request(
            call.method,
            call.path,
            payload=call.payload,
            timeout_seconds=plan.timeout_seconds,
        )
    except CallFailedError as error:
        report = failed(call, error, session.cookie)
        show(report, as_json=plan.as_json)
        return EXIT_CODES[error.verdict]
    show(answered(call, answer, session.cookie), as_json=plan.as_json)
    return EXIT_DONE
