"""Tell which upstreams' flows are lost, by the store and by what clients send.

Answers the load of upstreams that end without a word: a crash, a loss of power.
Clients wait on their open flows until their deadline, unless they are told.
Nothing that other nodes saw counts here, and a vanished entry alone ends no
flow: its upstream may be cut off from the store, and answer its clients.
"""

from __future__ import annotations

from collections.abc import Iterator

from burdocksill.packets.flows import FlowTable
from burdocksill.packets.health import LAPSED_ANSWERS, QUICK_SECONDS
from burdocksill.packets.upstreams import (
    KnownUpstream,
    Presence,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Reason


class LostUpstreamDetector:
    """Decide whether the flows on an upstream are lost."""

    __slots__ = ('flows', 'upstreams')

    def __init__(
        self, *, upstreams: UpstreamRegistry, flows: FlowTable
    ) -> None:
        """Take all fields."""
        self.upstreams = upstreams
        self.flows = flows

    def loss_reason(self, upstream: KnownUpstream, now: float) -> Reason | None:
        """Return why flows on an upstream are lost, None while they may live.

        Another process runs in its place, or clients' packets show that it
        answers nobody, or its entry has vanished and is not expected back, and
        one client misses it too.
        """
        health = upstream.health
        if upstream.is_replaced:
            return Reason.UPSTREAM_REPLACED
        if health.is_unresponsive(now):
            # Once its flows are ended nothing else would tell that it is
            # silent, and with no flow left it would seem the least loaded.
            health.eject(now)
            return Reason.UPSTREAM_DARK
        presence = self.upstreams.presence(upstream, now)
        if presence is Presence.GONE and health.unanswered_flows:
            return Reason.UPSTREAM_GONE
        silent = self.upstreams.stopped_renewing(upstream)
        if silent and health.keeps_waiting(now, upstream.limiter.recent):
            return Reason.UPSTREAM_GONE
        return None

    def pop_lost(self, now: float) -> Iterator[tuple[KnownUpstream, Reason]]:
        """Return once each the upstreams that the store told are lost.

        Clients may not send again for long, so their packets aren't waited for.
        """
        for ended in self.upstreams.take_ended():
            yield ended, Reason.UPSTREAM_REPLACED
        for lapsed in self.upstreams.take_lapsed():
            if lapsed.waiting and self.waits_in_vain(lapsed, now):
                yield lapsed, Reason.UPSTREAM_GONE

    def waits_in_vain(self, upstream: KnownUpstream, now: float) -> bool:
        """Return True when a client waits for longer than answers take.

        A node that is behind may have the answer's sign in its socket.
        """
        recent = upstream.limiter.recent
        if self.flows.is_backlogged or not recent or upstream.is_listed:
            return False
        longest = max(recent * LAPSED_ANSWERS, QUICK_SECONDS)
        return self.flows.waits_since(upstream, now - longest)
