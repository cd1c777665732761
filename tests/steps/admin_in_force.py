"""Steps about waiting until a record is in force."""

from behave import then, when
from behave.runner import Context

from burdocksill.documents.acceptance import set_domain
from burdocksill.documents.models import DomainState
from burdocksill.management.in_force import wait_in_force
from burdocksill.management.screen import status_screen
from burdocksill.platform.keys import domain_key
from tests.steps.admin_status import MonitoredWorld, run_with


@when('the VM in "{domain}" is partitioned from the fleet and the platform')
def partition(context: Context, domain: str) -> None:
    """Partition a VM; the operator still reaches its admin interface."""

    async def action(monitored: MonitoredWorld) -> None:
        nodes = monitored.world.nodes
        host = nodes[f'{domain}-entry-1'].host
        others = [node.host for node in nodes.values() if node.host != host]
        monitored.world.network.cut([host], [*others, 'platform'])

    context.actions.append(action)


@when('an operator takes "{domain}" out and waits {seconds:d} s')
def take_out(context: Context, domain: str, seconds: int) -> None:
    """Write the record, then wait until it is in force."""

    async def action(monitored: MonitoredWorld) -> None:
        accepted = await set_domain(
            monitored.world.platform,
            domain=domain,
            state=DomainState.OUT,
            reason='cooling',
        )
        context.revision = accepted.revision
        context.domain_key = domain_key(domain)
        await wait(context, monitored, seconds)

    run_with(context, action)


async def wait(
    context: Context, monitored: MonitoredWorld, seconds: int
) -> None:
    """Wait as the command does, then store the status screen."""
    target = monitored.target('cz-a')
    context.in_force = await wait_in_force(
        target,
        context.domain_key,
        context.revision,
        seconds=seconds,
    )
    context.screen = status_screen(await target.fleet())


@when('the partition of the monitored fleet heals')
def heal(context: Context) -> None:
    """End the partition."""

    async def action(monitored: MonitoredWorld) -> None:
        monitored.world.network.heal()

    context.actions.append(action)


@when('the operator waits again for {seconds:d} s')
def wait_again(context: Context, seconds: int) -> None:
    """Wait for the same record once more."""

    async def action(monitored: MonitoredWorld) -> None:
        await wait(context, monitored, seconds)

    run_with(context, action)


@then('the record is in force on {count:d} VMs and not on "{name}"')
def check_partitioned(context: Context, count: int, name: str) -> None:
    """Compare the VMs with and without the record."""
    assert len(context.in_force.on) == count, context.in_force
    assert context.in_force.not_on == (name,), context.in_force


@then('the record is in force on {count:d} VMs')
def check_everywhere(context: Context, count: int) -> None:
    """Expect no VM without the record."""
    assert len(context.in_force.on) == count, context.in_force
    assert not context.in_force.not_on, context.in_force


@then('the screen says "{text}"')
def check_text(context: Context, text: str) -> None:
    """Look for the text on the status screen."""
    assert text in context.screen, context.screen
