"""Power loss of a failure domain: all its nodes and upstreams at once."""

from functools import partial
from typing import Final

import attrs

from burdocksill.platform.values import Snapshot
from burdocksill_lab.packets.outage import OutageDeployment
from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import LabNode

# Routers stop sending to a node after two failed probes.
ROTATION_SECONDS: Final = 1.0
# Entries expire one after the other, after three missed heartbeats.
FIRST_EXPIRY_SECONDS: Final = 1.5
LAST_EXPIRY_SECONDS: Final = 2.3


@attrs.define(kw_only=True)
class PowerLoss:
    """Power loss of a domain, and its recovery."""

    deployment: OutageDeployment
    domain: str
    # False for the control run: new nodes get no updates from readers.
    receives_from_readers: bool = True
    nodes: list[LabNode] = attrs.field(factory=list)
    upstreams: list[LabUpstream] = attrs.field(factory=list)

    def begin(self) -> None:
        """Stop all nodes and upstreams of the domain."""
        world = self.deployment.world
        self.deployment.failed_at = world.timeline.now
        self.nodes = [
            node for node in world.nodes if node.domain == self.domain
        ]
        for node in self.nodes:
            node.is_paused = True
        world.timeline.after(ROTATION_SECONDS, self.leave_rotation)
        self.upstreams = self.deployment.in_domain(self.domain)
        spread = LAST_EXPIRY_SECONDS - FIRST_EXPIRY_SECONDS
        for number, upstream in enumerate(self.upstreams):
            upstream.condition = Condition.UNRESPONSIVE
            upstream.restart()
            delay = FIRST_EXPIRY_SECONDS + spread * number / len(self.upstreams)
            world.timeline.after(delay, partial(world.deregister, upstream))

    def leave_rotation(self) -> None:
        """Remove the nodes from rotation, so that routers use other domains."""
        for node in self.nodes:
            node.is_paused = False
            node.alive = False
            node.receives_updates = False
            node.backlog.clear()

    def end(self) -> None:
        """Start nodes without state, and new upstream processes."""
        world = self.deployment.world
        for upstream in self.upstreams:
            world.replace_upstream(upstream)
        reader = next(node for node in world.nodes if node.alive)
        for _ in self.nodes:
            node = world.add_node(self.domain)
            if self.receives_from_readers:
                node.core.store_cache.apply_peer_changes(
                    Snapshot(values=(), revision=world.revision),
                    age=0,
                    stable=reader.core.store_cache.healthy_seconds,
                )
