"""Steps about the operators' commands, run in this process."""

import json
import tempfile
from collections.abc import AsyncGenerator
from pathlib import Path

import attrs
import httpx
from behave import given, then, when
from behave.runner import Context
from click.testing import CliRunner

from burdocksill.admin.client import AdminClient
from burdocksill.documents.models import encode_document
from burdocksill.documents.schema import parse_document
from burdocksill.flows.keys import decode_ring, encode_ring, rotate
from burdocksill.management.main import main
from burdocksill.management.target import Target
from burdocksill.platform import keys
from burdocksill.platform.etcd import decode_events
from burdocksill.platform.protocols import VmRecord
from burdocksill.platform.values import StoredValue
from burdocksill_lab.stand_ins.store import MemoryPlatform

DOCUMENT = """\
service = "kiosk-ledger"
team = "vratka"

[[upstreams]]
name = "ledger-1"
domain = "cz-a"
host = "10.0.1.2"
port = 8080
slots = {slots}
connections = 2000
"""


@attrs.define(kw_only=True)
class CompactingPlatform(MemoryPlatform):
    """Answer watches as the gateway does after a compaction."""

    oldest: int = 0

    async def watch(
        self, *, prefix: str, from_revision: int
    ) -> AsyncGenerator[StoredValue, None]:
        """Watch, but fail for a revision that has been compacted."""
        if from_revision < self.oldest:
            canceled = {'canceled': True, 'compact_revision': self.oldest}
            decode_events(json.dumps({'result': canceled}))
        changes = MemoryPlatform.watch(
            self, prefix=prefix, from_revision=from_revision
        )
        async for change in changes:
            yield change


def refuse(request: httpx.Request) -> httpx.Response:
    """Raise the error of a refused connection."""
    raise httpx.ConnectError('refused')


@given('the commands run against a platform with fleet keys')
def make_target(context: Context) -> None:
    """Give the commands a platform in memory without VMs."""
    platform = CompactingPlatform()
    platform.put(keys.FLEET_KEYS, encode_ring(rotate(None)))
    # Another service, whose name has the first one's as a prefix.
    other = DOCUMENT.format(slots=1).replace('kiosk-ledger', 'kiosk-ledger-2')
    platform.put(
        keys.document_key('kiosk-ledger-2'),
        encode_document(parse_document(other)),
    )
    context.command_platform = platform
    context.command_target = Target(
        platform_url='http://platform',
        connect=lambda url: platform,
        admin=AdminClient(transport=httpx.MockTransport(refuse)),
    )


@given('the commands know a VM "{name}" that does not answer')
def list_vm(context: Context, name: str) -> None:
    """Put a VM into the platform's list."""
    context.command_platform.put_vm(
        VmRecord(
            name=name,
            domain='cz-a',
            role='entry',
            host='10.0.0.1',
            admin_port=5691,
        ),
    )


@given('the commands get no platform')
def no_platform(context: Context) -> None:
    """Give the commands no URL of the platform."""
    context.command_target = Target()


def run(context: Context, command: str, text: str = '') -> None:
    """Run one command; FILE stands for a file with the text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'document.toml'
        path.write_text(text)
        context.command = CliRunner().invoke(
            main,
            command.replace('FILE', str(path)).split(),
            obj=context.command_target,
        )


@when('the command "{command}" runs')
def run_plain(context: Context, command: str) -> None:
    """Run a command without a file."""
    run(context, command)


@when('the command "{command}" runs on the document with {slots:d} slots')
def run_on_document(context: Context, command: str, slots: int) -> None:
    """Run a command on a document."""
    run(context, command, DOCUMENT.format(slots=slots))


@when('the command "{command}" runs and its output is saved')
def run_and_save(context: Context, command: str) -> None:
    """Store the output, as an operator saves it in a file."""
    run(context, command)
    context.saved_document = context.command.output


@when('the command "{command}" runs on the saved document with {slots:d} slots')
def run_on_saved(context: Context, command: str, slots: int) -> None:
    """Run a command on an edited copy of the saved document."""
    text = context.saved_document.replace('slots = 2', f'slots = {slots}')
    run(context, command, text)


@then('the command ends with {code:d} and prints "{text}"')
def check_command(context: Context, code: int, text: str) -> None:
    """Compare the exit code and look for the text."""
    command = context.command
    assert command.exit_code == code, (command.exit_code, command.output)
    assert text in command.output, command.output


@then("the command's output is put again without a change")
def check_put_again(context: Context) -> None:
    """Diff the output against the stored document, then put it."""
    text = context.command.output
    assert text.startswith('# revision '), text
    run(context, 'document diff FILE', text)
    assert context.command.exit_code == 0, context.command.output
    run(context, 'document put FILE', text)
    assert context.command.exit_code == 0, context.command.output


@then('the history has {count:d} revisions of this service only')
def check_history(context: Context, count: int) -> None:
    """Count the revisions that are shown."""
    lines = context.command.output.splitlines()
    revisions = [line for line in lines if line.startswith('revision ')]
    assert len(revisions) == count, context.command.output


@then('no secret of the fleet is printed')
def check_secrets(context: Context) -> None:
    """Look for each secret in the output."""
    stored = context.command_platform.current[keys.FLEET_KEYS]
    for key in decode_ring(stored.value).keys:
        assert key.secret not in context.command.output


@when('the platform of the commands compacts all but the newest revision')
def compact(context: Context) -> None:
    """Drop all revisions but the newest."""
    platform = context.command_platform
    platform.oldest = platform.revision
