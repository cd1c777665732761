"""Checker of a soak: invariants as clients and upstreams observe them."""

from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from burdocksill.packets.header import Packet, flow_id
from burdocksill_lab.packets.client import ClientFlow, Outcome, Request
from burdocksill_lab.packets.upstream import Condition, LabUpstream

# Invariants that faults may break must hold again after this fault-free time.
RECOVERY_SECONDS: Final = 4.0
DRAIN_SECONDS: Final = 3.0
MANIFEST_SECONDS: Final = 3.0
DOMAIN_SECONDS: Final = 5.0
# A client may see a reset this long after its upstream ended, since a flow is
# checked only when its user sends the next request.
ENDED_SECONDS: Final = 12.0
# Flows that a stall of the soak process ended are checked within this time.
STALL_GRACE_SECONDS: Final = 2.0
NO_ROUTE: Final = ('', 0)


@attrs.frozen(kw_only=True)
class Violation:
    """Violated invariant with the time and the evidence."""

    at: float
    promise: str
    trace: str


@attrs.define(kw_only=True)
class ExpectedState:
    """Intended state set by operators and upstreams, with change times."""

    # Service of each port (empty for none) and since when.
    routes: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    allowed: dict[int, set[str]] = attrs.field(factory=dict)
    domains_out: dict[str, float] = attrs.field(factory=dict)
    draining: dict[str, float] = attrs.field(factory=dict)
    ended: dict[str, float] = attrs.field(factory=dict)

    def route(self, port: int) -> tuple[str, float]:
        """Return the service of a port, empty for none, and since when."""
        return self.routes.get(port, NO_ROUTE)


@attrs.define(kw_only=True)
class SoakChecker:
    """Collects violations; their times are readings of `clock`."""

    clock: Callable[[], float]
    expected: ExpectedState = attrs.field(factory=ExpectedState)
    upstreams: dict[int, LabUpstream] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    checked: Counter[str] = attrs.field(factory=Counter)
    # Number of faults in progress, and when the last one ended.
    active_faults: int = 0
    fault_free_since: float = 0
    # Time of the last stall of the soak process, and number of stalls.
    stalled_at: float = float('-inf')
    stalls: int = 0

    def begin_fault(self) -> None:
        """Record that a fault begins."""
        self.active_faults += 1

    def end_fault(self) -> None:
        """Record that a fault has ended."""
        self.active_faults -= 1
        self.fault_free_since = self.clock()

    def record_stall(self) -> None:
        """Record that this process, and so every upstream, stalled.

        Nodes cannot tell a stall from a failure: upstreams that answer nothing
        for 0.2 s look failed, and clients' deadlines pass.
        """
        self.stalls += 1
        self.stalled_at = self.clock()
        self.begin_fault()
        self.end_fault()

    def is_fault_free(self, since: float) -> bool:
        """Return True if no fault was active for RECOVERY_SECONDS by a time."""
        return (
            not self.active_faults
            and since - self.fault_free_since >= RECOVERY_SECONDS
        )

    def record_violation(self, promise: str, trace: str) -> None:
        """Record a violation of an invariant."""
        self.violations.append(
            Violation(at=round(self.clock(), 3), promise=promise, trace=trace),
        )

    def check_opening(self, upstream: LabUpstream, packet: Packet) -> None:
        """Check an opening packet that an upstream accepted."""
        now = self.clock()
        flow = flow_id(packet.flow)
        where = f'{flow} at {upstream.name} of {upstream.service}'
        self.checked['opening'] += 1
        if upstream.service not in self.expected.allowed.get(
            packet.port, set()
        ):
            self.record_violation('a flow never reaches another service', where)
        if not self.is_fault_free(now):
            return
        since = self.expected.draining.get(upstream.name, now)
        if now - since > DRAIN_SECONDS:
            self.record_violation('a leaving upstream gets no new flow', where)
        since = self.expected.domains_out.get(upstream.domain, now)
        if now - since > DOMAIN_SECONDS:
            self.record_violation('a domain taken out gets no new flow', where)

    def check_request(self, flow: ClientFlow, request: Request) -> None:
        """Check a request that has ended."""
        self.outcomes[request.outcome.value] += 1
        port = flow.key[3]
        service, since = self.expected.route(port)
        settled = request.sent_at - since > MANIFEST_SECONDS
        fault_free = self.is_fault_free(request.sent_at)
        if not settled or not fault_free:
            return
        self.checked['request'] += 1
        served = request.outcome is Outcome.SERVED
        if served and not service:
            self.record_violation(
                'a manifest is in force in time', self.describe(flow)
            )
        if (
            service
            and not served
            and not self.has_upstream_ended(flow, request)
        ):
            self.record_violation(
                'without trouble every request is served',
                f'{request.outcome.value} {self.describe(flow)}',
            )

    def has_upstream_ended(self, flow: ClientFlow, request: Request) -> bool:
        """Return True if the flow's upstream ended before the request did."""
        upstream = self.upstreams.get(flow.echo)
        if upstream is None:
            return False
        ended = self.expected.ended.get(upstream.name)
        return ended is not None and ended <= request.ended_at

    def is_leaving(self, flow: ClientFlow) -> bool:
        """Return True if the flow's upstream is draining."""
        upstream = self.upstreams.get(flow.echo)
        return upstream is not None and upstream.name in self.expected.draining

    def check_reset(self, flow: ClientFlow) -> None:
        """Check a reset that a node sent."""
        self.checked['reset'] += 1
        service, since = self.expected.route(flow.key[3])
        if not service or self.clock() - since < MANIFEST_SECONDS:
            return
        if not flow.open:
            self.record_violation(
                'no opening is refused while upstreams live',
                self.describe(flow),
            )
            return
        upstream = self.upstreams.get(flow.echo)
        if upstream is None or upstream.condition is not Condition.HEALTHY:
            return
        ended = self.expected.ended.get(upstream.name, float('-inf'))
        if self.clock() - self.stalled_at < STALL_GRACE_SECONDS:
            return
        if self.clock() - ended > ENDED_SECONDS:
            self.record_violation(
                'a flow lives as long as its upstream', self.describe(flow)
            )

    def describe(self, flow: ClientFlow) -> str:
        """Return the flow's id and its upstream's name."""
        upstream = self.upstreams.get(flow.echo)
        name = upstream.name if upstream else 'none'
        return f'{flow_id(flow.key)} on {name}'

    def check_corruption(self) -> None:
        """Check that no upstream received a corrupted packet."""
        altered = sum(one.altered for one in self.upstreams.values())
        if altered:
            self.record_violation(
                'packets arrive as they were sent', f'{altered} packets'
            )
