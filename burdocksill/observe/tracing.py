"""Spans of a request's hops over VMs, off unless a share is chosen.

A span's context goes from VM to VM in `RelayRequest.traceparent` and to the
upstream in the HTTP header `traceparent` (W3C Trace Context). Within a VM it
follows trio's tasks, which inherit the context that starts them.
"""

import logging
from collections.abc import Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager, nullcontext
from contextvars import ContextVar
from random import Random
from typing import Final

import attrs
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT: Final = 'traceparent'
SCOPE: Final = 'burdocksill'
NANOSECONDS_PER_MS: Final = 1_000_000
# One object for every request that is not traced: making a context manager
# for each cost 4.6 us a request, this costs 1.1 (tools/observe_cost.py).
UNTRACED: Final[AbstractContextManager[None]] = nullcontext()
PROPAGATOR: Final = TraceContextTextMapPropagator()

logger = logging.getLogger(__name__)


class LogExporter(SpanExporter):
    """Write each span as one structured line, where the other lines go.

    A line that is lost loses a span and nothing else: no decision reads it.
    """

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans that have ended."""
        for span in spans:
            logger.info('span', extra={'span': describe(span)})
        return SpanExportResult.SUCCESS


def describe(span: ReadableSpan) -> dict[str, str | float]:
    """Return the fields of a span's line."""
    context = span.get_span_context()
    began, ended = span.start_time or 0, span.end_time or 0
    return {
        'name': span.name,
        'trace': f'{context.trace_id:032x}' if context else '',
        'id': f'{context.span_id:016x}' if context else '',
        'parent': f'{span.parent.span_id:016x}' if span.parent else '',
        'ms': (ended - began) / NANOSECONDS_PER_MS,
    }


@attrs.define(kw_only=True, eq=False)
class Tracing:
    """Make the spans of one VM."""

    node: str
    ratio: float = 0
    rng: Random = attrs.field(factory=Random)
    exporter: SpanExporter = attrs.field(factory=LogExporter)
    tracer: trace.Tracer | None = None

    def require_tracer(self) -> trace.Tracer:
        """Make the tracer when the first request is traced."""
        if self.tracer is None:
            provider = TracerProvider(
                resource=Resource(
                    {'service.name': SCOPE, 'host.name': self.node},
                ),
                shutdown_on_exit=False,
            )
            provider.add_span_processor(SimpleSpanProcessor(self.exporter))
            self.tracer = provider.get_tracer(SCOPE)
        return self.tracer

    def first_hop(self, name: str) -> AbstractContextManager[None]:
        """Trace a share of the requests that come from callers."""
        if self.ratio and self.rng.random() < self.ratio:
            return self.span(name, Context())
        return UNTRACED

    def next_hop(
        self,
        name: str,
        traceparent: str,
    ) -> AbstractContextManager[None]:
        """Trace what the VM before this one traced."""
        if not traceparent:
            return UNTRACED
        parent = PROPAGATOR.extract({TRACEPARENT: traceparent}, Context())
        return self.span(name, parent)

    @contextmanager
    def span(self, name: str, parent: Context) -> Iterator[None]:
        """Hold one span open and let the tasks started inside inherit it."""
        token = ACTIVE.set(self)
        try:
            with self.require_tracer().start_as_current_span(
                name,
                context=parent,
                attributes={'node': self.node},
            ):
                yield
        finally:
            ACTIVE.reset(token)


# Who traces the request of the current task, None for most of them.
ACTIVE: Final[ContextVar[Tracing | None]] = ContextVar('tracing', default=None)


def inner_span(name: str) -> AbstractContextManager[object]:
    """Hold a span below the current one, if the request is traced."""
    tracing = ACTIVE.get()
    if tracing is None:
        return UNTRACED
    return tracing.require_tracer().start_as_current_span(name)


def current_traceparent() -> str:
    """Return the context for the next hop, empty when it is not traced."""
    if ACTIVE.get() is None:
        return ''
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, '')
