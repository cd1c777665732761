"""The command group `burdocksill document`."""

from pathlib import Path

import click

from burdocksill.documents.acceptance import Accepted, put_document
from burdocksill.documents.exceptions import DocumentMissingError
from burdocksill.documents.schema import parse_document
from burdocksill.management.running import run_command
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.keys import document_key
from burdocksill.platform.protocols import StoredValue


@click.group()
def document() -> None:
    """Edit and read services' documents."""


@document.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.option('--expect', type=int, help='Revision that you edited.')
@click.pass_obj
def put(platform: str, path: Path, expect: int | None) -> None:
    """Put a document in force."""
    text = path.read_text()

    async def write(store: EtcdPlatform) -> Accepted:
        parsed = parse_document(text)
        return await put_document(store, parsed, expected_revision=expect)

    accepted = run_command(platform, write)
    click.echo(f'accepted at revision {accepted.revision}')


@document.command()
@click.argument('service')
@click.pass_obj
def get(platform: str, service: str) -> None:
    """Print a service's document as it is stored."""

    async def read(store: EtcdPlatform) -> StoredValue:
        stored = await store.read(document_key(service))
        if stored is None:
            raise DocumentMissingError(
                message=f'there is no document of {service!r}',
                hint='put one with: burdocksill document put FILE',
            )
        return stored

    stored = run_command(platform, read)
    click.echo(f'# revision {stored.revision}')
    click.echo(stored.value.decode())
