"""Decide for each caller's datagram which VM serves it."""

import attrs
import trio

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.exceptions import BurdocksillError
from burdocksill.flows.cookie import Cookie, CookieSealer, name_tag
from burdocksill.flows.exceptions import CookieInvalidError
from burdocksill.flows.placement import Placer
from burdocksill.membership.protocols import MemberView
from burdocksill.network.protocols import Address, Datagram, DatagramSocket
from burdocksill.observe.counters import Counters
from burdocksill.observe.decisions import DecisionLog, Step
from burdocksill.ownership.table import OwnerTable
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import Opened
from burdocksill.peers.messages import RelayRequest
from burdocksill.requests.codec import decode_request, encode_answer
from burdocksill.requests.exceptions import (
    MalformedDatagramError,
    RequestFailedError,
)
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict


@attrs.define(kw_only=True)
class Router:
    """Serve what this VM owns, relay the rest, keep no state of flows."""

    members: MemberView
    store: DocumentStore
    sealer: CookieSealer
    placer: Placer
    owners: OwnerTable
    channel: PeerChannel
    socket: DatagramSocket
    counters: Counters
    decisions: DecisionLog
    nursery: trio.Nursery

    async def run(self) -> None:
        """Receive callers' datagrams until cancelled."""
        while True:
            for datagram in await self.socket.receive():
                self.take_datagram(datagram)

    def take_datagram(self, datagram: Datagram) -> None:
        """Read one datagram from a caller and route it."""
        self.counters.add('caller_datagrams')
        try:
            request = decode_request(datagram.payload)
        except MalformedDatagramError:
            self.counters.add('malformed_datagrams')
            return
        envelope = Envelope(
            request=request,
            caller=datagram.peer,
            hops=(self.members.itself.name,),
            raw=datagram.payload,
        )
        self.route(envelope)

    def take_relayed(self, opened: Opened, peer: Address) -> None:
        """Serve a request that another VM relayed because we own it."""
        message = opened.message
        if not isinstance(message, RelayRequest):
            return
        self.counters.add('relayed_in')
        try:
            request = decode_request(message.raw)
        except MalformedDatagramError:
            self.counters.add('malformed_datagrams')
            return
        envelope = Envelope(
            request=request,
            caller=Address(message.caller_host, message.caller_port),
            hops=(*message.hops, self.members.itself.name),
            raw=message.raw,
        )
        if message.upstream:
            self.open_flow(envelope, message.upstream)
        else:
            self.route(envelope)

    def route(self, envelope: Envelope) -> None:
        """Route a request; every failure is answered at once."""
        try:
            self.route_checked(envelope)
        except RequestFailedError as failure:
            self.refuse(envelope, failure)
        except BurdocksillError:
            self.counters.add('unroutable')

    def route_checked(self, envelope: Envelope) -> None:
        """Route a request by its cookie, or place it."""
        service = envelope.request.service
        document = self.store.services.get(service)
        if document is None:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.SERVICE_UNKNOWN,
                message=f'no service is named {service!r}',
            )
        if not envelope.request.cookie:
            self.place(envelope, document)
            return
        try:
            cookie = self.sealer.open(
                service=service,
                sealed=envelope.request.cookie,
            )
        except CookieInvalidError:
            self.counters.add('cookies_refused')
            self.place(envelope, document)
            return
        self.follow(envelope, cookie)

    def place(self, envelope: Envelope, document: ServiceDocument) -> None:
        """Choose an upstream for a new flow and go to its owner."""
        placement = self.placer.place(document)
        if placement is None:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NO_UPSTREAM,
            )
        self.decisions.routed(
            Step.PLACED,
            envelope.request,
            upstream=placement.upstream.name,
            peer=placement.owner.name,
        )
        if placement.owner == self.members.itself:
            self.open_flow(envelope, placement.upstream.name)
            return
        self.relay(
            envelope,
            placement.owner.peer_address,
            upstream=placement.upstream.name,
        )

    def follow(self, envelope: Envelope, cookie: Cookie) -> None:
        """Go to the owner that the cookie names."""
        if cookie.owner_tag != self.members.itself.tag:
            owner = self.members.find(cookie.owner_tag)
            if owner is None:
                raise RequestFailedError(
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=Reason.OWNER_LOST,
                )
            self.note_followed(envelope, cookie, owner.name)
            self.relay(envelope, owner.peer_address)
            return
        owned = self.owners.find(envelope.request.service, cookie.upstream_tag)
        if owned is None or owned.epoch != cookie.epoch:
            raise RequestFailedError(
                verdict=Verdict.MAY_HAVE_RUN,
                reason=Reason.EPOCH_CLOSED,
            )
        self.note_followed(envelope, cookie, self.members.itself.name)
        self.nursery.start_soon(owned.serve, envelope, cookie)

    def open_flow(self, envelope: Envelope, upstream: str) -> None:
        """Open a flow at an upstream that this VM owns."""
        owned = self.owners.find(envelope.request.service, name_tag(upstream))
        if owned is None:
            failure = RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.NO_UPSTREAM,
            )
            self.refuse(envelope, failure)
            return
        owned.open_flow(envelope)

    def relay(
        self,
        envelope: Envelope,
        peer: Address,
        *,
        upstream: str = '',
    ) -> None:
        """Pass a datagram on; its caller repeats it when it is lost."""
        self.counters.add('relayed_out')
        message = RelayRequest(
            raw=envelope.raw,
            caller_host=envelope.caller.host,
            caller_port=envelope.caller.port,
            hops=envelope.hops,
            upstream=upstream,
        )
        self.channel.send(message, peer)

    def note_followed(
        self,
        envelope: Envelope,
        cookie: Cookie,
        owner: str,
    ) -> None:
        """Keep to which VM a cookie led."""
        self.decisions.routed(
            Step.FOLLOWED,
            envelope.request,
            flow_id=cookie.flow_id,
            peer=owner,
        )

    def refuse(self, envelope: Envelope, failure: RequestFailedError) -> None:
        """Answer a request that this VM will not pass on, and say why."""
        answer = refusal(failure)
        # A caller can write any name of a service into a request; only names
        # with a document become labels, or a scan would fill the memory.
        service = envelope.request.service
        self.counters.add(
            'answers',
            service=service if service in self.store.services else '',
            upstream='',
            verdict=answer.verdict.value,
            reason=failure.reason.value,
        )
        self.reply(envelope, answer)

    def reply(self, envelope: Envelope, answer: Answer) -> None:
        """Send an answer straight to the caller."""
        self.decisions.answered(envelope, answer)
        encoded = encode_answer(envelope.request, answer)
        self.socket.send(encoded, envelope.caller)
