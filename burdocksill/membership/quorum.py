"""Whether this VM hears the majority of its failure domain."""

from collections import deque
from typing import Final

import attrs

from burdocksill.membership.table import MemberTable

WINDOW_SECONDS: Final = 3.0
# With one or two members no majority can tell a dead one from a cut.
SMALLEST: Final = 2


@attrs.frozen(kw_only=True)
class Attempt:
    """Remember that a member was probed."""

    tag: bytes
    at: float


@attrs.define(kw_only=True)
class Quorum:
    """Compare the members probed of late with those heard of late.

    A VM that is cut off, or that was paused while the others gave its
    upstreams away, would go on dispatching beside their new owner. It hears
    nobody, so it is not quorate and stops; the others hear each other.
    """

    table: MemberTable
    longest_gap_seconds: float
    attempts: deque[Attempt] = attrs.field(factory=deque)
    last_tick: float = 0
    last_wall: float = 0
    resumed_at: float = -WINDOW_SECONDS

    def probed(self, tag: bytes, now: float) -> None:
        """Remember that a member of the own domain was probed."""
        self.attempts.append(Attempt(tag=tag, at=now))
        self.prune(now)

    def prune(self, now: float) -> None:
        """Drop the attempts that are too long ago to tell anything."""
        while self.attempts and self.attempts[0].at < now - WINDOW_SECONDS:
            self.attempts.popleft()

    def tick(self, now: float, wall: float) -> bool:
        """Return True when this VM was paused since the last tick.

        The wall clock is asked too because some hosts stop the monotonic
        clock with the VM. A wall clock that is set ahead looks the same and
        costs one round of heartbeats.
        """
        paused = self.gap(now, wall) > self.longest_gap_seconds
        if paused:
            self.resumed_at = now
            self.attempts.clear()
        self.last_tick = now
        self.last_wall = wall
        return paused

    def gap(self, now: float, wall: float) -> float:
        """Return the longest time since the last tick by either clock."""
        if not self.last_wall:
            return 0
        return max(now - self.last_tick, wall - self.last_wall)

    def holds(self, now: float, wall: float) -> bool:
        """Return True while a majority is heard and no pause is unhealed."""
        if self.gap(now, wall) > self.longest_gap_seconds:
            # Resumed a moment ago, and the tick has not run yet.
            return False
        self.prune(now)
        since = max(now - WINDOW_SECONDS, self.resumed_at)
        own = self.table.local_member
        peers = {held.tag for held in self.table.live(own.domain)}
        asked = {attempt.tag for attempt in self.attempts} - {own.tag}
        just_resumed = now - self.resumed_at < WINDOW_SECONDS
        if just_resumed:
            asked |= peers - {own.tag}
        # Who announced its leave is missed by nobody: counting it would
        # fence the rest of a domain whose VMs are replaced in turn.
        asked = {tag for tag in asked if not self.has_left(tag)}
        heard = sum(self.heard_since(tag, since) for tag in asked)
        if len(asked) < SMALLEST and not just_resumed:
            return True
        return 2 * (heard + 1) > len(asked) + 1

    def has_left(self, tag: bytes) -> bool:
        """Return True for a member that left as planned."""
        held = self.table.find(tag)
        return held is None or held.left

    def heard_since(self, tag: bytes, since: float) -> bool:
        """Return True when a member was heard after a time."""
        held = self.table.find(tag)
        return held is not None and held.heard_at > since
