"""The command group `burdocksill keys`."""

import attrs
import click

from burdocksill.documents.exceptions import DocumentConflictError
from burdocksill.flows.exceptions import KeysMissingError
from burdocksill.flows.keys import KeyRing, decode_ring, encode_ring, rotate
from burdocksill.management.running import (
    echo_json,
    json_option,
    pass_target,
    run_command,
)
from burdocksill.management.target import Target
from burdocksill.platform.keys import FLEET_KEYS
from burdocksill.platform.protocols import Platform


@attrs.frozen(kw_only=True)
class KeyLine:
    """Hold one key as it is listed, without its secret."""

    key_id: int
    signs: bool


@click.group()
def keys() -> None:
    """Make, rotate and list the fleet's keys."""


@keys.command('rotate')
@pass_target
def rotate_keys(target: Target) -> None:
    """Make a new signing key; the one before it stays accepted.

    \b
    Wait ten minutes before the next rotation: cookies that the key before
    last signed are refused from then on.
    Exit codes: 0 rotated, 1 failed, 3 somebody else rotated just now.
    """

    async def write(platform: Platform) -> KeyRing:
        stored = await platform.read(FLEET_KEYS)
        ring = rotate(decode_ring(stored.value) if stored else None)
        swap = await platform.compare_and_swap(
            key=FLEET_KEYS,
            value=encode_ring(ring),
            expected_revision=stored.revision if stored else 0,
        )
        if not swap.accepted:
            raise DocumentConflictError(
                message='the keys were rotated by somebody else meanwhile',
                hint='no further rotation is needed',
            )
        return ring

    ring = run_command(target, write)
    click.echo(f'key {ring.current} signs, {len(ring.keys)} are accepted')


async def read_ring(platform: Platform) -> KeyRing:
    """Return the fleet's keys, or raise KeysMissingError."""
    stored = await platform.read(FLEET_KEYS)
    if stored is None:
        raise KeysMissingError(
            message='the platform holds no fleet keys',
            hint='run: burdocksill keys rotate',
        )
    return decode_ring(stored.value)


@keys.command('export')
@pass_target
def export_keys(target: Target) -> None:
    """Print the keys WITH their secrets, for the setting --keys.

    \b
    A VM that has them can start while the platform is down. Keep the output
    where the settings of VMs are kept, and export again after a rotation.
    """
    ring = run_command(target, read_ring)
    click.echo(encode_ring(ring).decode())


@keys.command('list')
@json_option
@pass_target
def list_keys(target: Target, *, as_json: bool) -> None:
    """List the keys that are accepted, without their secrets."""
    ring = run_command(target, read_ring)
    lines = [
        KeyLine(key_id=key.key_id, signs=key.key_id == ring.current)
        for key in ring.keys
    ]
    if as_json:
        echo_json(lines)
        return
    for line in lines:
        use = 'signs' if line.signs else 'is accepted'
        click.echo(f'key {line.key_id} {use}')
