"""Measure the cost per request of counters, decisions, traces and relays."""

import logging
import sys
import timeit
import tracemalloc
from collections.abc import Callable
from random import Random

from burdocksill.conf.logs import configure_logging
from burdocksill.flows.keys import KeyHolder, rotate
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.network.sockets import SystemClock
from burdocksill.observe.counters import Counters
from burdocksill.observe.decisions import DECISION_LIMIT, DecisionLog
from burdocksill.observe.tracing import (
    Tracing,
    current_traceparent,
    inner_span,
)
from burdocksill.peers.envelope import EnvelopeSealer
from burdocksill.peers.messages import RelayRequest
from burdocksill.requests.messages import Answer, CallerRequest, Envelope
from burdocksill.requests.verdict import Verdict

ROUNDS = 3
CALLS = 10_000
MICROSECONDS = 1_000_000


def best_microseconds(call: Callable[[], object]) -> float:
    """Return the microseconds per call in the fastest of several rounds."""
    seconds = min(timeit.repeat(call, number=CALLS, repeat=ROUNDS))
    return seconds / CALLS * MICROSECONDS


def make_envelope(number: int) -> Envelope:
    """Return a request as the entry VM decodes it."""
    request = CallerRequest(
        service='kiosk-ledger',
        method='GET',
        token=number.to_bytes(8, 'big'),
        message_id=1,
        confirmable=False,
    )
    return Envelope(request=request, caller=Address('10.0.0.1', 1))


def trace_request(tracing: Tracing) -> None:
    """Create the spans of one request: two hops and the upstream."""
    with tracing.first_hop('entry'):
        traceparent = current_traceparent()
    with (
        tracing.next_hop('relayed', traceparent),
        inner_span('upstream'),
    ):
        current_traceparent()


def make_relay_call() -> Callable[[], object]:
    """Return a function that seals and opens one relayed datagram."""
    sealer = EnvelopeSealer(
        sender='cz-a-entry-1',
        keys=KeyHolder(ring=rotate(None)),
        clock=SystemClock(),
    )
    message = RelayRequest(
        raw=bytes(120),
        caller_host='10.0.0.1',
        caller_port=40000,
        hops=('cz-a-entry-1',),
    )
    return lambda: sealer.open(sealer.seal(message))


def decision_bytes() -> float:
    """Return the bytes per decision of a full log."""
    log = DecisionLog(clock=SystemClock())
    answer = Answer(code='CONTENT', verdict=Verdict.RAN)
    tracemalloc.start()
    for number in range(DECISION_LIMIT):
        log.answered(make_envelope(number), answer)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / DECISION_LIMIT


def main() -> int:
    """Print one figure per line."""
    with open('/dev/null', 'w') as sink:
        configure_logging(level='INFO', node='vm')
        for handler in logging.getLogger().handlers:
            if isinstance(handler, logging.StreamHandler):
                handler.setStream(sink)
        log = DecisionLog(clock=SystemClock())
        envelope = make_envelope(1)
        member = Member(
            name='vm',
            domain='cz-a',
            peer_address=Address('10.0.0.1', 1),
        )
        answer = Answer(code='CONTENT', verdict=Verdict.RAN)
        counters = Counters()
        labels = {
            'service': 'kiosk-ledger',
            'upstream': 'ledger-1',
            'verdict': 'ran',
            'reason': 'none',
        }
        none_traced = Tracing(node='vm', ratio=0)
        some_traced = Tracing(node='vm', ratio=0.01, rng=Random(1))
        all_traced = Tracing(node='vm', ratio=1)
        figures = {
            'counter with four labels, us': best_microseconds(
                lambda: counters.add('answers', 1, **labels)
            ),
            'histogram, us': best_microseconds(
                lambda: counters.record(
                    'request', 0.004, service='a', upstream='b'
                )
            ),
            'decision of a route, us': best_microseconds(
                lambda: log.placed(envelope, 'ledger-1', member)
            ),
            'decision of an answer, us': best_microseconds(
                lambda: log.answered(envelope, answer)
            ),
            'relay sealed and opened, us': best_microseconds(make_relay_call()),
            'traces off, us a request': best_microseconds(
                lambda: trace_request(none_traced)
            ),
            'traces 1%, us a request': best_microseconds(
                lambda: trace_request(some_traced)
            ),
            'traces 100%, us a request': best_microseconds(
                lambda: trace_request(all_traced)
            ),
            'decision in the ring, bytes': decision_bytes(),
        }
    for name, figure in figures.items():
        print(f'{name}: {figure:.2f}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
