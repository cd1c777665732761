"""Fence an owner that was paused or has lost sight of its failure domain."""

import logging
from typing import Final

import attrs
import trio

from burdocksill.membership.protocols import MemberView
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict

TICK_SECONDS: Final = 0.1
# Others declare a silent VM dead after about two seconds; a gap of half that
# is noticed here before anybody else can own this VM's upstreams.
PAUSE_SECONDS: Final = 1.0
# After a pause this VM hears its peers again before it dispatches.
RECOVERY_SECONDS: Final = 1.0
# A VM that hears a majority again may still believe that it owns what others
# took over meanwhile. They need this long to hear of it, to stop dispatching
# and to tell what they have in progress; until then both would load an
# upstream at once.
REJOIN_SECONDS: Final = 2.0

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class PauseFence:
    """Refuse to dispatch after a pause, and without sight of a majority.

    A paused VM (SIGSTOP, a stolen processor) wakes up with a queue of old
    requests while another VM serves its upstreams already. It would load them
    a second time. It shows as a gap between two ticks of its own clock, which
    is looked at right before each dispatch, so no request slips through.
    """

    members: MemberView
    last_tick: float = attrs.field(factory=trio.current_time)
    fenced_until: float = 0

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await trio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Note the time and whether the last tick is too long ago."""
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
        """Fence at once when the ticker itself has not run since a pause."""
        if trio.current_time() - self.last_tick > PAUSE_SECONDS:
            self.tick()


@attrs.define(kw_only=True)
class NoFence:
    """Never refuse: the naive baseline of the control runs."""

    async def run(self) -> None:
        """Watch nothing."""

    def check(self) -> None:
        """Let everything through."""
