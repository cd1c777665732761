"""Fencing of an owner that was paused or has lost its quorum."""

import logging
from typing import Final

import attrs
import trio

from burdocksill.membership.protocols import MemberView
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict

TICK_SECONDS: Final = 0.1
# Other VMs declare an unresponsive VM dead after about 2 seconds. A gap of half
# that is detected before another VM can own the upstreams of this one.
PAUSE_SECONDS: Final = 1.0
# After a pause this VM waits for messages of its peers before it dispatches.
RECOVERY_SECONDS: Final = 1.0
# A VM that rejoins the majority may still consider itself the owner of
# upstreams that other VMs took over meanwhile. Those VMs need this long to
# learn of it, to stop dispatching and to report their requests in progress.
# Until then both would send requests to an upstream.
REJOIN_SECONDS: Final = 2.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class PauseFence:
    """Refuse to dispatch after a pause and without a quorum.

    A paused VM (SIGSTOP, CPU steal) resumes with a queue of old requests while
    another VM already serves its upstreams, which would get the load of both.
    The pause shows as a gap between two ticks of this VM's clock. The gap is
    checked before each dispatch, so no request is dispatched unchecked.
    """

    members: MemberView
    last_tick: float = attrs.field(factory=trio.current_time)
    fenced_until: float = 0

    async def run(self) -> None:
        """Tick every TICK_SECONDS until cancelled."""
        while True:
            self.tick()
            await trio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Record a tick; fence after a long gap or without a quorum."""
        now = trio.current_time()
        gap = now - self.last_tick
        self.last_tick = now
        if not self.members.quorate():
            self.fenced_until = now + REJOIN_SECONDS
        if gap > PAUSE_SECONDS:
            self.fenced_until = now + RECOVERY_SECONDS
            logger.warning('fenced after a pause', extra={'seconds': gap})

    def check(self) -> None:
        """Raise RequestFailedError (not run) while this VM is fenced."""
        self.detect_pause()
        recovering = trio.current_time() < self.fenced_until
        if recovering or not self.members.quorate():
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OWNER_FENCED,
                message='this owner was paused or cut off just now',
                retry_after_seconds=RECOVERY_SECONDS,
            )

    def detect_pause(self) -> None:
        """Fence if the tick task has not run since a pause."""
        if trio.current_time() - self.last_tick > PAUSE_SECONDS:
            self.tick()


@attrs.define(kw_only=True)
class NoFence:
    """Never refuse: baseline without fencing, for control runs."""

    async def run(self) -> None:
        """Return at once."""

    def check(self) -> None:
        """Allow every dispatch."""
