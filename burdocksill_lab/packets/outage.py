"""A deployment of which whole failure domains lose their upstreams."""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from burdocksill.packets.flows import FlowKey
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill_lab.packets.load import Callers, Served, count_served
from burdocksill_lab.packets.sharing import ObservationPeer, share_observations
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import LabNode, PacketWorld

OBJECTIVE_SECONDS: Final = 0.4
CALM_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 4.0
# Clients that are refused try again at once.
RETRY_SECONDS: Final = 0.002
# What a call to the store takes, and when it is given up.
ANSWER_SECONDS: Final = 0.004
SILENCE_SECONDS: Final = 0.35


class BlindOutages(DomainOutageDetector):
    """Draw no conclusion from missed openings, as a control."""

    __slots__ = ()

    def is_upstream_suspected(self, *_: object) -> bool:
        """Return that nothing speaks against any upstream."""
        return False


@attrs.define(kw_only=True)
class LabStoreProbe:
    """Ask a store whether it can be reached, for one node."""

    node: LabNode
    # Tells whether the store answers now.
    answers: Callable[[], bool]
    under_way: bool = False

    def suspect(self) -> None:
        """Ask, unless that is under way."""
        if not self.under_way:
            self.under_way = True
            wait = ANSWER_SECONDS if self.answers() else SILENCE_SECONDS
            self.node.timeline.after(wait, self.conclude)

    def conclude(self) -> None:
        """Tell the node what was found."""
        self.under_way = False
        isolation = self.node.core.updater.placer.isolation
        if self.answers():
            isolation.record_store_answer()
        else:
            isolation.record_store_timeout(self.node.timeline.now)


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
    # Flows that callers of a domain keep for later calls.
    kept_flows: int = 10
    # True: callers use them all alike, so that some are idle for long.
    alike: bool = False
    callers: list[Callers] = attrs.field(factory=list)
    peers: list[ObservationPeer] = attrs.field(factory=list)
    failed: list[LabUpstream] = attrs.field(factory=list)
    failed_at: float = 0
    # False while the store answers nobody.
    store_answers: bool = True

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
                node.core.updater.placer.outages = BlindOutages(
                    node.core.updater.upstreams,
                )
        for node in self.world.nodes:
            probe = LabStoreProbe(node=node, answers=self.has_store)
            isolation = node.core.updater.placer.isolation
            isolation.on_suspected = probe.suspect
        if self.shares:
            self.peers = share_observations(self.world)
        for domain in self.names():
            callers = Callers(
                world=self.world,
                domain=domain,
                rate=self.steady_rate,
                pause_seconds=RETRY_SECONDS,
                most_idle=self.kept_flows,
                alike=self.alike,
            )
            callers.start()
            self.callers.append(callers)
        self.world.run(CALM_SECONDS)

    def steady_rate(self, _now: float) -> float:
        """Return the calls a second of one domain."""
        return self.rate

    def has_store(self) -> bool:
        """Return True while the store answers."""
        return self.store_answers

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

    def cut(self, domain: str) -> None:
        """Cut the nodes of a domain off from the upstreams of all others."""
        self.failed_at = self.world.timeline.now
        for node in self.world.nodes:
            for upstream in self.world.upstreams.values():
                if node.domain == domain and upstream.domain != domain:
                    ends = (node.address[0], upstream.address[0])
                    self.world.network.cuts.add(frozenset(ends))

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
