"""A small fleet of real processes on loopback: platform, upstream, VMs."""

import base64
import os
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Final

import attrs
import httpx
import msgspec

from burdocksill.documents.acceptance import put_document
from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.network.protocols import Address
from burdocksill.platform import keys
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.protocols import VmRecord, VmState
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
UPSTREAM: Final = 'ledger-1'
HOST_PREFIX: Final = '127.14'
# Enough that no bench or test reaches it.
CONNECTIONS: Final = 1_000_000
LEDGER_FILE: Final = 'ledger.txt'


@attrs.frozen(kw_only=True)
class FleetPlan:
    """Hold what a fleet is made of; the first VM's domain has the upstream."""

    vms: tuple[str, ...]
    slots: int
    work_seconds: float = 0
    keeps_ledger: bool = False
    # Where the entry program's code stands; empty for this one.
    source: str = ''


@attrs.define(kw_only=True)
class ProcessFleet:
    """Hold the processes of one fleet."""

    group: ProcessGroup
    plan: FleetPlan
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

    @property
    def ledger(self) -> Path:
        """Return the file that names what the upstream ran."""
        return self.group.logs / LEDGER_FILE

    def caller_address(self, name: str) -> Address:
        """Return where an entry VM listens for callers."""
        record = self.entries[name]
        return Address(record.host, record.caller_port)

    def pid(self, name: str) -> int:
        """Return the id of a process of this fleet."""
        return self.group.running[name].pid

    async def start(self) -> None:
        """Start the platform, the upstream and all entry VMs."""
        self.group.start(
            'platform',
            ['burdocksill-lab', 'platform', '--listen', str(self.platform)],
        )
        await wait_for_port(self.platform)
        run_program(['burdocksill', '--platform', self.url, 'keys', 'rotate'])
        document = await self.start_upstream()
        await put_document(EtcdPlatform(endpoint=self.url), document)
        for name in self.plan.vms:
            await self.list_vm(name, VmState.LIVE)
        for name in self.plan.vms:
            self.start_entry(name)
        for name in self.plan.vms:
            await wait_for_line(self.group, name, 'serving')

    async def start_upstream(self) -> ServiceDocument:
        """Start the upstream; return its service's document."""
        host = f'{HOST_PREFIX}.1.2'
        address = Address(host, free_port(host))
        arguments = [
            'burdocksill-lab',
            'upstream',
            f'--listen={address}',
            f'--service={SERVICE}',
            f'--name={UPSTREAM}',
            f'--slots={self.plan.slots}',
            f'--work-seconds={self.plan.work_seconds}',
        ]
        if self.plan.keeps_ledger:
            self.ledger.touch()
            arguments.append(f'--ledger={self.ledger}')
        self.group.start(UPSTREAM, arguments)
        await wait_for_port(address)
        upstream = Upstream(
            name=UPSTREAM,
            domain=self.plan.vms[0].rpartition('-entry-')[0],
            host=address.host,
            port=address.port,
            slots=self.plan.slots,
            connections=CONNECTIONS,
            cold_limit=self.plan.slots,
        )
        return ServiceDocument(
            service=SERVICE,
            team='vratka',
            upstreams=(upstream,),
        )

    async def list_vm(self, name: str, state: VmState) -> None:
        """Write a VM's state to the platform's list, as the platform does."""
        record = self.entries.get(name)
        if record is None:
            host = f'{HOST_PREFIX}.{len(self.entries) + 1}.1'
            record = entry_record(name, host)
        record = attrs.evolve(record, state=state)
        self.entries[name] = record
        client = EtcdPlatform(endpoint=self.url)
        key = keys.VMS + name
        stored = await client.read(key)
        await client.compare_and_swap(
            key=key,
            value=msgspec.json.encode(record),
            expected_revision=stored.revision if stored else 0,
        )

    async def drop_vm(self, name: str) -> None:
        """Take a VM that is gone off the list, as the platform does."""
        key = base64.b64encode(f'{keys.VMS}{name}'.encode()).decode()
        async with httpx.AsyncClient() as client:
            await client.post(
                f'{self.url}/v3/kv/deleterange',
                json={'key': key},
            )

    def start_entry(self, name: str) -> None:
        """Start one entry VM from the code of the plan."""
        record = self.entries[name]
        source = self.plan.source
        environment = {'PYTHONPATH': source} if source else {}
        self.group.start(
            name,
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
    plan: FleetPlan,
) -> AsyncGenerator[ProcessFleet, None]:
    """Start a fleet and end it with the block."""
    with process_group(folder) as group:
        fleet = ProcessFleet(group=group, plan=plan)
        await fleet.start()
        yield fleet
