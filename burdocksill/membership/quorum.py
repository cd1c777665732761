"""Whether this VM hears the majority of its failure domain."""

from collections import deque
from typing import Final

import attrs

from burdocksill.membership.table import MemberTable

WINDOW_SECONDS: Final = 3.0
# With one or two members no majority can tell a dead one from a cut.
MIN_PROBED: Final = 2


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
    max_gap_seconds: float
    attempts: deque[Attempt] = attrs.field(factory=deque)
    last_tick: float = 0
    last_wall: float = 0
    resumed_at: float = -WINDOW_SECONDS

    def record_probe(self, tag: bytes, now: float) -> None:
        """Remember that a member of the own domain was probed."""
        self.attempts.append(Attempt(tag=tag, at=now))
        self.drop_old_attempts(now)

    def drop_old_attempts(self, now: float) -> None:
        """Drop the attempts that are too long ago to tell anything."""
        while self.attempts and self.attempts[0].at < now - WINDOW_SECONDS:
            self.attempts.popleft()

    def record_tick(self, now: float, wall: float) -> bool:
        """Return True when this VM was paused since the last tick.

        The wall clock is probed too because some hosts stop the monotonic
        clock with the VM. A wall clock that is set ahead looks the same and
        costs one round of heartbeats.
        """
        paused = self.seconds_since_tick(now, wall) > self.max_gap_seconds
        if paused:
            self.resumed_at = now
            self.attempts.clear()
        self.last_tick = now
        self.last_wall = wall
        return paused

    def seconds_since_tick(self, now: float, wall: float) -> float:
        """Return the longest time since the last tick by either clock."""
        if not self.last_wall:
            return 0
        return max(now - self.last_tick, wall - self.last_wall)

    def is_quorate(self, now: float, wall: float) -> bool:
        """Return True while a majority is heard and no pause is unhealed."""
        if self.seconds_since_tick(now, wall) > self.max_gap_seconds:
            # Resumed a moment ago, and the tick has not run yet.
            return False
        self.drop_old_attempts(now)
        since = max(now - WINDOW_SECONDS, self.resumed_at)
        own = self.table.local_member
        peers = {entry.tag for entry in self.table.live(own.domain)}
        probed = {attempt.tag for attempt in self.attempts} - {own.tag}
        just_resumed = now - self.resumed_at < WINDOW_SECONDS
        if just_resumed:
            probed |= peers - {own.tag}
        # Who announced its leave is missed by nobody: counting it would
        # fence the rest of a domain whose VMs are replaced in turn.
        probed = {tag for tag in probed if not self.has_left(tag)}
        received = sum(self.received_since(tag, since) for tag in probed)
        if len(probed) < MIN_PROBED and not just_resumed:
            return True
        return 2 * (received + 1) > len(probed) + 1

    def has_left(self, tag: bytes) -> bool:
        """Return True for a member that left as planned."""
        entry = self.table.find(tag)
        return entry is None or entry.left

    def received_since(self, tag: bytes, since: float) -> bool:
        """Return True when a member was heard after a time."""
        entry = self.table.find(tag)
        return entry is not None and entry.received_at > since
