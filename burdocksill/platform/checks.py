"""Check that the platform answers and has the required records."""

from burdocksill.checks.messages import (
    CheckMessage,
    error_message,
    note,
    warning,
)
from burdocksill.checks.registry import CheckContext
from burdocksill.exceptions import BurdocksillError
from burdocksill.platform import keys
from burdocksill.platform.protocols import VmRecord
from burdocksill.platform.values import Snapshot


async def check_platform(context: CheckContext) -> list[CheckMessage]:
    """Read the records that every VM reads when it starts."""
    if context.platform is None:
        return [note(101, 'no platform was given; it was not asked')]
    try:
        snapshot = await context.platform.read_prefix(keys.PREFIX)
        records = await context.platform.list_vms()
    except BurdocksillError as error:
        return [error_message(error)]
    return [*check_records(snapshot), *check_vms(records)]


def check_records(snapshot: Snapshot) -> list[CheckMessage]:
    """Warn of missing records without which the fleet cannot serve."""
    names = {stored.key for stored in snapshot.values}
    found: list[CheckMessage] = []
    if keys.FLEET_KEYS not in names:
        found.append(
            warning(
                101,
                'the platform holds no fleet keys',
                'run: burdocksill keys rotate',
            ),
        )
    if not any(name.startswith(keys.DOCUMENTS) for name in names):
        found.append(
            warning(
                102,
                'the platform holds no document',
                'run: burdocksill document put FILE',
            ),
        )
    return found


def check_vms(records: tuple[VmRecord, ...]) -> list[CheckMessage]:
    """Warn of an empty list of VMs, and of VMs without an admin port."""
    if not records:
        return [
            warning(
                103,
                "the platform's list shows no VM",
                'start burdocksill-entry on the entry VMs',
            ),
        ]
    return [
        warning(
            104,
            f'{record.name} is listed without an admin port',
            'status and --wait cannot ask it',
        )
        for record in records
        if not record.admin_port
    ]
