"""Simulated deployment in which some upstreams fall silent under load."""

import zlib
from collections.abc import Iterable
from typing import Final

import attrs

from burdocksill.packets.silence import Evidence, SilenceReport
from burdocksill.packets.verdicts import Reason
from burdocksill_lab.packets.client import ClientFlow, Request
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import LabNode, PacketWorld

# Idle flows that the callers of a domain keep; they pick one at random.
KEPT_FLOWS: Final = 100
WORK_SECONDS: Final = 0.035
QUARTER: Final = 4


def make_deployment(
    world: PacketWorld, domains: int, nodes: int, upstreams: int, rate: float
) -> OutageDeployment:
    """Return a deployment whose callers keep many flows open."""
    return OutageDeployment(
        world=world,
        domains=domains,
        nodes=nodes,
        upstreams=upstreams,
        rate=rate,
        work_seconds=WORK_SECONDS,
        kept_flows=KEPT_FLOWS,
        random_reuse=True,
    )


@attrs.define(kw_only=True)
class SilenceTrial:
    """Upstreams of a deployment that fall silent, and what it does to them."""

    deployment: OutageDeployment
    silent: list[LabUpstream] = attrs.field(factory=list)
    silent_at: float = 0
    under_way: list[Request] = attrs.field(factory=list)
    # Names of upstreams whose flows nodes ended as those of a silent one.
    ended: list[str] = attrs.field(factory=list)

    def watch(self) -> None:
        """Record for which upstreams nodes end flows together."""
        for node in self.deployment.world.nodes:
            self.watch_node(node)

    def watch_node(self, node: LabNode) -> None:
        """Record the decisions of one node."""
        decided = node.core.forwarder.log.decided

        def record(flow, reason, upstream, repeat=0):  # type: ignore  # noqa
            if reason is Reason.UPSTREAM_SILENT:
                self.ended.append(upstream.record.name)
            decided(flow, reason, upstream, repeat)

        node.core.forwarder.log.decided = record  # type: ignore[method-assign]

    def silence(self, upstreams: Iterable[LabUpstream]) -> None:
        """Let upstreams fall silent at once."""
        self.silent.extend(upstreams)
        self.silent_at = self.deployment.world.timeline.now
        self.deployment.failed_at = self.silent_at
        for upstream in self.silent:
            upstream.condition = Condition.UNRESPONSIVE
        self.under_way = [
            flow.waiting
            for flow in self.deployment.world.clients.values()
            if flow.waiting is not None and self.is_on_silent(flow)
        ]

    def is_on_silent(self, flow: ClientFlow) -> bool:
        """Return True when a flow is open on a silent upstream."""
        return flow.open and flow.echo in {
            upstream.tag & 0xFFFFFFFF for upstream in self.silent
        }

    def silence_quarter(self) -> None:
        """Let every fourth upstream fall silent."""
        self.silence(list(self.deployment.world.upstreams.values())[::QUARTER])

    def ended_by(self, seconds: float) -> list[bool]:
        """Return whether each request under way ended in time."""
        return [
            0 < request.ended_at <= self.silent_at + seconds
            for request in self.under_way
        ]

    def ended_living(self) -> list[str]:
        """Return the living upstreams whose flows were ended."""
        silent = {upstream.name for upstream in self.silent}
        return sorted(set(self.ended) - silent)

    def accuse(self, number: int) -> None:
        """Let a node report all upstreams of its domain as silent."""
        peer = self.deployment.peers[number]
        assert peer.silence is not None
        now = self.deployment.world.timeline.now
        for upstream in self.deployment.in_domain(peer.node.domain):
            for evidence in (
                Evidence.OPENING_REPEATED,
                Evidence.DATA_REPEATED_TWICE,
            ):
                client = zlib.crc32(upstream.name.encode()) & 0xFFFF
                report = SilenceReport(
                    echo=upstream.tag & 0xFFFFFFFF,
                    evidence=evidence,
                    at=now,
                    client=client,
                )
                peer.silence.report(report)
