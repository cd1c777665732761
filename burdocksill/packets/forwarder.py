"""Decide what becomes of each packet of a client."""

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
    format_ipv4,
    read_packet,
    reset_of,
    with_echo,
)
from burdocksill.packets.losses import LostUpstreamDetector
from burdocksill.packets.openings import PendingOpenings
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import (
    ABSENT_SECONDS,
    KnownUpstream,
    UpstreamRegistry,
)
from burdocksill.packets.verdicts import Drop, Forward, Reason, Reset, Verdict

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.messages import Route
    from burdocksill.packets.protocols import DecisionLog, Freshness

# A node that knows the routes as of this time ago may say that there is none.
# It covers a whole wait for changes, and stays below the shortest time in which
# a new route must be in force.
FRESH_SECONDS: Final = 2.9
UNKNOWN_KEPT: Final = 1024
CLIENTS_KEPT: Final = 4096


class Forwarder:
    """Route packets by what they carry, and new flows by placement.

    A reset is sent only where it is certain that a flow is lost or that no
    upstream may serve it; what a node does not know proves nothing.
    """

    __slots__ = (
        'client_port',
        'due',
        'flows',
        'freshness',
        'latest',
        'log',
        'losses',
        'openings',
        'placer',
        'refused_for_load',
        'table',
        'unknown',
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
        """Take all fields."""
        self.client_port = client_port
        self.table = table
        self.upstreams = upstreams
        self.placer = placer
        self.freshness = freshness
        self.log = log
        self.flows = flows
        # Resets of other flows on an upstream that a packet showed to be lost.
        self.due: list[Reset] = []
        # Openings refused for load, by the priority of their routes.
        self.refused_for_load: Counter[int] = Counter()
        # The latest opening of each client towards each route.
        self.latest: dict[tuple[int, int, int], FlowKey] = {}
        self.openings: PendingOpenings = PendingOpenings()
        self.losses: LostUpstreamDetector = LostUpstreamDetector(
            upstreams=upstreams, flows=flows
        )
        # Echoes of no known upstream, with the time when they were first seen.
        self.unknown: dict[int, float] = {}

    def decide(self, payload: bytes, now: float) -> Verdict:
        """Return what to do with a datagram that a client sent."""
        packet = read_packet(payload)
        if packet is None:
            return Drop(Reason.MALFORMED)
        if packet.is_syn:
            return self.open(packet, payload, now)
        return self.carry_on(packet, payload, now)

    def open(self, packet: Packet, payload: bytes, now: float) -> Verdict:
        """Place a new flow, or a repeat of its opening somewhere else."""
        route = self.table.find((packet.address, packet.port))
        if route is None:
            return self.without_route(packet)
        seen = self.flows.find(packet.flow)
        reason = Reason.OPENED
        if seen is None:
            exclude = self.refused(packet, now)
        elif now - seen.last_seen_at < MIN_RETRANSMIT_SECONDS:
            # Upstreams take the last echo they see, so the double has it too.
            doubled = with_echo(payload, seen.upstream.echo)
            return self.forward(doubled, seen.upstream, Reason.OPENED)
        elif packet.ack:
            exclude = self.missed(seen, now)
            reason = Reason.OPENED_ELSEWHERE
        else:
            exclude = frozenset()
        chosen = self.placer.place(route, now, exclude)
        if chosen is Reason.OVERLOADED:
            return self.refuse_for_load(packet, route)
        if isinstance(chosen, Reason):
            return self.without_candidate(packet, now)
        flow = self.flows.start(packet.flow, chosen, now)
        self.openings.add(packet.flow, flow, now)
        self.log.decided(packet.flow, reason, chosen, packet.ack)
        return self.forward(with_echo(payload, chosen.echo), chosen, reason)

    def refused(self, packet: Packet, now: float) -> frozenset[str]:
        """Return the upstream that seems to have refused this client.

        A process that crashed refuses in a few milliseconds, and as its flows
        end it has the fewest: without this, clients' second and third tries
        would go to it as well.
        """
        if len(self.latest) >= CLIENTS_KEPT:
            self.latest.clear()
        client = (packet.client, packet.address, packet.port)
        before = self.latest.get(client)
        self.latest[client] = packet.flow
        seen = self.flows.find(before) if before else None
        if seen is None or seen.open:
            return frozenset()
        if seen.last_seen_at + MIN_RETRANSMIT_SECONDS > now:
            seen.upstream.health.record_refusal(now)
        return frozenset((seen.upstream.record.name,))

    def missed(self, seen: TrackedFlow, now: float) -> frozenset[str]:
        """Hold an unanswered opening against its upstream."""
        upstream = seen.upstream
        if not self.flows.is_backlogged:
            upstream.health.record_missed(now, seen.last_seen_at)
        return frozenset((upstream.record.name,))

    def end_lost(self, now: float) -> None:
        """End the flows on upstreams that the store told are lost."""
        for upstream, reason in self.losses.pop_lost(now):
            self.reset_all(upstream, reason)

    def expire_openings(self, now: float) -> int:
        """Draw conclusions from openings that nothing has followed; count them.

        To be called when no packet waits: the one that follows may be there.
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
            upstream.health.record_missed(now, flow.last_seen_at)
            self.placer.outages.record_missed(upstream, now)
            self.log.decided(opening.key, Reason.OPENING_MISSED, upstream)
            count += 1
        return count

    def without_route(self, packet: Packet) -> Verdict:
        """End or drop an opening for an address that has no route."""
        if not self.table.version:
            return Drop(Reason.NOT_READY)
        return self.refuse(packet, Reason.NO_ROUTE)

    def without_candidate(self, packet: Packet, now: float) -> Verdict:
        """Refuse an opening for want of an upstream, if that is certain.

        Entries that lapsed with the store are back two seconds after it; a
        node that starts meanwhile reads an empty list, which proves nothing.
        """
        if not self.is_stable(now):
            return Drop(Reason.NO_UPSTREAM)
        return self.refuse(packet, Reason.NO_UPSTREAM)

    def is_stable(self, now: float) -> bool:
        """Return True when every entry that lapsed would be back."""
        since = self.upstreams.store_healthy_since
        return since > 0 and now - since > ABSENT_SECONDS

    def refuse_for_load(self, packet: Packet, route: Route) -> Verdict:
        """Refuse an opening that no upstream would answer in time.

        It was sent to nobody, so that the refusal is a true one.
        """
        limiters = self.placer.limiters_of(route)
        self.log.overloaded(packet.flow, route, limiters, packet.ack)
        self.refused_for_load[route.priority] += 1
        return self.reset_packet(packet.flow, packet.ack, Reason.OVERLOADED)

    def refuse(self, packet: Packet, reason: Reason) -> Verdict:
        """Refuse an opening at once if what says so is fresh."""
        if self.freshness.age() > FRESH_SECONDS:
            return Drop(reason)
        return self.reset(packet, reason)

    def carry_on(self, packet: Packet, payload: bytes, now: float) -> Verdict:
        """Send a packet of an open flow to the upstream that it names."""
        if self.table.was_removed((packet.address, packet.port)):
            return self.reset(packet, Reason.ROUTE_REMOVED)
        upstream = self.upstreams.by_echo.get(packet.echo)
        if upstream is None:
            return self.without_upstream(packet, now)
        flow = self.flows.find(packet.flow)
        if flow is None or flow.upstream is not upstream:
            flow = self.flows.join(packet, upstream, now)
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
        return self.forward(payload, upstream, Reason.FOLLOWED)

    def without_upstream(self, packet: Packet, now: float) -> Verdict:
        """End a flow whose upstream has no entry, once that is certain.

        The upstream may be newer than what this node has read, or its entry
        may have lapsed with the store: so the store must have been read for
        as long as an entry needs to come back, and read again since the
        flow's upstream was first missed.
        """
        if len(self.unknown) >= UNKNOWN_KEPT:
            self.unknown.clear()
        missed_at = self.unknown.setdefault(packet.echo, self.freshness.now())
        if self.is_stable(now) and self.freshness.synced_at > missed_at:
            return self.reset(packet, Reason.UNKNOWN_ECHO)
        return Drop(Reason.UNKNOWN_ECHO)

    def reset_others(
        self,
        sender: FlowKey,
        upstream: KnownUpstream,
        reason: Reason,
    ) -> None:
        """End all other flows on a lost upstream before their next request.

        A request that is sent on a lost flow fails, and one that is not
        idempotent isn't tried again; an idle client opens a new flow for it.
        """
        self.reset_all(upstream, reason, spared=sender)

    def reset_all(
        self,
        upstream: KnownUpstream,
        reason: Reason,
        spared: FlowKey | None = None,
    ) -> None:
        """End the flows on an upstream but one."""
        if not upstream.flows:
            return
        for key in self.flows.keys_on(upstream):
            if key != spared:
                ack = self.flows.flows[key].ack
                self.due.append(self.reset_flow(key, ack, reason, upstream))

    def forward(
        self,
        payload: bytes,
        upstream: KnownUpstream,
        reason: Reason,
    ) -> Forward:
        """Mark a packet for one upstream process."""
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
        """End the flow of a packet."""
        return self.reset_flow(packet.flow, packet.ack, reason, upstream)

    def reset_flow(
        self,
        key: FlowKey,
        ack: int,
        reason: Reason,
        upstream: KnownUpstream | None,
    ) -> Reset:
        """End a client's flow, and write down why."""
        self.log.decided(key, reason, upstream)
        return self.reset_packet(key, ack, reason)

    def reset_packet(self, key: FlowKey, ack: int, reason: Reason) -> Reset:
        """Forget a flow and return the packet that ends it."""
        self.flows.end(key)
        target = (format_ipv4(key[0]), self.client_port)
        return Reset(reset_of(key, ack), target, reason)
