"""Simulated deployment whose failure domains lose all their upstreams."""

from collections.abc import Callable, Iterable
from typing import Final

import attrs

from burdocksill.packets.header import Packet, parse_ipv4
from burdocksill.packets.outages import DomainOutageDetector
from burdocksill_lab.packets.load import (
    Callers,
    Served,
    caller_host,
    count_served,
)
from burdocksill_lab.packets.sharing import ObservationPeer, share_observations
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import LabNode, PacketWorld

OBJECTIVE_SECONDS: Final = 0.4
CALM_SECONDS: Final = 3.0
SETTLE_SECONDS: Final = 4.0
# Clients that are refused retry almost at once.
RETRY_SECONDS: Final = 0.002
# The callers of a domain share all bits of their addresses but these.
HOST_BITS: Final = 8
# Duration of a successful call to the store, and timeout of a failed one.
ANSWER_SECONDS: Final = 0.004
TIMEOUT_SECONDS: Final = 0.35


class NoOutageDetector(DomainOutageDetector):
    """Baseline that suspects no upstream after unanswered openings."""

    __slots__ = ()

    def is_upstream_suspected(self, *_: object) -> bool:
        """Return False for every upstream."""
        return False


@attrs.frozen(kw_only=True)
class OpenedFlow:
    """Record of a flow that an upstream has accepted."""

    at: float
    caller_domain: str
    upstream_domain: str


@attrs.define(kw_only=True)
class LabStoreProbe:
    """Probe of the store's reachability from one node."""

    node: LabNode
    # Returns True while the store answers.
    answers: Callable[[], bool]
    in_progress: bool = False

    def start_probe(self) -> None:
        """Start a probe, unless one is in progress."""
        if not self.in_progress:
            self.in_progress = True
            wait = ANSWER_SECONDS if self.answers() else TIMEOUT_SECONDS
            self.node.timeline.after(wait, self.report_result)

    def report_result(self) -> None:
        """Report the result of the probe to the node."""
        self.in_progress = False
        isolation = self.node.core.updater.placer.isolation
        if self.answers():
            isolation.record_store_answer()
        else:
            isolation.record_store_timeout(self.node.timeline.now)


@attrs.define(kw_only=True)
class OutageDeployment:
    """Nodes, upstreams and callers of several failure domains."""

    world: PacketWorld
    domains: int
    nodes: int
    upstreams: int
    # Calls per second in each domain.
    rate: float
    # False for the control run without outage detection.
    detects_outages: bool = True
    # False: nodes use only their own observations.
    shares_observations: bool = True
    # Maximum number of idle flows that the callers of a domain keep.
    kept_flows: int = 10
    # True: callers pick idle flows at random, so that some are idle for long.
    random_reuse: bool = False
    work_seconds: float = 0.022
    callers: list[Callers] = attrs.field(factory=list)
    peers: list[ObservationPeer] = attrs.field(factory=list)
    opened: list[OpenedFlow] = attrs.field(factory=list)
    failed: list[LabUpstream] = attrs.field(factory=list)
    failed_at: float = 0
    # False while the store is unavailable.
    store_answers: bool = True

    def build(self) -> None:
        """Start upstreams, nodes and callers, and run a calm phase."""
        for domain in self.names():
            for _ in range(self.upstreams):
                self.world.add_upstream(domain, work_seconds=self.work_seconds)
        for domain in self.names():
            for _ in range(self.nodes):
                self.world.add_node(domain)
        if not self.detects_outages:
            for node in self.world.nodes:
                node.core.updater.placer.outages = NoOutageDetector(
                    node.core.updater.upstreams,
                )
        for node in self.world.nodes:
            probe = LabStoreProbe(node=node, answers=self.is_store_available)
            isolation = node.core.updater.placer.isolation
            isolation.on_suspected = probe.start_probe
        if self.shares_observations:
            self.peers = share_observations(self.world)
        for domain in self.names():
            callers = Callers(
                world=self.world,
                domain=domain,
                rate=self.steady_rate,
                pause_seconds=RETRY_SECONDS,
                max_idle=self.kept_flows,
                random_reuse=self.random_reuse,
            )
            callers.start()
            self.callers.append(callers)
        self.record_openings()
        self.world.run(CALM_SECONDS)

    def record_openings(self) -> None:
        """Record each flow that upstreams accept from now on."""
        networks = {
            parse_ipv4(caller_host(domain, 0)) >> HOST_BITS: domain
            for domain in self.names()
        }

        def record(upstream: LabUpstream, packet: Packet) -> None:
            self.opened.append(
                OpenedFlow(
                    at=self.world.timeline.now,
                    caller_domain=networks[packet.client >> HOST_BITS],
                    upstream_domain=upstream.domain,
                )
            )

        for upstream in self.world.upstreams.values():
            upstream.on_open = record

    def home_flows(self, domain: str, since: float) -> list[bool]:
        """Return whether each flow of a domain's callers was opened there."""
        return [
            flow.upstream_domain == domain
            for flow in self.opened
            if flow.caller_domain == domain and flow.at >= since
        ]

    def steady_rate(self, _now: float) -> float:
        """Return the calls per second of one domain."""
        return self.rate

    def is_store_available(self) -> bool:
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
        """End the processes of upstreams; their hosts answer with resets."""
        self.failed_at = self.world.timeline.now
        for upstream in upstreams:
            upstream.condition = Condition.REFUSING
            upstream.restart()
            self.failed.append(upstream)

    def cut(self, domain: str) -> None:
        """Partition a domain's nodes from the upstreams of all others."""
        self.failed_at = self.world.timeline.now
        for node in self.world.nodes:
            for upstream in self.world.upstreams.values():
                if node.domain == domain and upstream.domain != domain:
                    ends = (node.address[0], upstream.address[0])
                    self.world.network.cuts.add(frozenset(ends))

    def restart_failed(self) -> None:
        """Start new processes for the failed upstreams."""
        for upstream in self.failed:
            upstream.condition = Condition.HEALTHY
            upstream.running = 0
            entry = upstream.entry('ready', born=2)
            self.world.put_entry(upstream, entry)
        self.failed.clear()

    def served(self, domain: str, begin: float, end: float) -> Served:
        """Count the results of a domain's calls between two times.

        Times are in seconds since the failure.
        """
        calls = [
            call
            for one in self.callers
            if one.domain == domain
            for call in one.calls
            if begin <= call.asked_at - self.failed_at < end
        ]
        return count_served(calls, OBJECTIVE_SECONDS)

    def settle(self) -> None:
        """Stop the callers and wait until their calls end."""
        for one in self.callers:
            one.stopped = True
        self.world.run(SETTLE_SECONDS)
