"""A deployment of which whole failure domains lose their upstreams."""

from collections.abc import Iterable
from typing import Final

import attrs

from burdocksill.packets.flows import FlowKey
from burdocksill.packets.outages import Outages
from burdocksill_lab.packets.load import Callers, Served, count_served
from burdocksill_lab.packets.sharing import SignPeer, share_signs
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import PacketWorld

OBJECTIVE_SECONDS: Final = 0.4
CALM_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 4.0
# Clients that are refused try again at once.
RETRY_SECONDS: Final = 0.002


class BlindOutages(Outages):
    """Draw no conclusion from missed openings, as a control."""

    __slots__ = ()

    def doubts(self, *_: object) -> bool:
        """Return that nothing speaks against any upstream."""
        return False


@attrs.define(kw_only=True)
class OutageDeployment:
    """Hold nodes, upstreams and callers of several failure domains."""

    world: PacketWorld
    domains: int
    nodes: int
    upstreams: int
    # Calls a second in each domain.
    rate: float
    # False is the control.
    sees_outages: bool = True
    # False: each node knows what it saw itself, and no more.
    shares: bool = True
    callers: list[Callers] = attrs.field(factory=list)
    peers: list[SignPeer] = attrs.field(factory=list)
    failed: list[LabUpstream] = attrs.field(factory=list)
    failed_at: float = 0

    def build(self) -> None:
        """Start upstreams, nodes and callers, and let them settle."""
        for domain in self.names():
            for _ in range(self.upstreams):
                self.world.add_upstream(domain, work_seconds=0.022)
        for domain in self.names():
            for _ in range(self.nodes):
                self.world.add_node(domain)
        if not self.sees_outages:
            for node in self.world.nodes:
                node.core.learner.placer.outages = BlindOutages(
                    node.core.learner.upstreams,
                )
        if self.shares:
            self.peers = share_signs(self.world)
        for domain in self.names():
            callers = Callers(
                world=self.world,
                domain=domain,
                rate=self.steady_rate,
                pause_seconds=RETRY_SECONDS,
            )
            callers.start()
            self.callers.append(callers)
        self.world.run(CALM_SECONDS)

    def steady_rate(self, _now: float) -> float:
        """Return the calls a second of one domain."""
        return self.rate

    def names(self) -> list[str]:
        """Return the names of the failure domains."""
        return [f'd{number}' for number in range(self.domains)]

    def in_domain(self, domain: str) -> list[LabUpstream]:
        """Return the upstreams of a domain."""
        known = self.world.upstreams.values()
        return [one for one in known if one.domain == domain]

    def fail(self, upstreams: Iterable[LabUpstream]) -> None:
        """Let the processes of upstreams end; their hosts refuse for them."""
        self.failed_at = self.world.timeline.now
        for upstream in upstreams:
            upstream.condition = Condition.REFUSING
            upstream.restart()
            self.failed.append(upstream)

    def come_back(self) -> None:
        """Start what has failed anew, as another process."""
        for upstream in self.failed:
            upstream.condition = Condition.WELL
            upstream.running = 0
            entry = upstream.entry('ready', born=2)
            self.world.put_entry(upstream, entry)
        self.failed.clear()

    def served(self, domain: str, begin: float, end: float) -> Served:
        """Count what a domain's callers got, by seconds since the failure."""
        calls = [
            call
            for one in self.callers
            if one.domain == domain
            for call in one.calls
            if begin <= call.asked_at - self.failed_at < end
        ]
        return count_served(calls, OBJECTIVE_SECONDS)

    def opened_at(self, key: FlowKey) -> float:
        """Return when a client's flow sent its first request."""
        first_request = self.world.clients[key].requests[0]
        return first_request.sent_at

    def settle(self) -> None:
        """Let the callers stop, and their calls end."""
        for one in self.callers:
            one.stopped = True
        self.world.run(SETTLE_SECONDS)
