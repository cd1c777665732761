"""A small fleet of real processes to measure: owners, a relay, upstreams."""

import os
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import attrs
import msgspec

from burdocksill.documents.acceptance import put_document
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.protocols import VmRecord
from burdocksill_lab.bench.usage import Usage, read_usage
from burdocksill_lab.processes import (
    ProcessGroup,
    entry_record,
    free_port,
    process_group,
    run_program,
    wait_for_line,
    wait_for_port,
)

SERVICE: Final = 'kiosk-ledger'
OWNER: Final = 'cz-a-entry-1'
RELAY: Final = 'cz-b-entry-1'
OWNER_DOMAIN: Final = 'cz-a'
HOST_PREFIX: Final = '127.14'
# Enough that the limits of an upstream are not what the bench measures.
SLOTS: Final = 64


@attrs.define(kw_only=True)
class BenchFleet:
    """Hold the processes of one revision of the entry program."""

    group: ProcessGroup
    # Where the entry program's code stands; empty for this one.
    source: str = ''
    platform: Address = attrs.field(init=False)
    entries: dict[str, VmRecord] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Pick the platform's address."""
        host = f'{HOST_PREFIX}.0.1'
        self.platform = Address(host, free_port(host))

    @property
    def url(self) -> str:
        """Return the platform's URL."""
        return f'http://{self.platform}'

    def caller_address(self, name: str) -> Address:
        """Return where an entry VM listens for callers."""
        record = self.entries[name]
        return Address(record.host, record.caller_port)

    def usage(self, name: str) -> Usage:
        """Return what a process has used so far."""
        return read_usage(self.group.running[name].pid)

    async def start(self) -> None:
        """Start the platform, an upstream, its owner and a relay."""
        self.group.start(
            'platform',
            ['burdocksill-lab', 'platform', '--listen', str(self.platform)],
        )
        await wait_for_port(self.platform)
        run_program(['burdocksill', '--platform', self.url, 'keys', 'rotate'])
        client = EtcdPlatform(endpoint=self.url)
        await put_document(client, await self.start_upstream())
        for index, name in enumerate((OWNER, RELAY), start=1):
            record = entry_record(name, f'{HOST_PREFIX}.{index}.1')
            self.entries[name] = record
            await client.swap(
                key=keys.VMS + name,
                value=msgspec.json.encode(record),
                expected_revision=0,
            )
        for record in self.entries.values():
            self.start_entry(record)
        for name in self.entries:
            await wait_for_line(self.group, name, 'serving')

    async def start_upstream(self) -> ServiceDocument:
        """Start one upstream that answers at once; return its document."""
        host = f'{HOST_PREFIX}.1.2'
        address = Address(host, free_port(host))
        name = 'ledger-1'
        self.group.start(
            name,
            [
                'burdocksill-lab',
                'upstream',
                f'--listen={address}',
                f'--service={SERVICE}',
                f'--name={name}',
                f'--slots={SLOTS}',
                '--work-seconds=0',
            ],
        )
        await wait_for_port(address)
        return ServiceDocument(
            service=SERVICE,
            team='vratka',
            upstreams=(
                Upstream(
                    name=name,
                    domain=OWNER_DOMAIN,
                    host=address.host,
                    port=address.port,
                    slots=SLOTS,
                    connections=2000,
                    cold_limit=SLOTS,
                ),
            ),
        )

    def start_entry(self, record: VmRecord) -> None:
        """Start one entry VM from the code that is measured."""
        environment = {'PYTHONPATH': self.source} if self.source else {}
        self.group.start(
            record.name,
            [
                'burdocksill-entry',
                f'--name={record.name}',
                f'--domain={record.domain}',
                f'--listen={record.host}:{record.caller_port}',
                f'--peer={record.host}:{record.peer_port}',
                f'--admin={record.host}:{record.admin_port}',
                f'--platform={self.url}',
            ],
            environment={**os.environ, **environment},
        )


@asynccontextmanager
async def open_fleet(
    folder: Path,
    *,
    source: str = '',
) -> AsyncGenerator[BenchFleet, None]:
    """Start a fleet and end it with the block."""
    with process_group(folder) as group:
        fleet = BenchFleet(group=group, source=source)
        await fleet.start()
        yield fleet
