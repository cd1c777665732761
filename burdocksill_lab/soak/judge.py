"""Check the promises from what clients and upstreams see."""

from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from burdocksill.packets.header import Packet, flow_id
from burdocksill_lab.packets.client import ClientFlow, Outcome, Request
from burdocksill_lab.packets.upstream import Condition, LabUpstream

# What binds a node binds it again after this long without trouble.
CALM_SECONDS: Final = 4.0
DRAIN_SECONDS: Final = 3.0
MANIFEST_SECONDS: Final = 3.0
DOMAIN_SECONDS: Final = 5.0
# A reset may reach a client this long after its upstream ended: a flow is
# looked at when its user turns to it again.
ENDED_SECONDS: Final = 12.0
# A flow that was ended because the soak stood still is looked at within this.
STOOD_SECONDS: Final = 2.0
NO_ROUTE: Final = ('', 0)


@attrs.frozen(kw_only=True)
class Violation:
    """Hold a broken promise and what shows it."""

    at: float
    promise: str
    trace: str


@attrs.define(kw_only=True)
class Ledger:
    """Hold what operators and upstreams have said, and when."""

    # Since when each port has led to a service, or to none.
    routes: dict[int, tuple[str, float]] = attrs.field(factory=dict)
    allowed: dict[int, set[str]] = attrs.field(factory=dict)
    out: dict[str, float] = attrs.field(factory=dict)
    draining: dict[str, float] = attrs.field(factory=dict)
    ended: dict[str, float] = attrs.field(factory=dict)

    def route(self, port: int) -> tuple[str, float]:
        """Return where a port leads, empty for nowhere, and since when."""
        return self.routes.get(port, NO_ROUTE)


@attrs.define(kw_only=True)
class Judge:
    """Collect violations; times count from the beginning of the soak."""

    clock: Callable[[], float]
    ledger: Ledger = attrs.field(factory=Ledger)
    upstreams: dict[int, LabUpstream] = attrs.field(factory=dict)
    violations: list[Violation] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    checked: Counter[str] = attrs.field(factory=Counter)
    # How many troubles last, and when the last one ended.
    troubles: int = 0
    calm_since: float = 0
    # When the soak itself last stood still, and how often it did.
    stood_at: float = float('-inf')
    stalls: int = 0

    def begin(self) -> None:
        """Take note that a trouble begins."""
        self.troubles += 1

    def end(self) -> None:
        """Take note that a trouble is over."""
        self.troubles -= 1
        self.calm_since = self.clock()

    def stood_still(self) -> None:
        """Take note that this process, and so every upstream, stood still.

        Upstreams that answer nothing for 0.2 s look as if they were gone, and
        clients' deadlines pass: nodes can't know better.
        """
        self.stalls += 1
        self.stood_at = self.clock()
        self.begin()
        self.end()

    def is_calm(self, since: float) -> bool:
        """Return True if nothing was troubled from some time on."""
        return not self.troubles and since - self.calm_since >= CALM_SECONDS

    def blame(self, promise: str, trace: str) -> None:
        """Write down a broken promise."""
        self.violations.append(
            Violation(at=round(self.clock(), 3), promise=promise, trace=trace),
        )

    def opened(self, upstream: LabUpstream, packet: Packet) -> None:
        """Check an opening that an upstream took."""
        now = self.clock()
        flow = flow_id(packet.flow)
        where = f'{flow} at {upstream.name} of {upstream.service}'
        self.checked['opening'] += 1
        if upstream.service not in self.ledger.allowed.get(packet.port, set()):
            self.blame('a flow never reaches another service', where)
        if not self.is_calm(now):
            return
        since = self.ledger.draining.get(upstream.name, now)
        if now - since > DRAIN_SECONDS:
            self.blame('a leaving upstream gets no new flow', where)
        since = self.ledger.out.get(upstream.domain, now)
        if now - since > DOMAIN_SECONDS:
            self.blame('a domain taken out gets no new flow', where)

    def finished(self, flow: ClientFlow, request: Request) -> None:
        """Check a request that has ended."""
        self.outcomes[request.outcome.value] += 1
        port = flow.key[3]
        service, since = self.ledger.route(port)
        settled = request.sent_at - since > MANIFEST_SECONDS
        calm = self.is_calm(request.sent_at)
        if not settled or not calm:
            return
        self.checked['request'] += 1
        served = request.outcome is Outcome.SERVED
        if served and not service:
            self.blame('a manifest is in force in time', self.tell(flow))
        if service and not served and not self.excused(flow, request):
            self.blame(
                'without trouble every request is served',
                f'{request.outcome.value} {self.tell(flow)}',
            )

    def excused(self, flow: ClientFlow, request: Request) -> bool:
        """Return True when the flow's upstream has ended with its flows."""
        upstream = self.upstreams.get(flow.echo)
        if upstream is None:
            return False
        ended = self.ledger.ended.get(upstream.name)
        return ended is not None and ended <= request.ended_at

    def is_leaving(self, flow: ClientFlow) -> bool:
        """Return True when the flow's upstream asks its clients to leave."""
        upstream = self.upstreams.get(flow.echo)
        return upstream is not None and upstream.name in self.ledger.draining

    def was_reset(self, flow: ClientFlow) -> None:
        """Check a reset that no upstream has sent."""
        self.checked['reset'] += 1
        service, since = self.ledger.route(flow.key[3])
        if not service or self.clock() - since < MANIFEST_SECONDS:
            return
        if not flow.open:
            self.blame(
                'no opening is refused while upstreams live', self.tell(flow)
            )
            return
        upstream = self.upstreams.get(flow.echo)
        if upstream is None or upstream.condition is not Condition.WELL:
            return
        ended = self.ledger.ended.get(upstream.name, float('-inf'))
        if self.clock() - self.stood_at < STOOD_SECONDS:
            return
        if self.clock() - ended > ENDED_SECONDS:
            self.blame('a flow lives as long as its upstream', self.tell(flow))

    def tell(self, flow: ClientFlow) -> str:
        """Name a flow and its upstream."""
        upstream = self.upstreams.get(flow.echo)
        name = upstream.name if upstream else 'none'
        return f'{flow_id(flow.key)} on {name}'

    def look_for_changes(self) -> None:
        """Check that no packet was changed on its way."""
        altered = sum(one.altered for one in self.upstreams.values())
        if altered:
            self.blame('packets arrive as they were sent', f'{altered} packets')
