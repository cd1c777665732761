"""Changes that teams, operators and upstreams make during a soak."""

from typing import Final

import attrs
import trio

from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT, write_entry
from burdocksill_lab.soak.deployment import (
    DOMAINS,
    OTHER_SERVICE,
    SERVICE,
    TOGGLED_PORT,
    SoakDeployment,
)
from burdocksill_lab.soak.plan import PlannedFault

# An upstream's entry expires after three missed heartbeats.
LAPSE_SECONDS: Final = 2.3
# Time for which a draining upstream keeps serving.
LEAVING_SECONDS: Final = 6.0
REUSE_SECONDS: Final = 2.0
BURST_VERSIONS: Final = 6
BURST_GAP_SECONDS: Final = 0.2
MIN_UPSTREAMS: Final = 3


@attrs.define(kw_only=True)
class Changes:
    """Changes of a deployment's upstreams, manifests and domains."""

    deployment: SoakDeployment

    def pick_upstream(self, fault: PlannedFault) -> LabUpstream | None:
        """Return an upstream that may end; None if too few would be left."""
        serving = self.deployment.serving()
        if len(serving) <= MIN_UPSTREAMS:
            return None
        return serving[fault.target % len(serving)]

    async def fail_upstream(self, fault: PlannedFault) -> None:
        """Fail an upstream without notice and start a replacement."""
        upstream = self.pick_upstream(fault)
        if upstream is None:
            return
        upstream.condition = Condition.UNRESPONSIVE
        self.deployment.checker.expected.ended[upstream.name] = (
            self.deployment.checker.clock()
        )
        await trio.sleep(LAPSE_SECONDS)
        self.deployment.deregister(upstream)
        await self.deployment.add_upstream(upstream.domain, SERVICE)

    async def reuse_address(self, fault: PlannedFault) -> None:
        """Start another service at the address of a failed upstream."""
        upstream = self.pick_upstream(fault)
        if upstream is None:
            return
        await self.fail_upstream(fault)
        await trio.sleep(REUSE_SECONDS)
        address = upstream.address
        await self.deployment.add_upstream(
            upstream.domain, OTHER_SERVICE, address
        )

    async def toggle_route(self, _: PlannedFault) -> None:
        """Add the second route, or remove it."""
        routes = {ROUTE_PORT: SERVICE}
        if not self.deployment.checker.expected.route(TOGGLED_PORT)[0]:
            routes[TOGGLED_PORT] = OTHER_SERVICE
        self.deployment.put_manifest(routes)

    async def write_manifests(self, fault: PlannedFault) -> None:
        """Write manifests in quick succession."""
        for _ in range(BURST_VERSIONS):
            await self.toggle_route(fault)
            await trio.sleep(BURST_GAP_SECONDS)

    async def take_out(self, fault: PlannedFault) -> None:
        """Take a failure domain out of service for a while."""
        domain = DOMAINS[fault.target % len(DOMAINS)]
        if self.deployment.checker.expected.domains_out:
            return
        self.deployment.set_out(domain, out=True)
        await trio.sleep(LEAVING_SECONDS + fault.seconds)
        self.deployment.set_out(domain, out=False)

    async def release(self, fault: PlannedFault) -> None:
        """Replace an upstream: the new one starts, the old one drains."""
        upstream = self.pick_upstream(fault)
        if upstream is None:
            return
        await self.deployment.add_upstream(upstream.domain, SERVICE)
        expected = self.deployment.checker.expected
        expected.draining[upstream.name] = self.deployment.checker.clock()
        write_entry(self.deployment.store.put, upstream, 'draining')
        await trio.sleep(LEAVING_SECONDS)
        expected.ended[upstream.name] = self.deployment.checker.clock()
        upstream.condition = Condition.UNRESPONSIVE
        self.deployment.deregister(upstream)
