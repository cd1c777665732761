"""Steps about tracing."""

import attrs
import trio
from behave import given, then, when
from behave.runner import Context
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from burdocksill.documents.models import ServiceDocument
from burdocksill.observe.tracing import Tracing
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import open_world
from burdocksill_lab.stand_ins.serving import ReceivedRequest
from burdocksill_lab.stand_ins.upstream import StandInUpstream

VMS = {'cz-a-entry-1': 'cz-a', 'cz-b-entry-1': 'cz-b'}
ROLES = {'relay VM': 'cz-b-entry-1', 'owner VM': 'cz-a-entry-1'}
SETTLE_SECONDS = 6
TRIES = 20


@attrs.define(kw_only=True)
class RecordingUpstream(StandInUpstream):
    """Upstream that records the trace context of each request."""

    contexts: list[str] = attrs.field(factory=list)

    def enter_ledger(self, request: ReceivedRequest) -> None:
        """Record the header of a request."""
        self.contexts.append(request.headers.get('traceparent', ''))
        super().enter_ledger(request)


@given('a traced fleet of two entry VMs in two failure domains')
def plan_traced(context: Context) -> None:
    """Trace every request."""
    context.trace_ratio = 1


@given('an untraced fleet of two entry VMs in two failure domains')
def plan_untraced(context: Context) -> None:
    """Use the default of the setting."""
    context.trace_ratio = 0


@when('a traced caller sends requests until one was relayed')
def send(context: Context) -> None:
    """Send requests until one was relayed over both VMs."""
    context.exporter = InMemorySpanExporter()
    upstream = RecordingUpstream(service='rounds', name='rounds-1', slots=2)

    async def script() -> None:
        async with open_world(context.seed) as world:
            line = world.start_upstream('rounds', 'rounds-1', 'cz-a')
            world.network.listeners[line.address] = upstream.serve_stream
            await world.put_document(
                ServiceDocument(
                    service='rounds',
                    team='vecinas',
                    upstreams=(line,),
                ),
            )
            for name, domain in VMS.items():
                running = await world.start_node(name, domain)
                running.node.router.tracing = Tracing(
                    node=name,
                    ratio=context.trace_ratio,
                    exporter=context.exporter,
                )
            await trio.sleep(SETTLE_SECONDS)
            async with world.session('rounds') as session:
                for _ in range(TRIES):
                    context.exporter.clear()
                    upstream.contexts.clear()
                    answer = await session.request('GET', ('sheet',))
                    if len(answer.hops) > 2:
                        return
        raise AssertionError('no request was relayed')

    run_seeded(context.seed, script)
    context.upstream_contexts = [text for text in upstream.contexts if text]


@then('its trace has the spans')
def check_spans(context: Context) -> None:
    """Compare the spans of the last trace."""
    spans = context.exporter.get_finished_spans()
    last = spans[-1].context.trace_id
    found = [span for span in spans if span.context.trace_id == last]
    names = {span.context.span_id: span.name for span in found}
    seen = {
        (
            span.name,
            names[span.parent.span_id] if span.parent else '',
            span.resource.attributes['host.name'],
        )
        for span in found
    }
    expected = {
        (row['name'], row['parent'], ROLES[row['on']]) for row in context.table
    }
    assert seen == expected, seen


@then('the upstream was given the context of the span "{name}"')
def check_header(context: Context, name: str) -> None:
    """Compare the header with the ids of the span."""
    spans = context.exporter.get_finished_spans()
    span = [span for span in spans if span.name == name][-1].context
    flags = f'{span.trace_flags:02x}'
    header = f'00-{span.trace_id:032x}-{span.span_id:016x}-{flags}'
    assert context.upstream_contexts == [header], context.upstream_contexts


@then('no span was made and the upstream was given no context')
def check_untraced(context: Context) -> None:
    """Check that there are no spans and no trace context."""
    assert not context.exporter.get_finished_spans()
    assert not context.upstream_contexts
