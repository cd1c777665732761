"""Carry records from VM to VM: a digest on heartbeats, then a pull."""

import itertools
import math
import zlib
from typing import Final

import attrs
import trio

from burdocksill.documents.digest import Digest, digest_of, unpack_digest
from burdocksill.documents.models import Versioned
from burdocksill.documents.store import DocumentStore
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.observe.counters import Counters
from burdocksill.peers.channel import PeerChannel
from burdocksill.peers.envelope import VerifiedMessage
from burdocksill.peers.messages import RecordChunk, RecordPull

# A piece fits into one packet of any usual link.
PIECE_BYTES: Final = 1100
PIECES_PER_PULL: Final = 16
# A value has at most a megabyte; a decompressed one may not grow beyond.
LARGEST_RECORD_BYTES: Final = 1024 * 1024
# After this silence the rest of a pull counts as lost.
PULL_SECONDS: Final = 0.3


@attrs.define(kw_only=True)
class PartialRecord:
    """Collect the pieces of one record."""

    key: str
    revision: int
    pieces: dict[int, bytes] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class RecordGossip:
    """Pull the records that a peer has and we lack, in revision order.

    `cursor` is the revision up to which we hold all that our peers hold. It
    passes a record only when that arrived, so that a lost one is asked for
    again although later ones have come.
    """

    store: DocumentStore
    counters: Counters
    channel: PeerChannel | None = None
    cursor: int = 0
    pulled_at: float = -math.inf
    partial: PartialRecord | None = None
    digest: Digest = attrs.field(factory=Digest)
    stale: bool = True
    # Set once a peer's digest was the same as ours.
    in_sync: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Notice when the records change."""
        self.store.listeners.append(self.mark_stale)

    def mark_stale(self) -> None:
        """Compute the digest anew when it is next asked for.

        A snapshot of thousands of records comes as one change for each.
        """
        self.stale = True

    def current(self) -> Digest:
        """Return the digest of the records held now."""
        if self.stale:
            self.digest = digest_of(self.store.records.values())
            self.stale = False
        return self.digest

    def attach(self, channel: PeerChannel) -> None:
        """Take pulls and chunks from the channel."""
        self.channel = channel
        channel.handlers[RecordPull] = self.take_pull
        channel.handlers[RecordChunk] = self.take_chunk

    def pack(self) -> bytes:
        """Return the digest for the next heartbeat."""
        return self.current().pack()

    def take(self, packed: bytes, sender: Member) -> None:
        """Pull from a member that holds what we lack."""
        theirs = unpack_digest(packed)
        ours = self.current()
        if theirs is None or theirs.highest < ours.highest:
            return
        if theirs == ours:
            self.cursor = theirs.highest
            # Two VMs that both know nothing yet do not confirm each other.
            if theirs.highest:
                self.in_sync.set()
            return
        if trio.current_time() - self.pulled_at < PULL_SECONDS:
            return
        if self.cursor >= theirs.highest:
            # Same highest revision and yet a difference: something earlier
            # is missing here or there, so walk through all records once.
            self.cursor = 0
        self.pull(sender.peer_address)

    def pull(self, peer: Address) -> None:
        """Ask for what comes after the cursor."""
        self.pulled_at = trio.current_time()
        self.partial = None
        self.counters.add('records_pulled')
        if self.channel is not None:
            self.channel.send(RecordPull(after=self.cursor), peer)

    def take_pull(self, opened: VerifiedMessage, peer: Address) -> None:
        """Send the next records in revision order, a bounded number."""
        message = opened.message
        if not isinstance(message, RecordPull):
            return
        later = sorted(
            (
                record
                for record in self.store.records.values()
                if record.revision > message.after
            ),
            key=lambda record: record.revision,
        )
        previous = message.after
        sent = 0
        for number, record in enumerate(later, start=1):
            pieces = split(zlib.compress(record.value))
            sent += len(pieces)
            more = number < len(later) and sent >= PIECES_PER_PULL
            self.send_pieces(record, pieces, previous, peer, more=more)
            previous = record.revision
            if more:
                return

    def send_pieces(
        self,
        record: Versioned,
        pieces: list[bytes],
        previous: int,
        peer: Address,
        *,
        more: bool,
    ) -> None:
        """Send one record."""
        if self.channel is None:
            return
        for index, piece in enumerate(pieces):
            chunk = RecordChunk(
                key=record.key,
                revision=record.revision,
                previous=previous,
                index=index,
                count=len(pieces),
                piece=piece,
                more=more,
            )
            self.channel.send(chunk, peer)

    def take_chunk(self, opened: VerifiedMessage, peer: Address) -> None:
        """Put a record into force when its last piece has come."""
        chunk = opened.message
        if not isinstance(chunk, RecordChunk):
            return
        self.pulled_at = trio.current_time()
        offered = self.collect(chunk)
        if offered is None:
            return
        self.store.offer(offered)
        if chunk.previous != self.cursor:
            return
        self.cursor = chunk.revision
        if chunk.more:
            self.pull(peer)

    def collect(self, chunk: RecordChunk) -> Versioned | None:
        """Return the whole record once all pieces are there."""
        partial = self.partial
        if partial is None or partial.revision != chunk.revision:
            partial = PartialRecord(key=chunk.key, revision=chunk.revision)
            self.partial = partial
        partial.pieces[chunk.index] = chunk.piece
        if len(partial.pieces) < chunk.count:
            return None
        self.partial = None
        ordered = (partial.pieces[index] for index in sorted(partial.pieces))
        value = unzip(b''.join(ordered))
        if value is None:
            self.counters.add('records_unreadable')
            return None
        return Versioned(key=chunk.key, revision=chunk.revision, value=value)


def split(compressed: bytes) -> list[bytes]:
    """Cut a record into pieces."""
    starts = itertools.count(0, PIECE_BYTES)
    size = max(1, math.ceil(len(compressed) / PIECE_BYTES))
    return [
        compressed[start : start + PIECE_BYTES]
        for start in itertools.islice(starts, size)
    ]


def unzip(compressed: bytes) -> bytes | None:
    """Decompress a record; None for one that is broken or overlong."""
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(compressed, LARGEST_RECORD_BYTES)
    except zlib.error:
        return None
    return value if unpacker.eof else None
