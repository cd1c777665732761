"""Detect upstreams whose flows are lost, from the store and client packets.

When an upstream crashes or loses power, clients would wait on their open flows
until their deadlines unless a node resets them. Observations of other nodes do
not count here. A removed store entry alone ends no flow, because its upstream
may be partitioned from the store and still answer its clients.
"""

from __future__ import annotations

from collections.abc import Iterator

from burdocksill.packets.flows import FlowTable
from burdocksill.packets.health import EXPIRED_ANSWER_FACTOR
from burdocksill.packets.upstreams import (
    KnownUpstream,
    RegistrationState,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Reason

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Longer than a client takes to retransmit for the first time.
MIN_OVERDUE_SECONDS: Final = 0.25


class LostUpstreamDetector:
    """Decide whether the flows on an upstream are lost."""

    __slots__ = ('flows', 'upstreams')

    def __init__(
        self,
        *,
        upstreams: UpstreamRegistry,
        flows: FlowTable,
    ) -> None:
        """Store the collaborators."""
        self.upstreams = upstreams
        self.flows = flows

    def loss_reason(self, upstream: KnownUpstream, now: float) -> Reason | None:
        """Return why flows on an upstream are lost, or None if they may live.

        They are lost if another process has replaced the upstream, if clients'
        packets show that it is unresponsive, or if its store entry is gone for
        good and at least one client gets no answer either.
        """
        health = upstream.health
        if upstream.is_replaced:
            return Reason.UPSTREAM_REPLACED
        moved_in_at = self.flows.moved_in_at
        if health.is_unresponsive(now, moved_in_at):
            # After the reset of its flows no packets would show that it is
            # unresponsive, and without flows it would look the least loaded.
            health.eject(now)
            return Reason.UPSTREAM_DARK
        registration_state = self.upstreams.registration_state(upstream, now)
        if (
            registration_state is RegistrationState.GONE
            and health.waiting_flows(now, moved_in_at)
        ):
            return Reason.UPSTREAM_GONE
        expired = self.upstreams.stopped_renewing(upstream)
        recent = upstream.limiter.recent_seconds
        if expired and health.has_overdue_flow(now, recent, moved_in_at):
            return Reason.UPSTREAM_GONE
        return None

    def pop_lost(self, now: float) -> Iterator[tuple[KnownUpstream, Reason]]:
        """Yield each upstream that changes of the store show to be lost, once.

        Clients may not send again for long, so this does not wait for packets.
        """
        for replaced in self.upstreams.pop_replaced():
            yield replaced, Reason.UPSTREAM_REPLACED
        for expired in self.upstreams.pop_expired():
            if expired.waiting and self.has_overdue_request(expired, now):
                yield expired, Reason.UPSTREAM_GONE

    def has_overdue_request(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True when a client has waited longer than answers take.

        Always False on a backlogged node: the acknowledgement of the answer may
        still be in its socket.
        """
        recent = upstream.limiter.recent_seconds
        if self.flows.is_backlogged or not recent or upstream.is_registered:
            return False
        longest = max(recent * EXPIRED_ANSWER_FACTOR, MIN_OVERDUE_SECONDS)
        return self.flows.has_waited(upstream, longest, now)
