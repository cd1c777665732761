"""Routing of callers' datagrams to the VM that serves them."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.domains import MAX_PLACEMENT_HOPS, DomainEvacuation
from burdocksill.entry.error_handling import RequestErrorHandler
from burdocksill.entry.refusals import RefusalSender
from burdocksill.entry.rerouting import DelayedRerouting
from burdocksill.exceptions import BurdocksillError
from burdocksill.flows.cookie import (
    Cookie,
    CookieAge,
    CookieSealer,
    address_tag,
    name_tag,
)
from burdocksill.flows.exceptions import CookieInvalidError
from burdocksill.flows.placement import (
    NO_EXCLUSIONS,
    NO_LOAD_LIMIT,
    Placement,
    Placer,
)
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.network.protocols import (
    Address,
    Datagram,
    DatagramSocket,
    WallClock,
)
from burdocksill.observe.counters import Counters
from burdocksill.observe.decisions import DecisionLog
from burdocksill.observe.tracing import Tracing, current_traceparent
from burdocksill.ownership.table import OwnerTable
from burdocksill.ownership.unknown_epochs import UnknownEpochPolicy
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import VerifiedMessage
from burdocksill.peers.messages import RelayRequest
from burdocksill.requests.blocks import Transfers, asks_later_block
from burdocksill.requests.codec import (
    decode_request,
    encode_answer,
    encode_minimal_answer,
)
from burdocksill.requests.exceptions import (
    MalformedDatagramError,
    RequestFailedError,
    UnsupportedRequestError,
)
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.verdict import Reason, Verdict

# Limit of RFC 7252, section 11.3, for answers to unverified addresses.
MAX_AMPLIFICATION: Final = 3


@attrs.define(kw_only=True)
class Router:
    """Serve requests of owned upstreams and relay others."""

    members: MemberView
    store: DocumentStore
    sealer: CookieSealer
    placer: Placer
    owners: OwnerTable
    channel: PeerChannel
    socket: DatagramSocket
    clock: WallClock
    unknown_epoch_policy: UnknownEpochPolicy
    # Block-wise transfers of all upstreams owned by this VM.
    transfers: Transfers
    counters: Counters
    nursery: trio.Nursery
    delayed_rerouting: DelayedRerouting = attrs.field(factory=DelayedRerouting)
    trace_ratio: float = 0
    decisions: DecisionLog = attrs.Factory(
        lambda router: DecisionLog(clock=router.clock),
        takes_self=True,
    )
    tracing: Tracing = attrs.Factory(
        lambda router: Tracing(
            node=router.members.local_member.name,
            ratio=router.trace_ratio,
        ),
        takes_self=True,
    )
    evacuation: DomainEvacuation = attrs.field(init=False)
    error_handler: RequestErrorHandler = attrs.field(init=False)
    refusal_sender: RefusalSender = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the helpers that use this router."""
        self.refusal_sender = RefusalSender(
            store=self.store,
            socket=self.socket,
            counters=self.counters,
            reply=self.reply,
        )
        self.error_handler = RequestErrorHandler(
            counters=self.counters,
            reply=self.reply,
        )
        self.evacuation = DomainEvacuation(
            store=self.store,
            placer=self.placer,
            unknown_epoch_policy=self.unknown_epoch_policy,
            place=self.place,
            count=self.counters.add,
        )

    async def run(self) -> None:
        """Receive callers' datagrams until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.handle_datagram(datagram)

    def handle_datagram(self, datagram: Datagram) -> None:
        """Decode and route one datagram of a caller."""
        self.counters.add('caller_datagrams')
        try:
            request = decode_request(datagram.payload)
        except (MalformedDatagramError, UnsupportedRequestError) as error:
            self.refusal_sender.refuse_datagram(datagram, error)
            return
        envelope = Envelope(
            request=request,
            caller=datagram.peer,
            hops=(self.members.local_member.name,),
            raw=datagram.payload,
        )
        with self.tracing.first_hop('entry'):
            self.route(envelope)

    def handle_relayed(self, opened: VerifiedMessage, peer: Address) -> None:
        """Serve or route a request that another VM relayed."""
        message = opened.message
        if not isinstance(message, RelayRequest):
            return
        self.counters.add('relayed_in')
        try:
            request = decode_request(message.raw)
        except (MalformedDatagramError, UnsupportedRequestError):
            self.counters.add('malformed_datagrams')
            return
        envelope = Envelope(
            request=request,
            caller=Address(message.caller_host, message.caller_port),
            hops=(*message.hops, self.members.local_member.name),
            raw=message.raw,
            refused=message.refused,
        )
        with self.tracing.next_hop('relayed', message.traceparent):
            if message.upstream:
                self.accept_flow(envelope, message.upstream)
            else:
                self.route(envelope)

    def route(self, envelope: Envelope) -> None:
        """Route a request and answer at once if that fails."""
        try:
            self.route_or_raise(envelope)
        except RequestFailedError as failure:
            self.refusal_sender.refuse(envelope, failure)
        except BurdocksillError:
            self.counters.add('unroutable')

    def route_or_raise(self, envelope: Envelope) -> None:
        """Route a request by its cookie, or place a new flow."""
        service = envelope.request.service
        document = self.store.services.get(service)
        if document is None:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.SERVICE_UNKNOWN,
                message=f'no service is named {service!r}',
            )
        cookie = self.open_cookie(envelope)
        if cookie is None:
            self.place(envelope, document)
        else:
            self.route_by_cookie(mark_verified(envelope, cookie), cookie)

    def place(
        self,
        envelope: Envelope,
        document: ServiceDocument,
        *,
        exclude: frozenset[str] = NO_EXCLUSIONS,
    ) -> None:
        """Choose an upstream for a new flow and forward it to the owner."""
        placement = self.placer.place(document, exclude=exclude)
        if placement is None:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NO_UPSTREAM,
            )
        self.forward_to_owner(envelope, placement)

    def forward_to_owner(
        self, envelope: Envelope, placement: Placement
    ) -> None:
        """Open a flow at the owner of the chosen upstream."""
        self.decisions.placed(
            envelope,
            placement.upstream.name,
            placement.owner,
        )
        if placement.owner.tag == self.members.local_member.tag:
            self.accept_flow(envelope, placement.upstream.name)
            return
        self.relay(
            envelope,
            placement.owner.peer_address,
            upstream=placement.upstream.name,
        )

    def reroute(
        self,
        envelope: Envelope,
        upstream: str,
        max_load: float = NO_LOAD_LIMIT,
    ) -> bool:
        """Open a flow at another upstream; return False if there is none.

        The hops name the upstreams that were tried. Their number is limited,
        so that the search ends when every owner reroutes the flow.
        """
        document = self.store.services.get(envelope.request.service)
        if document is None or len(envelope.hops) >= MAX_PLACEMENT_HOPS:
            return False
        hops = (*envelope.hops, upstream)
        placement = self.placer.place(
            document,
            exclude=frozenset(hops),
            max_load=max_load,
        )
        if placement is None:
            return False
        moved = attrs.evolve(envelope, hops=hops, refused=True)
        self.forward_to_owner(moved, placement)
        return True

    def route_by_cookie(self, envelope: Envelope, cookie: Cookie) -> None:
        """Route a request to the VM that holds its cookie's epoch, if known."""
        service = envelope.request.service
        local_upstream = self.owners.find(
            service, cookie.upstream_tag, cookie.epoch
        )
        holder = self.members.find(cookie.owner_tag)
        reachable = holder is not None and self.evacuation.can_relay(
            holder, envelope
        )
        # After a handover the successor holds the epoch, but the VM named in
        # the cookie still stores the answers whose blocks are being fetched.
        stores_answer = reachable and asks_later_block(envelope.request)
        holds_epoch = (
            local_upstream is not None
            and local_upstream.epochs.find(cookie.epoch) is not None
        )
        if local_upstream is not None and holds_epoch and not stores_answer:
            self.decisions.followed(envelope, cookie, self.members.local_member)
            self.start_task(envelope, local_upstream.serve, envelope, cookie)
            return
        if self.evacuation.is_evacuated(service, cookie):
            self.evacuation.place_evacuated(envelope)
            return
        if holder is not None and reachable:
            self.decisions.followed(envelope, cookie, holder)
            self.relay(envelope, holder.peer_address)
            return
        self.route_to_current_owner(envelope, cookie)

    def start_task(
        self,
        envelope: Envelope,
        task: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Start a task for a request; its errors end only that request."""
        self.nursery.start_soon(
            self.error_handler.run,
            envelope,
            partial(task, *arguments),
        )

    def route_to_current_owner(
        self, envelope: Envelope, cookie: Cookie
    ) -> None:
        """Route a request to the upstream's current owner."""
        document = self.store.services[envelope.request.service]
        upstream = document.upstream_by_tag(cookie.upstream_tag)
        owner = self.placer.owner(document.service, upstream)
        if owner is not None and owner.tag == self.members.local_member.tag:
            owned = self.owners.find(document.service, cookie.upstream_tag)
            if owned is not None:
                self.decisions.followed(envelope, cookie, owner)
                self.start_task(envelope, owned.serve, envelope, cookie)
                return
        elif owner is not None and self.evacuation.can_relay(owner, envelope):
            self.decisions.followed(envelope, cookie, owner)
            self.relay(envelope, owner.peer_address)
            return
        elif owner is not None and self.delayed_rerouting.is_allowed(envelope):
            self.counters.add('detours')
            self.start_task(
                envelope,
                self.delayed_rerouting.route_later,
                envelope,
                self.route,
            )
            return
        self.place_after_owner_loss(envelope, cookie, document)

    def place_after_owner_loss(
        self,
        envelope: Envelope,
        cookie: Cookie,
        document: ServiceDocument,
    ) -> None:
        """Place a flow again if its upstream has no owner any more.

        The VM that held its epoch may have run the request, so the policy
        decides whether it may run at another upstream.
        """
        forgotten = cookie.age(self.clock.now()) is CookieAge.FORGOTTEN
        if forgotten:
            self.place(envelope, document)
            return
        placed = self.placer.place(document) is not None
        if placed and self.unknown_epoch_policy.may_run(envelope.request):
            self.place(envelope, document)
            return
        raise RequestFailedError(
            verdict=self.unknown_epoch_policy.verdict(),
            reason=Reason.OWNER_LOST,
            message='the owner that knew this request is gone',
        )

    def accept_flow(self, envelope: Envelope, upstream: str) -> None:
        """Accept a flow placed on an upstream of this VM."""
        service = envelope.request.service
        owned = self.owners.find(service, name_tag(upstream))
        cookie = None if envelope.refused else self.open_cookie(envelope)
        if owned is None:
            self.relay_to_owner(envelope, upstream, cookie)
            return
        if cookie is None and owned.ready.is_set():
            owned.open_flow(envelope)
        else:
            reason = self.evacuation.reason(service, cookie)
            checked = mark_verified(envelope, cookie)
            self.start_task(
                envelope, owned.accept_flow, checked, cookie, reason
            )

    def relay_to_owner(
        self,
        envelope: Envelope,
        upstream: str,
        cookie: Cookie | None,
    ) -> None:
        """Relay a flow whose sender mistook this VM for the owner.

        The views of the members differ for a moment after a join or leave.
        """
        document = self.store.services.get(envelope.request.service)
        target = document.upstream(upstream) if document else None
        owner = self.placer.owner(envelope.request.service, target)
        if owner is not None and self.evacuation.can_relay(
            owner,
            envelope,
            MAX_PLACEMENT_HOPS,
        ):
            self.relay(envelope, owner.peer_address, upstream=upstream)
            return
        try:
            self.evacuation.place_at_another(envelope, upstream, cookie)
        except RequestFailedError as failure:
            self.refusal_sender.refuse(envelope, failure)

    def open_cookie(self, envelope: Envelope) -> Cookie | None:
        """Return a request's cookie, None if it has no valid one."""
        if not envelope.request.cookie:
            return None
        try:
            return self.sealer.open(
                service=envelope.request.service,
                sealed=envelope.request.cookie,
            )
        except CookieInvalidError:
            self.counters.add('cookies_refused')
            return None

    def reachable(self, member: Member) -> bool:
        """Return True if packets can be relayed to a member."""
        is_member = self.members.find(member.tag) is not None
        return is_member and not self.store.is_out(member.domain)

    def relay(
        self,
        envelope: Envelope,
        peer: Address,
        *,
        upstream: str = '',
    ) -> None:
        """Relay a datagram; its caller retransmits it if it is lost."""
        self.counters.add('relayed_out')
        message = RelayRequest(
            raw=envelope.raw,
            caller_host=envelope.caller.host,
            caller_port=envelope.caller.port,
            hops=envelope.hops,
            upstream=upstream,
            refused=envelope.refused,
            traceparent=current_traceparent(),
        )
        self.channel.send(message, peer)

    def reply(self, envelope: Envelope, answer: Answer) -> None:
        """Send an answer directly to the caller.

        The source address of a datagram can be spoofed. Until a cookie has
        come back from an address, an answer has at most 3 times the size of
        its request (RFC 7252, section 11.3), to prevent amplification attacks.
        """
        self.decisions.answered(envelope, answer)
        encoded = encode_answer(envelope.request, answer)
        max_bytes = MAX_AMPLIFICATION * len(envelope.raw)
        if not envelope.verified and len(encoded) > max_bytes:
            self.counters.add('answers_shortened')
            encoded = encode_minimal_answer(envelope.request, answer)
            if len(encoded) > max_bytes:
                self.counters.add('answers_withheld')
                return
        self.socket.send(encoded, envelope.caller)


def mark_verified(envelope: Envelope, cookie: Cookie | None) -> Envelope:
    """Mark a request as verified if its cookie was issued to its address."""
    if cookie is None or cookie.address_tag != address_tag(envelope.caller):
        return envelope
    return attrs.evolve(envelope, verified=True)
