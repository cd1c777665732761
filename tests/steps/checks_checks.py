"""Steps about system checks."""

import tempfile
from pathlib import Path

import attrs
import trio
from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from burdocksill import VERSION
from burdocksill.admin.client import FleetStatus
from burdocksill.admin.messages import NodeStatus
from burdocksill.checks.catalog import CHECKS
from burdocksill.checks.messages import CheckMessage
from burdocksill.checks.registry import CheckContext, run_checks
from burdocksill.management.main import main
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.values import Snapshot
from burdocksill_lab.stand_ins.store import MemoryPlatform

HEAD = 'service = "kiosk-ledger"\nteam = "vratka"\n'
UPSTREAM = """
[[upstreams]]
name = "ledger-1"
domain = "cz-a"
host = "10.0.1.2"
port = 8080
slots = 2
connections = 2000
"""


class DownPlatform(MemoryPlatform):
    """Platform that fails every prefix read."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Fail as during an outage."""
        raise PlatformUnavailableError(message='down')


@given('the system checks get a document without upstreams')
def give_empty(context: Context) -> None:
    """Use an invalid document."""
    context.checked_text = f'{HEAD}upstreams = []\n'


@given('the system checks get a document in one failure domain')
def give_single(context: Context) -> None:
    """Use a valid document that gives a warning."""
    context.checked_text = HEAD + UPSTREAM


@given('the system checks get a platform that is down')
def give_down(context: Context) -> None:
    """Use a platform in an outage."""
    context.checked_platform = DownPlatform()


@given('the system checks get an empty platform')
def give_new(context: Context) -> None:
    """Use a platform without keys."""
    context.checked_platform = MemoryPlatform()


@when('the system checks run')
def run(context: Context) -> None:
    """Run all checks."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'document.toml'
        path.write_text(context.checked_text)
        context.check_messages = trio.run(
            run_checks,
            CHECKS,
            CheckContext(
                settings=context.given_settings,
                documents=(path,),
                platform=context.checked_platform,
            ),
        )


@given('the system checks get the status of a fleet with faults')
def give_fleet(context: Context) -> None:
    """Use a fleet status with one VM for each kind of warning."""

    async def ask() -> FleetStatus:
        started = NodeStatus(
            name='a', domain='cz-a', version=VERSION, serving=False
        )
        return FleetStatus(
            nodes=(
                started,
                attrs.evolve(started, serving=True, quorate=False),
                attrs.evolve(started, serving=True, version='0.0.9'),
            ),
            silent=('d',),
        )

    context.ask_fleet = ask


@when("the fleet's system checks run")
def run_fleet(context: Context) -> None:
    """Run only the checks of the fleet."""

    async def call() -> list[CheckMessage]:
        return await run_checks(
            CHECKS,
            CheckContext(
                settings=context.given_settings,
                ask_fleet=context.ask_fleet,
            ),
            tags=('fleet',),
        )

    context.check_messages = trio.run(call)


@then('the system checks report')
def check_messages(context: Context) -> None:
    """Compare ids and levels, in order."""
    expected = [(row['id'], row['level']) for row in context.table]
    found = [
        (message.id, message.level.name) for message in context.check_messages
    ]
    assert found == expected, found


def run_check_command(*arguments: str) -> int:
    """Run `burdocksill check` only on settings; return the exit code."""
    settings = [
        '--name=a',
        '--domain=a',
        '--listen=10.0.0.1:1',
        '--peer=10.0.0.1:2',
        '--tag=settings',
        '--platform=http://127.0.0.1:9',
    ]
    return CliRunner().invoke(main, ['check', *settings, *arguments]).exit_code


@then('burdocksill check on an invalid setting ends with 1')
def check_invalid(context: Context) -> None:
    """Use an address without a port."""
    assert run_check_command('--admin=10.0.0.1') == 1


@then('burdocksill check on a suspicious setting ends with 0')
def check_suspicious(context: Context) -> None:
    """Bind the admin address to all interfaces."""
    assert run_check_command('--admin=0.0.0.0:3') == 0


@then('burdocksill check on a suspicious setting with --fail-level ends with 1')
def check_strict(context: Context) -> None:
    """Bind to all interfaces and fail on warnings."""
    arguments = ('--admin=0.0.0.0:3', '--fail-level=WARNING')
    assert run_check_command(*arguments) == 1
