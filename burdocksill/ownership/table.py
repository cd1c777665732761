"""Upstreams that this VM owns, reconciled with documents and members."""

import logging
import math
from collections.abc import Callable
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.cookie import name_tag
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.ownership.epochs import EpochTable
from burdocksill.ownership.handover import HandoverSender
from burdocksill.ownership.messages import HandoverRequest
from burdocksill.ownership.owned import OwnedUpstream, OwnershipState
from burdocksill.ownership.rendezvous import owner_of
from burdocksill.ownership.succession import SuccessorPolicy
from burdocksill.peers.sender import PeerSender
from burdocksill.requests.window import RequestWindow
from burdocksill.upstreams.messages import UpstreamHint

# Interval and timeout of the handover requests to the previous owner.
REQUEST_INTERVAL_SECONDS: Final = 0.2
TAKEOVER_SECONDS: Final = 3.0
MAINTENANCE_INTERVAL_SECONDS: Final = 1.0
# Longer than a partitioned VM needs to fence itself, measured from when other
# VMs consider it dead.
LOSS_QUIET_SECONDS: Final = 3.0

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class OwnedKey:
    """Identify an upstream by its service and the tag of its name."""

    service: str
    upstream_tag: bytes


@attrs.frozen(kw_only=True)
class OwnershipTarget:
    """Hold an upstream that this VM should own and its document."""

    document: ServiceDocument
    upstream: Upstream


def hash_key(service: str, upstream: str) -> str:
    """Return the key of an upstream for rendezvous hashing."""
    return f'{service}/{upstream}'


