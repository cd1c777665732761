"""Quorum of a failure domain, from the members that answer this VM."""

from collections import deque
from typing import Final

import attrs

from burdocksill.membership.table import MemberTable

WINDOW_SECONDS: Final = 3.0
# In a domain of one or two members no majority can distinguish a dead member
# from a partition.
MIN_PROBED: Final = 2


@attrs.frozen(kw_only=True)
class Attempt:
    """Hold the tag and time of a probe."""

    tag: bytes
    at: float


@attrs.define(kw_only=True)
class Quorum:
    """Compare the recently probed members with those that have answered.

    A VM that is partitioned, or was paused while its upstreams moved to other
    owners, would go on dispatching beside the new owner. It receives nothing,
    so it is not quorate and stops; the others receive each other's messages.
    """

    table: MemberTable
    max_gap_seconds: float
    attempts: deque[Attempt] = attrs.field(factory=deque)
    last_tick: float = 0
    last_wall: float = 0
    resumed_at: float = -WINDOW_SECONDS

    def record_probe(self, tag: bytes, now: float) -> None:
        """Record a probe of a member of the own domain."""
        self.attempts.append(Attempt(tag=tag, at=now))
        self.drop_old_attempts(now)

    def drop_old_attempts(self, now: float) -> None:
        """Drop attempts that are older than the window."""
        while self.attempts and self.attempts[0].at < now - WINDOW_SECONDS:
            self.attempts.popleft()

    def record_tick(self, now: float, wall: float) -> bool:
        """Return True when this VM was paused since the last tick.

        The wall clock is compared too because some hosts stop the monotonic
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
        """Return the seconds since the last tick, the larger of both clocks."""
        if not self.last_wall:
            return 0
        return max(now - self.last_tick, wall - self.last_wall)

    def is_quorate(self, now: float, wall: float) -> bool:
        """Return True while a majority answers, also after a pause."""
        if self.seconds_since_tick(now, wall) > self.max_gap_seconds:
            # This VM has just resumed, and the tick has not run yet.
            return False
        self.drop_old_attempts(now)
        since = max(now - WINDOW_SECONDS, self.resumed_at)
        own = self.table.local_member
        peers = {entry.tag for entry in self.table.live(own.domain)}
        probed = {attempt.tag for attempt in self.attempts} - {own.tag}
        just_resumed = now - self.resumed_at < WINDOW_SECONDS
        if just_resumed:
            probed |= peers - {own.tag}
        # A member that announced its leave does not count, or a rolling
        # replacement of a domain's VMs would fence the rest.
        probed = {tag for tag in probed if not self.has_left(tag)}
        received = sum(self.received_since(tag, since) for tag in probed)
        if len(probed) < MIN_PROBED and not just_resumed:
            return True
        return 2 * (received + 1) > len(probed) + 1

    def has_left(self, tag: bytes) -> bool:
        """Return True for a member that is unknown or announced its leave."""
        entry = self.table.find(tag)
        return entry is None or entry.left

    def received_since(self, tag: bytes, since: float) -> bool:
        """Return True if a message of a member came after a time."""
        entry = self.table.find(tag)
        return entry is not None and entry.received_at > since
