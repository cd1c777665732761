"""Tracing of requests over VMs and upstreams; off by default.

The trace context is propagated between VMs in `RelayRequest.traceparent` and to
the upstream in the HTTP header `traceparent` (W3C Trace Context). Within a VM,
trio tasks inherit it as a context variable.
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
# Shared by all requests that are not traced: this costs 1.1 us a request, a new
# context manager for each costs 4.6 us (tools/observe_cost.py).
UNTRACED: Final[AbstractContextManager[None]] = nullcontext()
PROPAGATOR: Final = TraceContextTextMapPropagator()

logger = logging.getLogger(__name__)


class LogExporter(SpanExporter):
    """Export each span as a log line.

    If a line is dropped, only that span is lost; no decision depends on it.
    """

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans that have ended."""
        for span in spans:
            logger.info('span', extra={'span': describe(span)})
        return SpanExportResult.SUCCESS


def describe(span: ReadableSpan) -> dict[str, str | float]:
    """Return the fields of a span's log line."""
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
    """Creates the spans of one VM."""

    node: str
    ratio: float = 0
    rng: Random = attrs.field(factory=Random)
    exporter: SpanExporter = attrs.field(factory=LogExporter)
    tracer: trace.Tracer | None = None

    def require_tracer(self) -> trace.Tracer:
        """Return the tracer; create it at the first call."""
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
        """Start a trace for the sampled share of requests from callers."""
        if self.ratio and self.rng.random() < self.ratio:
            return self.span(name, Context())
        return UNTRACED

    def next_hop(
        self,
        name: str,
        traceparent: str,
    ) -> AbstractContextManager[None]:
        """Continue a trace of the previous VM, if there is one."""
        if not traceparent:
            return UNTRACED
        parent = PROPAGATOR.extract({TRACEPARENT: traceparent}, Context())
        return self.span(name, parent)

    @contextmanager
    def span(self, name: str, parent: Context) -> Iterator[None]:
        """Open a span that tasks started inside inherit."""
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


# Tracing of the current task's request, None if it is not traced.
ACTIVE: Final[ContextVar[Tracing | None]] = ContextVar('tracing', default=None)


def inner_span(name: str) -> AbstractContextManager[object]:
    """Open a child span if the request is traced."""
    tracing = ACTIVE.get()
    if tracing is None:
        return UNTRACED
    return tracing.require_tracer().start_as_current_span(name)


def current_traceparent() -> str:
    """Return the trace context for the next hop, empty if not traced."""
    if ACTIVE.get() is None:
        return ''
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, '')
