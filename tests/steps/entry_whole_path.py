"""Steps about the path of a request."""

from behave import given, then, when
from behave.runner import Context

from burdocksill.documents.models import ServiceDocument
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import open_world

DOMAINS = ('cz-a', 'cz-b', 'cz-c')


@given('three entry VMs in three failure domains')
def set_up_domains(context: Context) -> None:
    """Set the failure domains of the entry VMs to start."""
    context.domains = DOMAINS


@given('one upstream of "{service}" in the first')
def set_up_service(context: Context, service: str) -> None:
    """Set the service of the upstream to start."""
    context.service = service


@when('a caller sends {count:d} requests through any entry VM')
def send_requests(context: Context, count: int) -> None:
    """Start the fleet and send the requests."""

    async def script() -> None:
        async with open_world(context.seed) as world:
            upstream = world.start_upstream(
                context.service,
                'ledger-1',
                context.domains[0],
            )
            await world.put_document(
                ServiceDocument(
                    service=context.service,
                    team='vratka',
                    upstreams=(upstream,),
                ),
            )
            for domain in context.domains:
                await world.start_node(f'{domain}-entry-1', domain)
            async with world.session(context.service) as session:
                context.answers = [
                    await session.request(
                        'POST',
                        ('returns',),
                        payload=str(number).encode(),
                    )
                    for number in range(count)
                ]
            context.ledger = world.upstreams['ledger-1'].ledger

    run_seeded(context.seed, script)


@then('every request through any entry VM is answered')
def check_answers(context: Context) -> None:
    """Check the answers' codes."""
    assert {answer.code for answer in context.answers} == {'CHANGED'}


@then('the upstream ran each request once')
def check_ledger(context: Context) -> None:
    """Check the requests that the upstream has run."""
    payloads = [int(entry.payload) for entry in context.ledger]
    assert payloads == list(range(len(context.answers))), payloads
