"""Steps in which a domain is out of service and partitioned."""

from behave import given, then, when
from behave.runner import Context
from reading_script import add_check, add_step

from burdocksill_lab.packets.fleet import SharedFleet
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.store import StoreFault

MUTED = 'muted'
# Time for openings in transit when a domain is taken out of service.
TRANSIT_SECONDS = 0.1


@given('the first domain is taken out of service')
def take_out(context: Context) -> None:
    """Take it out of service after the start, and wait for openings."""
    # Open flows are kept; only the placement of new ones is checked.
    context.deployment.kept_flows = 0
    deployment = deployment_of(context)
    deployment.world.take_out('d0')
    deployment.world.run(TRANSIT_SECONDS)


def deployment_of(context: Context) -> OutageDeployment:
    """Return the deployment, built on the first call."""
    deployment: OutageDeployment = context.deployment
    if not deployment.callers:
        deployment.build()
    return deployment


def opened_in_first_domain(context: Context, since: float) -> int:
    """Count the openings on the first domain's upstreams since a time."""
    return sum(
        at >= since
        for upstream in context.deployment.in_domain('d0')
        for at in upstream.opened
    )


@when('it is partitioned from all other domains for {seconds:d} seconds')
def partition(context: Context, seconds: int) -> None:
    """Partition it, then advance the time."""
    deployment = deployment_of(context)
    deployment.cut('d0')
    deployment.world.run(seconds)


@when(
    'it is partitioned from all other domains and from the store '
    'for {seconds:d} seconds',
)
def partition_with_store(context: Context, seconds: int) -> None:
    """Partition it from the store, too."""
    deployment_of(context).store_answers = False
    partition(context, seconds)


@when('the store answers nobody for {seconds:d} seconds')
def stop_store(context: Context, seconds: int) -> None:
    """Make only the store unavailable."""
    deployment = deployment_of(context)
    deployment.failed_at = deployment.world.timeline.now
    deployment.store_answers = False
    deployment.world.run(seconds)


@when('the partition ends')
def heal(context: Context) -> None:
    """End the partition, then advance the time."""
    deployment = context.deployment
    deployment.world.network.cuts.clear()
    deployment.store_answers = True
    context.partition_ended_at = deployment.world.timeline.now
    deployment.world.run(6)


@then('flows were opened in the first domain')
def check_opened(context: Context) -> None:
    """Check that its upstreams got openings."""
    assert opened_in_first_domain(context, context.deployment.failed_at)


@then('no flow was opened in the first domain')
def check_not_opened(context: Context) -> None:
    """Check that its upstreams got no opening since the fault."""
    assert not opened_in_first_domain(context, context.deployment.failed_at)


@then(
    'from {seconds:f} s after its end no flow was opened in the first domain',
)
def check_not_opened_after(context: Context, seconds: float) -> None:
    """Check the openings during and after the partition."""
    assert opened_in_first_domain(context, context.deployment.failed_at)
    assert not opened_in_first_domain(
        context,
        context.partition_ended_at + seconds,
    )


@when('a node probes a store with fault "{fault}"')
def probe_store(context: Context, fault: str) -> None:
    """Run the store probe of a node."""

    async def step(fleet: SharedFleet) -> None:
        if fault == MUTED:
            fleet.store.unanswered_up_to = fleet.store.connections
        else:
            fleet.store.injected_fault = StoreFault(fault)
        sharing = fleet.nodes[0].store_sync.sharing
        assert sharing is not None
        context.silent = await sharing.probe.is_unreachable()

    add_step(context, step)


@then('the probe finds it to be {found}')
def check_probe(context: Context, found: str) -> None:
    """Check the result of the probe."""

    async def step(_: SharedFleet) -> None:
        assert context.silent == (found == 'unreachable'), context.silent

    add_check(context, step)
