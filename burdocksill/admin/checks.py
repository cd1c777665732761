"""Checks of the running fleet: its VMs answer and agree."""

from collections.abc import Iterator

from burdocksill import VERSION
from burdocksill.admin.client import FleetStatus
from burdocksill.admin.messages import NodeStatus
from burdocksill.checks.messages import CheckMessage, error_message, warning
from burdocksill.checks.registry import CheckContext
from burdocksill.exceptions import BurdocksillError


async def check_fleet(context: CheckContext) -> list[CheckMessage]:
    """Return warnings about every VM that can be found."""
    if context.ask_fleet is None:
        return []
    try:
        fleet = await context.ask_fleet()
    except BurdocksillError as error:
        return [error_message(error)]
    found = list(unreachable_vms(fleet))
    for node in fleet.nodes:
        found.extend(status_warnings(node))
    return found


def unreachable_vms(fleet: FleetStatus) -> Iterator[CheckMessage]:
    """Yield a warning for each VM that does not answer."""
    for name in fleet.silent:
        yield warning(
            301,
            f'{name} does not answer on its admin interface',
            'check that it runs and that its admin address is reachable',
        )


def status_warnings(node: NodeStatus) -> Iterator[CheckMessage]:
    """Yield warnings about the status that one VM reports."""
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
            'finish the rollout of the new version',
        )
