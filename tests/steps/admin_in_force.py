"""Steps about waiting until a record is in force."""

from behave import then, when
from behave.runner import Context

from burdocksill.documents.acceptance import set_domain
from burdocksill.documents.models import DomainState
from burdocksill.management.force import wait_in_force
from burdocksill.management.screen import status_screen
from burdocksill.platform.keys import domain_key
from tests.steps.admin_status import Watched, tell


@when('the VM in "{domain}" is cut off from the fleet and the platform')
def cut_off(context: Context, domain: str) -> None:
    """Cut a VM off; the operator still reaches its admin interface."""

    async def act(watched: Watched) -> None:
        nodes = watched.world.nodes
        host = nodes[f'{domain}-entry-1'].host
        others = [node.host for node in nodes.values() if node.host != host]
        watched.world.network.cut([host], [*others, 'platform'])

    context.acts.append(act)


@when('an operator takes "{domain}" out and waits {seconds:d} s')
def take_out(context: Context, domain: str, seconds: int) -> None:
    """Write the record, then ask every VM."""

    async def act(watched: Watched) -> None:
        accepted = await set_domain(
            watched.world.platform,
            domain=domain,
            state=DomainState.OUT,
            reason='cooling',
        )
        context.revision = accepted.revision
        context.domain_key = domain_key(domain)
        await look(context, watched, seconds)

    tell(context, act)


async def look(context: Context, watched: Watched, seconds: int) -> None:
    """Wait as the command does and keep the screen of that moment."""
    target = watched.target('cz-a')
    context.in_force = await wait_in_force(
        target,
        context.domain_key,
        context.revision,
        seconds=seconds,
    )
    context.screen = status_screen(await target.fleet())


@when('the cut of the watched fleet heals')
def heal(context: Context) -> None:
    """Let packets through again."""

    async def act(watched: Watched) -> None:
        watched.world.network.heal()

    context.acts.append(act)


@when('an operator looks again for {seconds:d} s')
def look_again(context: Context, seconds: int) -> None:
    """Ask every VM once more."""

    async def act(watched: Watched) -> None:
        await look(context, watched, seconds)

    tell(context, act)


@then('the record is in force on {count:d} VMs and not on "{name}"')
def check_cut(context: Context, count: int, name: str) -> None:
    """Compare the VMs."""
    assert len(context.in_force.on) == count, context.in_force
    assert context.in_force.not_on == (name,), context.in_force


@then('the record is in force on {count:d} VMs')
def check_everywhere(context: Context, count: int) -> None:
    """Expect no VM without it."""
    assert len(context.in_force.on) == count, context.in_force
    assert not context.in_force.not_on, context.in_force


@then('the screen says "{text}"')
def check_text(context: Context, text: str) -> None:
    """Look for the text."""
    assert text in context.screen, context.screen
