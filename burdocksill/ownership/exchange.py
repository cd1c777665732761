"""Handlers of handover messages for all upstreams of this VM."""

import attrs
import trio

from burdocksill.flows.cookie import name_tag
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.ownership.epochs import EpochTable
from burdocksill.ownership.handover import HandoverReceiver
from burdocksill.ownership.messages import (
    HandoverAck,
    HandoverNone,
    HandoverPart,
    HandoverRequest,
    HandoverSettled,
    HandoverSettledAck,
)
from burdocksill.ownership.owned import OwnedUpstream, OwnershipState
from burdocksill.ownership.table import OwnedKey, OwnerTable
from burdocksill.peers.envelope import VerifiedMessage
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import RequestKey


def owned_key(service: str, upstream: str) -> OwnedKey:
    """Return the owner table's key of an upstream."""
    return OwnedKey(service=service, upstream_tag=name_tag(upstream))


def running_keys(tables: tuple[EpochTable, ...]) -> list[bytes]:
    """Return the keys of requests in progress at the previous owner."""
    return [
        key
        for table in tables
        for key, entry in table.window.entries()
        if entry.answer is None
    ]


@attrs.define(kw_only=True)
class HandoverExchange:
    """Handle handover messages on behalf of the owner table."""

    table: OwnerTable
    receivers: dict[bytes, HandoverReceiver] = attrs.field(factory=dict)

    def handle_request(self, opened: VerifiedMessage, peer: Address) -> None:
        """Release an upstream to the member that requests the handover."""
        request = opened.message
        if not isinstance(request, HandoverRequest):
            return
        key = owned_key(request.service, request.upstream)
        owned = self.table.owned.get(key)
        successor = self.table.members.find(opened.sender_tag)
        if successor is None or self.is_handing_over(key, successor):
            return
        if owned is None:
            none = HandoverNone(
                service=request.service,
                upstream=request.upstream,
            )
            self.table.peers.send(none, peer)
        elif key not in self.table.assigned():
            self.table.release(key)
        # If both VMs consider themselves the owner, this one does not answer
        # until their membership views agree; the other repeats its request.

    def is_handing_over(self, key: OwnedKey, successor: Member) -> bool:
        """Return True while a transfer to the successor is in progress."""
        return any(
            sender.successor.tag == successor.tag
            and sender.owned.document.service == key.service
            and name_tag(sender.owned.upstream.name) == key.upstream_tag
            for sender in self.table.senders
        )

    def handle_none(self, opened: VerifiedMessage, peer: Address) -> None:
        """Serve at once, as the previous owner holds no epochs."""
        message = opened.message
        if not isinstance(message, HandoverNone):
            return
        owned = self.table.find(message.service, name_tag(message.upstream))
        if owned is not None and owned.state is OwnershipState.ACQUIRING:
            self.table.start(owned)

    def handle_part(self, opened: VerifiedMessage, peer: Address) -> None:
        """Add and acknowledge a part; the last one completes the transfer."""
        part = opened.message
        if not isinstance(part, HandoverPart):
            return
        receiver = self.receivers.get(part.transfer)
        if receiver is None:
            receiver = HandoverReceiver(make_window=self.table.make_window)
            self.receivers[part.transfer] = receiver
        tables = receiver.add_part(part)
        self.table.peers.send(
            HandoverAck(transfer=part.transfer, part=part.part),
            peer,
        )
        if tables is not None:
            self.inherit(part, tables)

    def inherit(
        self,
        part: HandoverPart,
        tables: tuple[EpochTable, ...],
    ) -> None:
        """Add the epochs of a transfer, also before this VM is the owner."""
        key = owned_key(part.service, part.upstream)
        owned = self.table.owned.get(key)
        if owned is None:
            self.table.inherited.setdefault(key, []).extend(tables)
            return
        for table in tables:
            owned.epochs.inherit(table)
        owned.admission.resume_from_handover(
            running=running_keys(tables),
            seconds=owned.document.deadline_seconds,
            limit=part.limit,
            instance=part.instance,
        )
        if owned.state is OwnershipState.ACQUIRING:
            self.table.start(owned)
        self.table.nursery.start_soon(self.settle_unanswered, owned, tables)

    async def settle_unanswered(
        self,
        owned: OwnedUpstream,
        tables: tuple[EpochTable, ...],
    ) -> None:
        """Settle inherited requests that got no answer in time as lost."""
        await trio.sleep(owned.document.deadline_seconds + 1)
        failure = RequestFailedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.OWNER_LOST,
        )
        now = trio.current_time()
        for table in tables:
            for key, entry in table.window.entries():
                if entry.runs_at_previous_owner and entry.answer is None:
                    table.window.settle(key, refusal(failure), now=now)

    def handle_ack(self, opened: VerifiedMessage, peer: Address) -> None:
        """Pass an acknowledgement to the sender of its transfer."""
        ack = opened.message
        if not isinstance(ack, HandoverAck):
            return
        for sender in self.table.senders:
            if sender.transfer == ack.transfer:
                sender.handle_ack(ack)

    def handle_settled(self, opened: VerifiedMessage, peer: Address) -> None:
        """Store the answer of a request that ran at the previous owner."""
        message = opened.message
        if not isinstance(message, HandoverSettled):
            return
        entry = message.entry
        owned = self.table.find(
            message.service,
            name_tag(message.upstream),
            entry.epoch,
        )
        table = owned.epochs.find(entry.epoch) if owned else None
        if table is None or entry.answer is None:
            return
        key = RequestKey(entry.key)
        if owned is not None:
            owned.admission.limiter.release_inherited(key)
        table.window.settle(key, entry.answer, now=trio.current_time())
        self.table.peers.send(
            HandoverSettledAck(epoch=entry.epoch, key=entry.key),
            peer,
        )

    def handle_settled_ack(
        self, opened: VerifiedMessage, peer: Address
    ) -> None:
        """Pass the acknowledgement of an answer to all senders."""
        ack = opened.message
        if not isinstance(ack, HandoverSettledAck):
            return
        for sender in self.table.senders:
            sender.handle_settled_ack(ack.key)
