"""Carry owners' hints on heartbeats, a few at a time."""

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
OWN_PER_MESSAGE: Final = 3
COLD: Final = 1
LEAVING: Final = 2
LARGEST: Final = 65535
AGE_STEP_SECONDS: Final = 0.1
# An older hint says nothing that placement should still follow.
OLDEST_STEPS: Final = 30
KEPT: Final = 4096


@attrs.frozen(kw_only=True)
class HintKey:
    """Name the upstream of a hint by tags."""

    owner_tag: bytes
    service_tag: bytes
    upstream_tag: bytes


@attrs.frozen(kw_only=True)
class KeptHint:
    """Hold a hint of another owner and when that owner wrote it."""

    hint: UpstreamHint
    written_at: float


@attrs.define(kw_only=True)
class HintGossip:
    """Tell the own hints in turn and pass others' on while they are fresh."""

    members: MemberView
    store: DocumentStore
    clock: Callable[[], float]
    source: HintSource | None = None
    sink: HintSink | None = None
    kept: OrderedDict[HintKey, KeptHint] = attrs.field(factory=OrderedDict)
    turn: int = 0
    names: dict[bytes, str] = attrs.field(factory=dict)
    learned: dict[str, ServiceDocument] = attrs.field(factory=dict)
    stale: bool = True

    def __attrs_post_init__(self) -> None:
        """Notice when the documents change."""
        self.store.listeners.append(self.mark_stale)

    def mark_stale(self) -> None:
        """Learn names before the next hints are read."""
        self.stale = True

    def learn_names(self) -> None:
        """Map the tags of services and upstreams to their names.

        Only documents that changed are read: with a hundred thousand
        upstreams a walk through all of them takes a tenth of a second.
        """
        self.stale = False
        for service, document in self.store.services.items():
            if self.learned.get(service) is document:
                continue
            self.learned[service] = document
            self.names[name_tag(service)] = service
            for upstream in document.upstreams:
                self.names[name_tag(upstream.name)] = upstream.name

    def pack(self) -> bytes:
        """Return the hints of the next heartbeat."""
        now = self.clock()
        own = self.next_own()
        parts = [
            self.pack_one(self.members.local_member.tag, hint, 0)
            for hint in own
        ]
        for _ in range(min(HINTS_PER_MESSAGE - len(parts), len(self.kept))):
            key, kept = self.kept.popitem(last=False)
            steps = age_steps(now - kept.written_at)
            if steps < OLDEST_STEPS:
                self.kept[key] = kept
                parts.append(self.pack_one(key.owner_tag, kept.hint, steps))
        return b''.join(parts)

    def next_own(self) -> list[UpstreamHint]:
        """Return the next of our own hints, each in turn."""
        own = self.source.hints() if self.source else ()
        if not own:
            return []
        count = min(OWN_PER_MESSAGE, len(own))
        chosen = [own[(self.turn + step) % len(own)] for step in range(count)]
        self.turn = (self.turn + count) % len(own)
        return chosen

    def pack_one(self, owner: bytes, hint: UpstreamHint, steps: int) -> bytes:
        """Pack one hint."""
        flags = COLD * hint.cold + LEAVING * hint.leaving
        return HINT.pack(
            owner,
            name_tag(hint.service),
            name_tag(hint.upstream),
            steps,
            min(max(hint.free_slots, 0), LARGEST),
            min(hint.slots, LARGEST),
            min(hint.flows, LARGEST),
            flags,
        )

    def take(self, packed: bytes, sender: Member) -> None:
        """Read hints and hand the fresh ones to the sink."""
        now = self.clock()
        if self.stale:
            self.learn_names()
        whole = len(packed) // HINT.size * HINT.size
        for fields in HINT.iter_unpack(packed[:whole]):
            key = HintKey(
                owner_tag=fields[0],
                service_tag=fields[1],
                upstream_tag=fields[2],
            )
            hint = self.read_hint(key, *fields[4:])
            if hint is not None:
                self.keep(key, hint, now - fields[3] * AGE_STEP_SECONDS)

    def read_hint(
        self,
        key: HintKey,
        free: int,
        slots: int,
        flows: int,
        flags: int,
    ) -> UpstreamHint | None:
        """Read one hint, None when the documents do not name its upstream."""
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

    def keep(self, key: HintKey, hint: UpstreamHint, written_at: float) -> None:
        """Keep a hint that is newer than ours and tell the sink."""
        own = key.owner_tag == self.members.local_member.tag
        known = self.kept.get(key)
        if own or (known is not None and known.written_at >= written_at):
            return
        owner = self.members.find(key.owner_tag)
        if owner is None:
            return
        self.kept[key] = KeptHint(hint=hint, written_at=written_at)
        if len(self.kept) > KEPT:
            self.kept.popitem(last=False)
        if self.sink is not None:
            self.sink.store_hints(owner.name, (hint,))


def age_steps(seconds: float) -> int:
    """Return an age in steps, rounded up so that passing on never renews."""
    return min(OLDEST_STEPS, int(seconds / AGE_STEP_SECONDS) + 1)
