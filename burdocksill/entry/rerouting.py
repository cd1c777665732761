"""Route a packet again after the views of the members have agreed."""

from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.requests.messages import Envelope

REROUTE_DELAY_SECONDS: Final = 0.3
MAX_REROUTES: Final = 8
# Packets on a detour at once; more are answered without one.
MAX_WAITING_PACKETS: Final = 500


@attrs.define(kw_only=True)
class DelayedRerouting:
    """Hold packets that went in a circle for a moment.

    While members join or leave, two VMs can take each other for the owner.
    An answer now would call a request lost that its holder still knows, so
    the packet waits until the views agree, within a bound.
    """

    waiting: int = 0

    def is_allowed(self, envelope: Envelope) -> bool:
        """Return True while a packet may wait for the views to agree."""
        few = envelope.reroutes < MAX_REROUTES
        return few and self.waiting < MAX_WAITING_PACKETS

    async def route_later(
        self,
        envelope: Envelope,
        route: Callable[[Envelope], None],
    ) -> None:
        """Wait a moment, then route the packet as if it had just come."""
        self.waiting += 1
        try:
            await trio.sleep(REROUTE_DELAY_SECONDS)
        finally:
            self.waiting -= 1
        again = attrs.evolve(
            envelope,
            hops=envelope.hops[-1:],
            reroutes=envelope.reroutes + 1,
        )
        route(again)