@attrs.define(kw_only=True)
class OwnerTable:
    """Acquire and release upstreams as documents and members change."""

    members: MemberView
    store: DocumentStore
    rng: Random
    nursery: trio.Nursery
    peers: PeerSender
    make_window: Callable[[], RequestWindow]
    successor_policy: SuccessorPolicy
    # Creates an owned upstream that does not serve yet.
    build: Callable[[ServiceDocument, Upstream], OwnedUpstream]
    owned: dict[OwnedKey, OwnedUpstream] = attrs.field(factory=dict)
    # Released upstreams still answer for their epochs, or relay the requests
    # to the successor.
    released: dict[OwnedKey, list[OwnedUpstream]] = attrs.field(factory=dict)
    senders: list[HandoverSender] = attrs.field(factory=list)
    # Epochs received from a previous owner before this VM acquired the
    # upstream.
    inherited: dict[OwnedKey, list[EpochTable]] = attrs.field(factory=dict)
    stopping: bool = False
    previous_live: set[bytes] = attrs.field(factory=set)
    last_loss_at: float = -math.inf

    def find(
        self,
        service: str,
        upstream_tag: bytes,
        epoch: bytes = b'',
    ) -> OwnedUpstream | None:
        """Return the upstream that holds an epoch, else the owned one."""
        key = OwnedKey(service=service, upstream_tag=upstream_tag)
        owned = self.owned.get(key)
        if owned is not None and owned.epochs.find(epoch) is not None:
            return owned
        for released in self.released.get(key, ()):
            if released.epochs.find(epoch) is not None:
                return released
        return owned

    async def run(self) -> None:
        """Reconcile on changes and drop expired state until cancelled."""
        self.members.subscribe(self.reconcile)
        self.store.listeners.append(self.reconcile)
        while True:
            self.reconcile()
            self.drop_expired()
            await trio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return the hints of all owned upstreams for gossip."""
        return tuple(
            owned.admission.hint(owned.upstream)
            for owned in self.owned.values()
        )

    def reconcile(self) -> None:
        """Acquire newly assigned upstreams and release all others."""
        if self.stopping:
            return
        self.detect_lost_members()
        assigned = self.assigned()
        for key in [
            owned_key for owned_key in self.owned if owned_key not in assigned
        ]:
            self.release(key)
        for key, target in assigned.items():
            current = self.owned.get(key)
            current_address = target.upstream.address
            if (
                current is not None
                and current.upstream.address != current_address
            ):
                self.release(key)
                current = None
            if current is None:
                self.acquire(key, target)
            else:
                current.document = target.document
                current.upstream = target.upstream

    def detect_lost_members(self) -> None:
        """Record when a member of the domain was lost without a leave."""
        domain = self.members.local_member.domain
        live = {member.tag for member in self.members.live(domain)}
        leaving = {member.tag for member in self.members.leaving(domain)}
        if self.previous_live - live - leaving:
            self.last_loss_at = trio.current_time()
        self.previous_live = live

    def start(self, owned: OwnedUpstream) -> None:
        """Serve an upstream, after a quiet period if a member was lost.

        The lost owner may only be partitioned. Until it has fenced itself it
        still sends requests, and both owners together could overload the
        upstream.
        """
        since = trio.current_time() - self.last_loss_at
        if since < LOSS_QUIET_SECONDS:
            owned.admission.limiter.start_cold(
                cause='takeover',
                silence_seconds=LOSS_QUIET_SECONDS - since,
            )
        owned.start()

    def assigned(self) -> dict[OwnedKey, OwnershipTarget]:
        """Return the upstreams that rendezvous hashing assigns to this VM."""
        local_member = self.members.local_member
        live = self.members.live(local_member.domain)
        found: dict[OwnedKey, OwnershipTarget] = {}
        if self.store.is_out(local_member.domain):
            return found
        for document in self.store.services.values():
            for upstream in document.upstreams:
                if upstream.domain != local_member.domain:
                    continue
                name = hash_key(document.service, upstream.name)
                owner = owner_of(live, name)
                if owner is not None and owner.tag == local_member.tag:
                    key = OwnedKey(
                        service=document.service,
                        upstream_tag=name_tag(upstream.name),
                    )
                    found[key] = OwnershipTarget(
                        document=document, upstream=upstream
                    )
        return found

    def acquire(self, key: OwnedKey, target: OwnershipTarget) -> None:
        """Acquire an upstream and start the takeover."""
        owned = self.build(target.document, target.upstream)
        self.owned[key] = owned
        self.nursery.start_soon(owned.run)
        self.nursery.start_soon(self.take_over, key, owned)

    async def take_over(self, key: OwnedKey, owned: OwnedUpstream) -> None:
        """Request the previous owner's epochs, then serve under a new one.

        A live previous owner stops dispatching when it receives the request,
        so that the upstream does not get the load of two owners. One that
        does not answer in time is considered lost: its epochs are closed, and
        their requests are reported as "may have run".
        """
        previous = self.previous_owner(owned)
        request = HandoverRequest(
            service=owned.document.service,
            upstream=owned.upstream.name,
        )
        with trio.move_on_after(TAKEOVER_SECONDS):
            while previous is not None and not owned.ready.is_set():
                self.peers.send(request, previous.peer_address)
                with trio.move_on_after(REQUEST_INTERVAL_SECONDS):
                    await owned.ready.wait()
        for table in self.inherited.pop(key, []):
            owned.epochs.inherit(table)
        if owned.state is OwnershipState.ACQUIRING:
            self.start(owned)
        logger.info(
            'owner of upstream',
            extra={
                'upstream': owned.upstream.name,
                'epochs': len(owned.epochs.tables),
            },
        )

    def previous_owner(self, owned: OwnedUpstream) -> Member | None:
        """Return the member that owns an upstream in the absence of this VM."""
        local_member = self.members.local_member
        others = [
            member
            for member in (
                *self.members.live(local_member.domain),
                *self.members.leaving(local_member.domain),
            )
            if member.tag != local_member.tag
        ]
        name = hash_key(owned.document.service, owned.upstream.name)
        return owner_of(others, name)

    def release(self, key: OwnedKey) -> None:
        """Hand an upstream over to its successor, or seal its epochs."""
        owned = self.owned.pop(key)
        self.released.setdefault(key, []).append(owned)
        if self.store.is_out(owned.upstream.domain):
            close_for_domain_out(owned)
            return
        successor = self.successor_of(owned)
        if successor is None:
            owned.retire()
            self.nursery.start_soon(self.close_when_idle, owned)
        else:
            self.nursery.start_soon(self.hand_over, owned, successor)

    def successor_of(self, owned: OwnedUpstream) -> Member | None:
        """Return the successor of this VM; None if the upstream was removed."""
        domain = owned.upstream.domain
        document = self.store.services.get(owned.document.service)
        current = document.upstream(owned.upstream.name) if document else None
        if current is None or current.address != owned.upstream.address:
            return None
        local_member = self.members.local_member
        others = [
            member
            for member in self.members.live(domain)
            if member.tag != local_member.tag
        ]
        name = hash_key(owned.document.service, current.name)
        return self.successor_policy.choose(others, name)

    async def hand_over(self, owned: OwnedUpstream, successor: Member) -> None:
        """Send the epochs to one successor; a second call does nothing."""
        if owned.successor is not None:
            return
        sender = HandoverSender(
            owned=owned,
            successor=successor,
            peers=self.peers,
            rng=self.rng,
        )
        self.senders.append(sender)
        await sender.run()
        self.senders.remove(sender)
        owned.scope.cancel()
        logger.info(
            'handed upstream over',
            extra={
                'upstream': owned.upstream.name,
                'heir': successor.name,
                'tenure': owned.state.value,
            },
        )

    async def close_when_idle(self, owned: OwnedUpstream) -> None:
        """Close a released upstream's connection after its last request."""
        await owned.in_flight.wait_idle()
        owned.scope.cancel()

    async def stop(self) -> None:
        """Hand over all upstreams and wait for requests in progress."""
        self.stopping = True
        async with trio.open_nursery() as nursery:
            for owned in self.owned.values():
                successor = self.successor_of(owned)
                if successor is None:
                    owned.retire()
                else:
                    nursery.start_soon(self.hand_over, owned, successor)
            for owned in self.all_upstreams():
                nursery.start_soon(owned.in_flight.wait_idle)

    def all_upstreams(self) -> list[OwnedUpstream]:
        """Return the owned and the released upstreams."""
        found = list(self.owned.values())
        for released in self.released.values():
            found.extend(released)
        return found

    def drop_expired(self) -> None:
        """Drop expired tokens and epochs, and upstreams without epochs."""
        now = trio.current_time()
        for owned in self.all_upstreams():
            owned.epochs.drop_expired(now)
            owned.reopen_epoch()
            owned.feeds.end_if_leaving()
        for key, tables in list(self.inherited.items()):
            self.inherited[key] = [
                table for table in tables if not table.is_expired(now)
            ]
        for key, released in list(self.released.items()):
            self.released[key] = [
                upstream for upstream in released if upstream.epochs.tables
            ]


def close_for_domain_out(owned: OwnedUpstream) -> None:
    """Stop dispatching and close the connection at once.

    Operators took the failure domain out of service. Requests in progress end
    with an accurate verdict instead of delaying the evacuation.
    """
    owned.domain_out = True
    owned.retire()
    owned.scope.cancel()
