"""Delayed routing of packets that were relayed in a loop."""

from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.requests.messages import Envelope

REROUTE_DELAY_SECONDS: Final = 0.3
MAX_REROUTES: Final = 8
# Further packets are answered without a delay.
MAX_WAITING_PACKETS: Final = 500


@attrs.define(kw_only=True)
class DelayedRerouting:
    """Delay packets that were relayed in a loop and route them again.

    While members join or leave, two VMs may consider each other the owner. An
    answer now would report a request as lost although the holder of its epoch
    still knows it. So the packet waits until the membership views agree, but
    at most MAX_REROUTES times.
    """

    waiting: int = 0

    def is_allowed(self, envelope: Envelope) -> bool:
        """Return True while a packet may wait for the views to agree."""
        below_limit = envelope.reroutes < MAX_REROUTES
        return below_limit and self.waiting < MAX_WAITING_PACKETS

    async def route_later(
        self,
        envelope: Envelope,
        route: Callable[[Envelope], None],
    ) -> None:
        """Wait a moment, then route the packet as if it had just arrived."""
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
