"""Decide whether to forward, reset or drop each packet of a client."""

from __future__ import annotations

from collections import Counter

from burdocksill.packets.flows import (
    MIN_RETRANSMIT_SECONDS,
    FlowKey,
    FlowTable,
    TrackedFlow,
)
from burdocksill.packets.header import (
    TAG,
    Packet,
    build_reset,
    format_ipv4,
    read_packet,
    with_echo,
)
from burdocksill.packets.losses import LostUpstreamDetector
from burdocksill.packets.openings import PendingOpenings
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.probes import PendingProbes
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import (
    REGISTRATION_GRACE_SECONDS,
    KnownUpstream,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Drop, Forward, Reason, Reset, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.messages import Route
    from burdocksill.packets.protocols import DecisionLog, Freshness

# Highest age of the store cache at which an opening without a route or an
# upstream is reset instead of dropped. It is longer than one watch call, and
# shorter than the shortest time in which a new route must take effect.
MAX_CACHE_AGE_SECONDS: Final = 2.9
MAX_UNKNOWN_ECHOES: Final = 1024
MAX_CLIENTS: Final = 4096


class Forwarder:
    """Forward packets of open flows by their echo and place new flows.

    A reset is sent only when a flow is certainly lost or when no upstream may
    serve it. Missing information on this node is not a reason for a reset.
    """

    __slots__ = (
        'client_port',
        'flows',
        'freshness',
        'latest_openings',
        'log',
        'losses',
        'openings',
        'pending_resets',
        'placer',
        'probes',
        'refused_for_load',
        'table',
        'unknown_echoes',
        'upstreams',
    )

    def __init__(
        self,
        *,
        client_port: int,
        table: RoutingTable,
        upstreams: UpstreamRegistry,
        placer: PacketPlacer,
        freshness: Freshness,
        log: DecisionLog,
        flows: FlowTable,
    ) -> None:
        """Store the arguments and start without flows."""
        self.client_port = client_port
        self.table = table
        self.upstreams = upstreams
        self.placer = placer
        self.freshness = freshness
        self.log = log
        self.flows = flows
        # Resets to send for other flows of an upstream found to be lost.
        self.pending_resets: list[Reset] = []
        # Number of openings refused because of overload, by route priority.
        self.refused_for_load: Counter[int] = Counter()
        # Latest opening of each client, by client, address and port.
        self.latest_openings: dict[tuple[int, int, int], FlowKey] = {}
        self.openings: PendingOpenings = PendingOpenings()
        self.probes: PendingProbes = PendingProbes()
        self.losses: LostUpstreamDetector = LostUpstreamDetector(
            upstreams=upstreams, flows=flows
        )
        # Echoes that match no upstream, with the time of their first packet.
        self.unknown_echoes: dict[int, float] = {}

    def decide(self, payload: bytes, now: float) -> Verdict:
        """Return the verdict on a datagram that a client sent."""
        packet = read_packet(payload)
        if packet is None:
            return Drop(Reason.MALFORMED)
        if packet.is_syn:
            return self.open(packet, payload, now)
        return self.route_established(packet, payload, now)

    def open(self, packet: Packet, payload: bytes, now: float) -> Verdict:
        """Place a new flow, or a flow whose opening was not answered."""
        route = self.table.find((packet.address, packet.port))
        if route is None:
            return self.reject_without_route(packet)
        seen = self.flows.find(packet.flow)
        reason = Reason.OPENED
        if seen is None:
            exclude = self.find_refusing(packet, now)
        elif now - seen.last_seen_at < MIN_RETRANSMIT_SECONDS:
            # Upstreams use the last echo they receive, so copies carry it.
            copy = with_echo(payload, seen.upstream.echo)
            return self.forward(copy, seen.upstream, Reason.OPENED)
        elif packet.ack:
            exclude = self.exclude_unanswered(seen, packet.client, now)
            reason = Reason.OPENED_ELSEWHERE
        else:
            exclude = frozenset()
        chosen = self.placer.place(route, now, exclude)
        if chosen is Reason.OVERLOADED:
            return self.refuse_overloaded(packet, route)
        if isinstance(chosen, Reason):
            return self.reject_without_candidate(packet, now)
        flow = self.flows.start(packet.flow, chosen, now)
        self.openings.add(packet.flow, flow, now)
        self.log.decided(packet.flow, reason, chosen, packet.ack)
        return self.forward(with_echo(payload, chosen.echo), chosen, reason)

    def find_refusing(self, packet: Packet, now: float) -> frozenset[str]:
        """Return the upstream that probably refused this client's last flow.

        The host of a crashed process refuses connections within milliseconds.
        As the flows of that process end, it becomes the least loaded upstream.
        Without this exclusion it would also get the client's next attempts.
        """
        if len(self.latest_openings) >= MAX_CLIENTS:
            self.latest_openings.clear()
        client = (packet.client, packet.address, packet.port)
        before = self.latest_openings.get(client)
        self.latest_openings[client] = packet.flow
        seen = self.flows.find(before) if before else None
        if seen is None or seen.open:
            return frozenset()
        if seen.last_seen_at + MIN_RETRANSMIT_SECONDS > now:
            seen.upstream.health.record_refusal(now)
        return frozenset((seen.upstream.record.name,))

    def exclude_unanswered(
        self, seen: TrackedFlow, client: int, now: float
    ) -> frozenset[str]:
        """Record an unanswered opening and return its upstream's name."""
        upstream = seen.upstream
        if not self.flows.is_backlogged:
            upstream.health.record_missed(now, seen.last_seen_at)
            if self.flows.silence is not None:
                self.flows.silence.record_opening(
                    upstream, client, seen.last_seen_at, now
                )
        return frozenset((upstream.record.name,))

    def reset_lost_flows(self, now: float) -> None:
        """Reset the flows of upstreams that store updates showed to be lost."""
        for upstream, reason in self.losses.pop_lost(now):
            self.reset_all(upstream, reason)

    def expire_openings(self, now: float) -> int:
        """Record the openings that are overdue and return their number.

        Call this only when the socket is empty: the next packet of the flow
        may be waiting there.
        """
        count = 0
        for opening in self.openings.pop_overdue(now):
            flow = opening.flow
            if (
                self.flows.find(opening.key) is not flow
                or self.flows.is_backlogged
            ):
                continue
            upstream = flow.upstream
            if upstream.health.last_answer_at > flow.last_seen_at:
                continue
            # Routers may have sent the client's next packet to another node.
            if flow.last_seen_at < self.flows.rotated_at:
                continue
            upstream.health.record_missed(now, flow.last_seen_at)
            self.placer.outages.record_missed(upstream, now)
            self.log.decided(opening.key, Reason.OPENING_MISSED, upstream)
            count += 1
        return count

    def reject_without_route(self, packet: Packet) -> Verdict:
        """Reset or drop an opening for an address without a route."""
        if not self.table.version:
            return Drop(Reason.NOT_READY)
        return self.refuse(packet, Reason.NO_ROUTE)

    def reject_without_candidate(self, packet: Packet, now: float) -> Verdict:
        """Reset an opening if there is certainly no upstream, else drop it.

        Entries that expired during a store outage are registered again within
        two seconds after it. A node that starts in between reads an empty list.
        """
        if not self.is_registry_settled(now):
            return Drop(Reason.NO_UPSTREAM)
        return self.refuse(packet, Reason.NO_UPSTREAM)

    def is_registry_settled(self, now: float) -> bool:
        """Return True when all expired entries had time to be restored."""
        since = self.upstreams.store_healthy_since
        return since > 0 and now - since > REGISTRATION_GRACE_SECONDS

    def refuse_overloaded(self, packet: Packet, route: Route) -> Verdict:
        """Reset an opening that no upstream would answer in time.

        It was not sent to any upstream, so the request has certainly not run.
        """
        limiters = self.placer.limiters_of(route)
        self.log.overloaded(packet.flow, route, limiters, packet.ack)
        self.refused_for_load[route.priority] += 1
        return self.reset_packet(packet.flow, packet.ack, Reason.OVERLOADED)

    def refuse(self, packet: Packet, reason: Reason) -> Verdict:
        """Reset an opening if the store cache is recent, else drop it."""
        if self.freshness.age() > MAX_CACHE_AGE_SECONDS:
            return Drop(reason)
        return self.reset(packet, reason)

    def route_established(
        self, packet: Packet, payload: bytes, now: float
    ) -> Verdict:
        """Forward a packet of an open flow to the upstream of its echo."""
        if self.table.was_removed((packet.address, packet.port)):
            return self.reset(packet, Reason.ROUTE_REMOVED)
        upstream = self.upstreams.by_echo.get(packet.echo)
        if upstream is None:
            return self.reject_unknown_echo(packet, now)
        flow = self.flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            flow = self.flows.track_existing(packet, upstream, now)
        if not flow.open:
            self.openings.record_answer(flow, now)
        self.flows.observe(packet, flow, now)
        if upstream.health.last_answer_at == now:
            self.placer.outages.record_answered(upstream, now)
        lost = self.losses.loss_reason(upstream, now)
        if lost is not None:
            self.reset_others(packet.flow, upstream, lost)
            return self.reset(packet, lost, upstream)
        if upstream.health.is_flow_lost(packet.flow):
            upstream.health.eject(now)
            return self.reset(packet, Reason.FLOW_SILENT, upstream)
        verdict = self.forward(payload, upstream, Reason.FOLLOWED)
        if packet.length and flow.sent_at == now and not flow.retransmitted:
            self.probes.add(flow, verdict, now)
        return verdict

    def reject_unknown_echo(self, packet: Packet, now: float) -> Verdict:
        """Reset a flow whose upstream is certainly unknown, else drop.

        The upstream may be newer than the last read of the store, or its entry
        may have expired during a store outage. So the store must have answered
        for as long as an entry takes to be restored, and must have been read
        after the first packet with this echo. An entry that another writer has
        overwritten tells nothing about its upstream.
        """
        if len(self.unknown_echoes) >= MAX_UNKNOWN_ECHOES:
            self.unknown_echoes.clear()
        first_seen_at = self.unknown_echoes.setdefault(
            packet.echo, self.freshness.now()
        )
        if (
            self.is_registry_settled(now)
            and self.freshness.synced_at > first_seen_at
            and packet.echo not in self.upstreams.unreadable.values()
        ):
            return self.reset(packet, Reason.UNKNOWN_ECHO)
        return Drop(Reason.UNKNOWN_ECHO)

    def reset_others(
        self,
        sender: FlowKey,
        upstream: KnownUpstream,
        reason: Reason,
    ) -> None:
        """Reset all other flows of a lost upstream before their next request.

        A request on a lost flow fails, and a client does not retry one that is
        not idempotent. An idle client whose flow was reset opens a new flow.
        """
        self.reset_all(upstream, reason, excluded=sender)

    def reset_all(
        self,
        upstream: KnownUpstream,
        reason: Reason,
        excluded: FlowKey | None = None,
    ) -> None:
        """Reset the flows of an upstream, except the excluded one."""
        if not upstream.flows:
            return
        for key in self.flows.keys_on(upstream):
            if key != excluded:
                ack = self.flows.flows[key].ack
                self.pending_resets.append(
                    self.reset_flow(key, ack, reason, upstream)
                )

    def forward(
        self,
        payload: bytes,
        upstream: KnownUpstream,
        reason: Reason,
    ) -> Forward:
        """Prefix a packet with the tag of the upstream's process."""
        record = upstream.record
        return Forward(
            TAG.pack(record.tag) + payload,
            (record.host, record.port),
            reason,
        )

    def reset(
        self,
        packet: Packet,
        reason: Reason,
        upstream: KnownUpstream | None = None,
    ) -> Reset:
        """Reset the flow of a packet."""
        return self.reset_flow(packet.flow, packet.ack, reason, upstream)

    def reset_flow(
        self,
        key: FlowKey,
        ack: int,
        reason: Reason,
        upstream: KnownUpstream | None,
    ) -> Reset:
        """Reset a client's flow and log the reason."""
        self.log.decided(key, reason, upstream)
        return self.reset_packet(key, ack, reason)

    def reset_packet(self, key: FlowKey, ack: int, reason: Reason) -> Reset:
        """Stop tracking a flow and return its reset packet."""
        self.flows.end(key)
        target = (format_ipv4(key[0]), self.client_port)
        return Reset(build_reset(key, ack), target, reason)
