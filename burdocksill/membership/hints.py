"""Piggyback owners' hints on heartbeats, a few at a time."""

import struct
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import attrs

from burdocksill.documents.models import ServiceDocument
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.cookie import TAG_BYTES, name_tag
from burdocksill.membership.protocols import Member, MemberView
from burdocksill.upstreams.messages import UpstreamHint
from burdocksill.upstreams.protocols import HintSink, HintSource

# owner tag, service tag, upstream tag, age in tenths, free, slots, flows,
# flags.
HINT: Final = struct.Struct(f'>{TAG_BYTES}s{TAG_BYTES}s{TAG_BYTES}sBHHHB')
HINTS_PER_MESSAGE: Final = 5
LOCAL_HINTS_PER_MESSAGE: Final = 3
COLD: Final = 1
LEAVING: Final = 2
MAX_UINT16: Final = 65535
AGE_STEP_SECONDS: Final = 0.1
# Older hints are too old to be used by placement.
MAX_AGE_STEPS: Final = 30
MAX_STORED_HINTS: Final = 4096


@attrs.frozen(kw_only=True)
class HintKey:
    """Identify the owner and upstream of a hint by tags."""

    owner_tag: bytes
    service_tag: bytes
    upstream_tag: bytes


@attrs.frozen(kw_only=True)
class StoredHint:
    """Hold a hint of another owner and the time of its creation."""

    hint: UpstreamHint
    created_at: float


@attrs.define(kw_only=True)
class HintGossip:
    """Send local hints in turn, and forward others until they expire."""

    members: MemberView
    store: DocumentStore
    clock: Callable[[], float]
    source: HintSource | None = None
    sink: HintSink | None = None
    stored: OrderedDict[HintKey, StoredHint] = attrs.field(factory=OrderedDict)
    next_index: int = 0
    names: dict[bytes, str] = attrs.field(factory=dict)
    mapped_documents: dict[str, ServiceDocument] = attrs.field(factory=dict)
    names_outdated: bool = True

    def __attrs_post_init__(self) -> None:
        """Listen for changes of documents."""
        self.store.listeners.append(self.mark_names_outdated)

    def mark_names_outdated(self) -> None:
        """Update the names before the next hints are decoded."""
        self.names_outdated = True

    def map_names(self) -> None:
        """Map the tags of services and upstreams to their names.

        Only changed documents are read: iterating over a hundred thousand
        upstreams takes a tenth of a second.
        """
        self.names_outdated = False
        for service, document in self.store.services.items():
            if self.mapped_documents.get(service) is document:
                continue
            self.mapped_documents[service] = document
            self.names[name_tag(service)] = service
            for upstream in document.upstreams:
                self.names[name_tag(upstream.name)] = upstream.name

    def pack(self) -> bytes:
        """Encode the hints of the next heartbeat."""
        now = self.clock()
        own = self.next_local_hints()
        parts = [
            self.encode_hint(self.members.local_member.tag, hint, 0)
            for hint in own
        ]
        for _ in range(min(HINTS_PER_MESSAGE - len(parts), len(self.stored))):
            key, stored = self.stored.popitem(last=False)
            steps = age_steps(now - stored.created_at)
            if steps < MAX_AGE_STEPS:
                self.stored[key] = stored
                parts.append(
                    self.encode_hint(key.owner_tag, stored.hint, steps)
                )
        return b''.join(parts)

    def next_local_hints(self) -> list[UpstreamHint]:
        """Return the next local hints, each in turn."""
        own = self.source.hints() if self.source else ()
        if not own:
            return []
        count = min(LOCAL_HINTS_PER_MESSAGE, len(own))
        chosen = [
            own[(self.next_index + step) % len(own)] for step in range(count)
        ]
        self.next_index = (self.next_index + count) % len(own)
        return chosen

    def encode_hint(
        self, owner: bytes, hint: UpstreamHint, steps: int
    ) -> bytes:
        """Encode one hint."""
        flags = COLD * hint.cold + LEAVING * hint.leaving
        return HINT.pack(
            owner,
            name_tag(hint.service),
            name_tag(hint.upstream),
            steps,
            min(max(hint.free_slots, 0), MAX_UINT16),
            min(hint.slots, MAX_UINT16),
            min(hint.flows, MAX_UINT16),
            flags,
        )

    def take(self, packed: bytes, sender: Member) -> None:
        """Decode hints and pass new ones to the sink."""
        now = self.clock()
        if self.names_outdated:
            self.map_names()
        whole = len(packed) // HINT.size * HINT.size
        for fields in HINT.iter_unpack(packed[:whole]):
            key = HintKey(
                owner_tag=fields[0],
                service_tag=fields[1],
                upstream_tag=fields[2],
            )
            hint = self.make_hint(key, *fields[4:])
            if hint is not None:
                self.keep(key, hint, now - fields[3] * AGE_STEP_SECONDS)

    def make_hint(
        self,
        key: HintKey,
        free: int,
        slots: int,
        flows: int,
        flags: int,
    ) -> UpstreamHint | None:
        """Return a hint, None if no document contains its upstream."""
        service = self.names.get(key.service_tag)
        upstream = self.names.get(key.upstream_tag)
        if service is None or upstream is None:
            return None
        return UpstreamHint(
            service=service,
            upstream=upstream,
            free_slots=free,
            slots=slots,
            cold=bool(flags & COLD),
            leaving=bool(flags & LEAVING),
            flows=flows,
        )

    def keep(self, key: HintKey, hint: UpstreamHint, created_at: float) -> None:
        """Store a hint that is newer than the stored one; notify the sink."""
        own = key.owner_tag == self.members.local_member.tag
        known = self.stored.get(key)
        if own or (known is not None and known.created_at >= created_at):
            return
        owner = self.members.find(key.owner_tag)
        if owner is None:
            return
        self.stored[key] = StoredHint(hint=hint, created_at=created_at)
        if len(self.stored) > MAX_STORED_HINTS:
            self.stored.popitem(last=False)
        if self.sink is not None:
            self.sink.store_hints(owner.name, (hint,))


def age_steps(seconds: float) -> int:
    """Return an age in steps, rounded up so that forwarding never renews it."""
    return min(MAX_AGE_STEPS, int(seconds / AGE_STEP_SECONDS) + 1)
