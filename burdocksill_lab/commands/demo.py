"""The command `burdocksill-lab demo`: the whole path in separate processes."""

import socket
import sys
import tempfile
from pathlib import Path
from typing import Final

import attrs
import click
import msgspec
import trio

from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.protocols import VmRecord
from burdocksill_lab.processes import (
    ProcessGroup,
    entry_record,
    free_port,
    process_group,
    run_program,
    wait_for_line,
    wait_for_port,
)

DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
FABRIC_HOST: Final = '127.0.100.1'
REQUESTS: Final = (
    ('kiosk-ledger', 'GET', 'confirmations/today', ''),
    ('kiosk-ledger', 'POST', 'returns', '{"kiosk": 17, "returns": 4}'),
    ('statement-desk', 'GET', 'statements/2026-12', ''),
    ('statement-desk', 'POST', 'requests', '{"distributor": 3}'),
)
DOCUMENT: Final = """\
service = "{service}"
team = "vratka"

[[upstreams]]
name = "{service}-1"
domain = "{domain}"
host = "{host}"
port = {port}
slots = 2
connections = 2000
"""


@attrs.frozen(kw_only=True)
class DemoUpstream:
    """Name one upstream of the demo and where it listens."""

    service: str
    domain: str
    address: Address


@attrs.define(kw_only=True)
class Demo:
    """Hold what the demo starts, in order."""

    group: ProcessGroup
    folder: Path
    platform: Address
    upstreams: tuple[DemoUpstream, ...]
    entries: dict[str, VmRecord] = attrs.field(factory=dict)

    @property
    def platform_url(self) -> str:
        """Return the platform's URL."""
        return f'http://{self.platform}'

    async def run(self) -> None:
        """Start everything, send the requests, stop everything."""
        await self.start_platform()
        self.start_upstreams()
        self.put_documents()
        await self.start_entries()
        fabric = await self.start_fabric()
        for service, method, path, payload in REQUESTS:
            click.echo(f'{service} {method} /{path}')
            arguments = ['--service', service, '--method', method]
            if payload:
                arguments.extend(['--payload', payload])
            click.echo(
                run_program(
                    [
                        'burdocksill-call',
                        '--server',
                        str(fabric),
                        *arguments,
                        path,
                    ]
                ),
            )
        self.stop()

    async def start_platform(self) -> None:
        """Start the platform and write its list of VMs and the keys."""
        self.group.start(
            'platform',
            ['burdocksill-lab', 'platform', '--listen', str(self.platform)],
        )
        await wait_for_port(self.platform)
        client = EtcdPlatform(endpoint=self.platform_url)
        for index, domain in enumerate(DOMAINS, start=1):
            record = entry_record(f'{domain}-entry-1', f'127.0.{index}.1')
            self.entries[record.name] = record
            await client.compare_and_swap(
                key=keys.VMS + record.name,
                value=msgspec.json.encode(record),
                expected_revision=0,
            )
        self.operate('keys', 'rotate')

    def operate(self, *arguments: str) -> None:
        """Run an operator's command and show what it printed."""
        command = ['burdocksill', '--platform', self.platform_url, *arguments]
        click.echo(run_program(command).strip())

    def start_upstreams(self) -> None:
        """Start one upstream of each service."""
        for upstream in self.upstreams:
            self.group.start(
                f'{upstream.service}-1',
                [
                    'burdocksill-lab',
                    'upstream',
                    '--listen',
                    str(upstream.address),
                    '--service',
                    upstream.service,
                    '--name',
                    f'{upstream.service}-1',
                ],
            )

    def put_documents(self) -> None:
        """Load the team's documents with the operators' command."""
        for upstream in self.upstreams:
            path = self.folder / f'{upstream.service}.toml'
            path.write_text(
                DOCUMENT.format(
                    service=upstream.service,
                    domain=upstream.domain,
                    host=upstream.address.host,
                    port=upstream.address.port,
                ),
            )
            self.operate('document', 'put', str(path))

    async def start_entries(self) -> None:
        """Start one entry VM in each failure domain."""
        for name, record in self.entries.items():
            self.group.start(
                name,
                [
                    'burdocksill-entry',
                    f'--name={name}',
                    f'--domain={record.domain}',
                    f'--listen={record.host}:{record.caller_port}',
                    f'--peer={record.host}:{record.peer_port}',
                    f'--admin={record.host}:{record.admin_port}',
                    f'--platform={self.platform_url}',
                ],
            )
        for name in self.entries:
            await wait_for_line(self.group, name, 'serving')
        for upstream in self.upstreams:
            await wait_for_port(upstream.address)

    async def start_fabric(self) -> Address:
        """Start the fabric in front of the entry VMs."""
        port = free_port(FABRIC_HOST, socket.SOCK_DGRAM)
        address = Address(FABRIC_HOST, port)
        arguments = ['burdocksill-lab', 'fabric', '--listen', str(address)]
        for record in self.entries.values():
            entry = f'{record.host}:{record.caller_port}'
            arguments.extend(['--entry', entry])
        self.group.start('fabric', arguments)
        await wait_for_line(self.group, 'fabric', 'serving')
        return address

    def stop(self) -> None:
        """Stop everything; entry VMs must end with 0."""
        for name in self.entries:
            code = self.group.stop(name)
            click.echo(f'{name} stopped with {code}')
            if code != 0:
                click.echo(self.group.log(name), err=True)
                sys.exit(1)
        self.group.stop_all()


@click.command()
def demo() -> None:
    """Send requests through three entry VMs in three failure domains."""
    with tempfile.TemporaryDirectory() as folder:
        logs = Path(folder)
        with process_group(logs) as group:
            demonstration = Demo(
                group=group,
                folder=logs,
                platform=Address('127.0.0.1', free_port('127.0.0.1')),
                upstreams=(
                    DemoUpstream(
                        service='kiosk-ledger',
                        domain='cz-a',
                        address=Address('127.0.1.2', free_port('127.0.1.2')),
                    ),
                    DemoUpstream(
                        service='statement-desk',
                        domain='cz-b',
                        address=Address('127.0.2.2', free_port('127.0.2.2')),
                    ),
                ),
            )
            trio.run(demonstration.run)
