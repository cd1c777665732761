"""Check that the fleet's VMs answer and agree."""

from collections.abc import Iterator

from burdocksill import VERSION
from burdocksill.admin.client import FleetStatus
from burdocksill.admin.messages import NodeStatus
from burdocksill.checks.messages import CheckMessage, error_message, warning
from burdocksill.checks.registry import CheckContext
from burdocksill.exceptions import BurdocksillError


async def check_fleet(context: CheckContext) -> list[CheckMessage]:
    """Ask every VM that can be found."""
    if context.ask_fleet is None:
        return []
    try:
        fleet = await context.ask_fleet()
    except BurdocksillError as error:
        return [error_message(error)]
    found = list(silent_vms(fleet))
    for node in fleet.nodes:
        found.extend(slips(node))
    return found


def silent_vms(fleet: FleetStatus) -> Iterator[CheckMessage]:
    """Warn of VMs that do not answer."""
    for name in fleet.silent:
        yield warning(
            301,
            f'{name} does not answer on its admin interface',
            'see whether it runs, and whether its admin address is reachable',
        )


def slips(node: NodeStatus) -> Iterator[CheckMessage]:
    """Warn of what one VM says of itself."""
    if not node.serving:
        yield warning(
            302,
            f'{node.name} does not serve yet',
            'it has learned no keys or documents: check the platform, or '
            'give it --keys and --seeds',
        )
    if not node.quorate:
        yield warning(
            303,
            f'{node.name} hears no majority of its failure domain',
            'check the network between the VMs of the failure domain',
        )
    if node.version != VERSION:
        yield warning(
            304,
            f'{node.name} runs version {node.version}, this is {VERSION}',
            'finish the replacement of the VMs',
        )
