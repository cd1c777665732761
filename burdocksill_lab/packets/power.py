"""A failure domain that loses power: its machines and its upstreams at once."""

from functools import partial
from typing import Final

import attrs

from burdocksill.platform.values import Snapshot
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import LabNode

# Routers turn from a node after two missed probes.
ROTATION_SECONDS: Final = 1.0
# Entries vanish after three missed heartbeats, one after the other.
FIRST_LAPSE_SECONDS: Final = 1.5
LAST_LAPSE_SECONDS: Final = 2.3


@attrs.define(kw_only=True)
class PowerLoss:
    """Take the power of a domain away, and give it back."""

    deployment: OutageDeployment
    domain: str
    # False is a control: nodes that start hear nothing of readers.
    hears_readers: bool = True
    nodes: list[LabNode] = attrs.field(factory=list)
    upstreams: list[LabUpstream] = attrs.field(factory=list)

    def begin(self) -> None:
        """Let nothing in the domain answer from now on."""
        world = self.deployment.world
        self.deployment.failed_at = world.timeline.now
        self.nodes = [
            node for node in world.nodes if node.domain == self.domain
        ]
        for node in self.nodes:
            node.stands = True
        world.timeline.after(ROTATION_SECONDS, self.leave_rotation)
        self.upstreams = self.deployment.in_domain(self.domain)
        spread = LAST_LAPSE_SECONDS - FIRST_LAPSE_SECONDS
        for number, upstream in enumerate(self.upstreams):
            upstream.condition = Condition.DARK
            upstream.restart()
            lapse = FIRST_LAPSE_SECONDS + spread * number / len(self.upstreams)
            world.timeline.after(lapse, partial(world.deregister, upstream))

    def leave_rotation(self) -> None:
        """Let routers turn to other domains."""
        for node in self.nodes:
            node.stands = False
            node.alive = False
            node.follows = False
            node.backlog.clear()

    def end(self) -> None:
        """Start the machines, which know nothing, and new upstreams."""
        world = self.deployment.world
        for upstream in self.upstreams:
            world.replace_upstream(upstream)
        reader = next(node for node in world.nodes if node.alive)
        for _ in self.nodes:
            node = world.add_node(self.domain)
            if self.hears_readers:
                node.core.store_cache.apply_peer_changes(
                    Snapshot(values=(), revision=world.revision),
                    age=0,
                    stable=reader.core.store_cache.healthy_seconds,
                )
