"""Steps about a domain that is taken out and cut off."""

from behave import given, then, when
from behave.runner import Context
from reading_story import act, check

from burdocksill_lab.packets.fleet import SharedFleet
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.store import Trouble

MUTED = 'muted'
# Openings that are under way when a domain is taken out.
UNDER_WAY_SECONDS = 0.1


@given('the first domain is taken out')
def take_out(context: Context) -> None:
    """Take it out after the calm, and let its new flows leave it."""
    # Open flows are carried on; what is looked at is where new ones go.
    context.deployment.kept_flows = 0
    deployment = built(context)
    deployment.world.take_out('d0')
    deployment.world.run(UNDER_WAY_SECONDS)


def built(context: Context) -> OutageDeployment:
    """Return the deployment, built when it is first asked for."""
    deployment: OutageDeployment = context.deployment
    if not deployment.callers:
        deployment.build()
    return deployment


def opened_at_home(context: Context, since: float) -> int:
    """Count the openings that the first domain's upstreams got."""
    return sum(
        at >= since
        for upstream in context.deployment.in_domain('d0')
        for at in upstream.opened
    )


@when('it is cut off from all other domains for {seconds:d} seconds')
def cut_off(context: Context, seconds: int) -> None:
    """Cut it off, and let time pass."""
    deployment = built(context)
    deployment.cut('d0')
    deployment.world.run(seconds)


@when(
    'it is cut off from all other domains and from the store '
    'for {seconds:d} seconds',
)
def cut_off_whole(context: Context, seconds: int) -> None:
    """Let the store be behind the cut too."""
    built(context).store_answers = False
    cut_off(context, seconds)


@when('the store answers nobody for {seconds:d} seconds')
def lose_store(context: Context, seconds: int) -> None:
    """Take the store away alone."""
    deployment = built(context)
    deployment.failed_at = deployment.world.timeline.now
    deployment.store_answers = False
    deployment.world.run(seconds)


@when('the cut ends')
def heal(context: Context) -> None:
    """Let everything be reached again, and time pass."""
    deployment = context.deployment
    deployment.world.network.cuts.clear()
    deployment.store_answers = True
    context.healed_at = deployment.world.timeline.now
    deployment.world.run(6)


@then('its nodes opened flows at home')
def check_home(context: Context) -> None:
    """Look at what its upstreams got."""
    assert opened_at_home(context, context.deployment.failed_at)


@then('no node opened a flow at home')
def check_not_home(context: Context) -> None:
    """Look at what its upstreams got since the trouble began."""
    assert not opened_at_home(context, context.deployment.failed_at)


@then('from {seconds:f} s after its end no node opened a flow at home')
def check_left(context: Context, seconds: float) -> None:
    """Look at the time after the cut."""
    assert opened_at_home(context, context.deployment.failed_at)
    assert not opened_at_home(context, context.healed_at + seconds)


@when('a node asks a store in trouble "{trouble}" whether it can be reached')
def ask_store(context: Context, trouble: str) -> None:
    """Let the product's own probe ask."""

    async def step(fleet: SharedFleet) -> None:
        if trouble == MUTED:
            fleet.store.muted = fleet.store.connections
        else:
            fleet.store.trouble = Trouble(trouble)
        sharing = fleet.nodes[0].store_sync.sharing
        assert sharing is not None
        context.silent = await sharing.probe.is_silent()

    act(context, step)


@then('it is found to be {found}')
def check_found(context: Context, found: str) -> None:
    """Compare."""

    async def step(_: SharedFleet) -> None:
        assert context.silent == (found == 'out of reach'), context.silent

    check(context, step)
