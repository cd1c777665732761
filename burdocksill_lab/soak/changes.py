"""Do what teams, operators and upstreams do: changes of all kinds."""

from typing import Final

import attrs
import trio

from burdocksill_lab.packets.upstream import Condition, LabUpstream
from burdocksill_lab.packets.world import ROUTE_PORT, write_entry
from burdocksill_lab.soak.day import (
    DOMAINS,
    OTHER_SERVICE,
    SERVICE,
    TOGGLED_PORT,
    SoakDay,
)
from burdocksill_lab.soak.plan import Trouble

# An upstream's entry goes after three heartbeats of silence.
LAPSE_SECONDS: Final = 2.3
# A leaving upstream serves on for this long.
LEAVING_SECONDS: Final = 6.0
REUSE_SECONDS: Final = 2.0
STORM_VERSIONS: Final = 6
STORM_GAP_SECONDS: Final = 0.2
FEWEST_UPSTREAMS: Final = 3


@attrs.define(kw_only=True)
class Changes:
    """Change upstreams, manifests and domains of a day."""

    day: SoakDay

    def one_upstream(self, trouble: Trouble) -> LabUpstream | None:
        """Return an upstream that may go, None if too few would be left."""
        living = self.day.living()
        if len(living) <= FEWEST_UPSTREAMS:
            return None
        return living[trouble.target % len(living)]

    async def darken(self, trouble: Trouble) -> None:
        """Let an upstream lose power; another takes its place."""
        upstream = self.one_upstream(trouble)
        if upstream is None:
            return
        upstream.condition = Condition.DARK
        self.day.judge.ledger.ended[upstream.name] = self.day.judge.clock()
        await trio.sleep(LAPSE_SECONDS)
        self.day.deregister(upstream)
        await self.day.add_upstream(upstream.domain, SERVICE)

    async def reuse(self, trouble: Trouble) -> None:
        """Give the address of an upstream that ended to another service."""
        upstream = self.one_upstream(trouble)
        if upstream is None:
            return
        await self.darken(trouble)
        await trio.sleep(REUSE_SECONDS)
        address = upstream.address
        await self.day.add_upstream(upstream.domain, OTHER_SERVICE, address)

    async def toggle_route(self, _: Trouble) -> None:
        """Add the second route, or take it away."""
        routes = {ROUTE_PORT: SERVICE}
        if not self.day.judge.ledger.route(TOGGLED_PORT)[0]:
            routes[TOGGLED_PORT] = OTHER_SERVICE
        self.day.put_manifest(routes)

    async def storm(self, trouble: Trouble) -> None:
        """Write manifests in quick succession."""
        for _ in range(STORM_VERSIONS):
            await self.toggle_route(trouble)
            await trio.sleep(STORM_GAP_SECONDS)

    async def take_out(self, trouble: Trouble) -> None:
        """Take a failure domain out for a while."""
        domain = DOMAINS[trouble.target % len(DOMAINS)]
        if self.day.judge.ledger.out:
            return
        self.day.set_out(domain, out=True)
        await trio.sleep(LEAVING_SECONDS + trouble.seconds)
        self.day.set_out(domain, out=False)

    async def release(self, trouble: Trouble) -> None:
        """Replace an upstream: the new one starts, the old one drains."""
        upstream = self.one_upstream(trouble)
        if upstream is None:
            return
        await self.day.add_upstream(upstream.domain, SERVICE)
        ledger = self.day.judge.ledger
        ledger.draining[upstream.name] = self.day.judge.clock()
        write_entry(self.day.store.put, upstream, 'draining')
        await trio.sleep(LEAVING_SECONDS)
        ledger.ended[upstream.name] = self.day.judge.clock()
        upstream.condition = Condition.DARK
        self.day.deregister(upstream)
