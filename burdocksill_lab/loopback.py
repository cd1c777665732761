"""A small fleet of real processes on loopback, to follow the pages with."""

from pathlib import Path
from typing import Final

import attrs
import msgspec
import trio

from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.protocols import VmRecord
from burdocksill_lab.processes import (
    ProcessGroup,
    free_port,
    run_program,
    wait_for_line,
    wait_for_port,
)

DOMAINS: Final = ('cz-a', 'cz-b', 'cz-c')
SERVICE: Final = 'kiosk-ledger'
HOST_PREFIX: Final = '127.13'
DOCUMENT_FILE: Final = f'{SERVICE}.toml'
ENVIRONMENT_FILE: Final = 'env.sh'
HEAD: Final = f'service = "{SERVICE}"\nteam = "vratka"\n'
UPSTREAM: Final = """
[[upstreams]]
name = "{name}"
domain = "{domain}"
host = "{host}"
port = {port}
slots = 2
connections = 2000
"""


@attrs.define(kw_only=True)
class LoopbackFleet:
    """Hold the platform, the fabric, and in each domain a VM and an upstream.

    All entry VMs share their ports, as a real fleet does; each has an address
    of its own.
    """

    group: ProcessGroup
    folder: Path
    platform: Address = attrs.field(init=False)
    fabric: Address = attrs.field(init=False)
    entries: dict[str, VmRecord] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Pick addresses that are free now."""
        self.platform = free_address(f'{HOST_PREFIX}.0.1')
        self.fabric = free_address(f'{HOST_PREFIX}.0.2')

    @property
    def platform_url(self) -> str:
        """Return the platform's URL."""
        return f'http://{self.platform}'

    @property
    def environment(self) -> dict[str, str]:
        """Return the settings that operators and callers need."""
        admin = next(
            f'{record.host}:{record.admin_port}'
            for record in self.entries.values()
        )
        return {
            'BURDOCKSILL_PLATFORM': self.platform_url,
            'BURDOCKSILL_ENTRY': admin,
            'BURDOCKSILL_CALL_SERVER': str(self.fabric),
            'BURDOCKSILL_CALL_SERVICE': SERVICE,
        }

    async def start(self) -> None:
        """Start everything and wait until callers are served.

        What needs nothing from the rest starts side by side: on a busy machine
        each program takes seconds to start.
        """
        self.group.start(
            'platform',
            ['burdocksill-lab', 'platform', f'--listen={self.platform}'],
        )
        upstreams = self.start_upstreams()
        await wait_for_port(self.platform)
        await self.list_entries()
        await self.prepare_store()
        self.start_entries()
        self.start_fabric()
        for address in upstreams:
            await wait_for_port(address)
        for name in self.entries:
            await wait_for_line(self.group, name, 'serving')
        self.write_environment()

    async def prepare_store(self) -> None:
        """Write the fleet's keys and the service's document."""
        command = ['burdocksill', f'--platform={self.platform_url}']
        document = str(self.folder / DOCUMENT_FILE)
        async with trio.open_nursery() as nursery:
            for words in (
                ['keys', 'rotate'],
                ['document', 'put', document],
            ):
                nursery.start_soon(
                    trio.to_thread.run_sync,
                    run_program,
                    [*command, *words],
                )

    async def list_entries(self) -> None:
        """Write the platform's list of VMs, as the platform itself does."""
        client = EtcdPlatform(endpoint=self.platform_url)
        ports = [free_port(f'{HOST_PREFIX}.1.1') for _ in range(3)]
        for index, domain in enumerate(DOMAINS, start=1):
            record = VmRecord(
                name=f'{domain}-entry-1',
                domain=domain,
                role='entry',
                host=f'{HOST_PREFIX}.{index}.1',
                caller_port=ports[0],
                peer_port=ports[1],
                admin_port=ports[2],
            )
            self.entries[record.name] = record
            await client.compare_and_swap(
                key=keys.VMS + record.name,
                value=msgspec.json.encode(record),
                expected_revision=0,
            )

    def start_upstreams(self) -> list[Address]:
        """Start one upstream in each domain and write the document."""
        text = HEAD
        addresses: list[Address] = []
        for index, domain in enumerate(DOMAINS, start=1):
            name = f'ledger-{index}'
            address = free_address(f'{HOST_PREFIX}.{index}.2')
            addresses.append(address)
            self.group.start(
                name,
                [
                    'burdocksill-lab',
                    'upstream',
                    f'--listen={address}',
                    f'--service={SERVICE}',
                    f'--name={name}',
                ],
            )
            text += UPSTREAM.format(
                name=name,
                domain=domain,
                host=address.host,
                port=address.port,
            )
        (self.folder / DOCUMENT_FILE).write_text(text)
        return addresses

    def start_entries(self) -> None:
        """Start one entry VM in each domain."""
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

    def start_fabric(self) -> None:
        """Start the fabric; it has no port that could be tried."""
        callers = [
            f'--entry={record.host}:{record.caller_port}'
            for record in self.entries.values()
        ]
        command = ['burdocksill-lab', 'fabric', f'--listen={self.fabric}']
        self.group.start('fabric', [*command, *callers])

    def write_environment(self) -> None:
        """Write what a second terminal sources."""
        lines = [
            f'export {name}={text}\n' for name, text in self.environment.items()
        ]
        (self.folder / ENVIRONMENT_FILE).write_text(''.join(lines))


def free_address(host: str) -> Address:
    """Return an address that is free now."""
    return Address(host, free_port(host))
