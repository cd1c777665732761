"""Anti-entropy of records: digests on heartbeats, then pulls."""

import itertools
import math
import zlib
from typing import Final

import attrs
import trio

from burdocksill.documents.digest import Digest, digest_of, unpack_digest
from burdocksill.documents.models import VersionedRecord
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
# Limit of a decompressed value; a stored value has at most a megabyte.
MAX_RECORD_BYTES: Final = 1024 * 1024
# Without a chunk for this long, the rest of a pull counts as lost.
PULL_TIMEOUT_SECONDS: Final = 0.3


@attrs.define(kw_only=True)
class PartialRecord:
    """Collect the pieces of one record."""

    key: str
    revision: int
    pieces: dict[int, bytes] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class RecordGossip:
    """Pull missing records from peers in revision order.

    `cursor` is the revision up to which all records of the peers are present.
    It advances only over records that arrived, so that a lost one is pulled
    again even if later ones have arrived.
    """

    store: DocumentStore
    counters: Counters
    channel: PeerChannel | None = None
    cursor: int = 0
    last_chunk_at: float = -math.inf
    partial: PartialRecord | None = None
    digest: Digest = attrs.field(factory=Digest)
    digest_outdated: bool = True
    # Set once a peer's digest equals the local one.
    in_sync: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        """Listen for changes of records."""
        self.store.listeners.append(self.mark_digest_outdated)

    def mark_digest_outdated(self) -> None:
        """Invalidate the digest, which is computed again on its next use.

        A snapshot of thousands of records causes one change for each.
        """
        self.digest_outdated = True

    def current_digest(self) -> Digest:
        """Return the digest of the current records."""
        if self.digest_outdated:
            self.digest = digest_of(self.store.records.values())
            self.digest_outdated = False
        return self.digest

    def attach(self, channel: PeerChannel) -> None:
        """Register the handlers of pulls and chunks at the channel."""
        self.channel = channel
        channel.handlers[RecordPull] = self.handle_pull
        channel.handlers[RecordChunk] = self.handle_chunk

    def pack(self) -> bytes:
        """Return the digest for the next heartbeat."""
        return self.current_digest().pack()

    def take(self, packed: bytes, sender: Member) -> None:
        """Pull from a member whose digest shows missing records."""
        remote = unpack_digest(packed)
        local = self.current_digest()
        if remote is None or remote.highest < local.highest:
            return
        if remote == local:
            self.cursor = remote.highest
            # Two VMs without any record don't confirm each other.
            if remote.highest:
                self.in_sync.set()
            return
        if trio.current_time() - self.last_chunk_at < PULL_TIMEOUT_SECONDS:
            return
        if self.cursor >= remote.highest:
            # The digests differ at the same highest revision: an earlier
            # record is missing on one side, so pull all records once.
            self.cursor = 0
        self.pull(sender.peer_address)

    def pull(self, peer: Address) -> None:
        """Request the records after the cursor."""
        self.last_chunk_at = trio.current_time()
        self.partial = None
        self.counters.add('records_pulled')
        if self.channel is not None:
            self.channel.send(RecordPull(after=self.cursor), peer)

    def handle_pull(self, opened: VerifiedMessage, peer: Address) -> None:
        """Send a bounded number of records in revision order."""
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
            pieces = split_pieces(zlib.compress(record.value))
            sent += len(pieces)
            more = number < len(later) and sent >= PIECES_PER_PULL
            self.send_pieces(record, pieces, previous, peer, more=more)
            previous = record.revision
            if more:
                return

    def send_pieces(
        self,
        record: VersionedRecord,
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

    def handle_chunk(self, opened: VerifiedMessage, peer: Address) -> None:
        """Put a record into force once all of its pieces have arrived."""
        chunk = opened.message
        if not isinstance(chunk, RecordChunk):
            return
        self.last_chunk_at = trio.current_time()
        offered = self.add_piece(chunk)
        if offered is None:
            return
        self.store.offer(offered)
        if chunk.previous != self.cursor:
            return
        self.cursor = chunk.revision
        if chunk.more:
            self.pull(peer)

    def add_piece(self, chunk: RecordChunk) -> VersionedRecord | None:
        """Return the complete record once all pieces have arrived."""
        partial = self.partial
        if partial is None or partial.revision != chunk.revision:
            partial = PartialRecord(key=chunk.key, revision=chunk.revision)
            self.partial = partial
        partial.pieces[chunk.index] = chunk.piece
        if len(partial.pieces) < chunk.count:
            return None
        self.partial = None
        ordered = (partial.pieces[index] for index in sorted(partial.pieces))
        value = decompress_record(b''.join(ordered))
        if value is None:
            self.counters.add('records_unreadable')
            return None
        return VersionedRecord(
            key=chunk.key, revision=chunk.revision, value=value
        )


def split_pieces(compressed: bytes) -> list[bytes]:
    """Split a compressed record into pieces."""
    starts = itertools.count(0, PIECE_BYTES)
    size = max(1, math.ceil(len(compressed) / PIECE_BYTES))
    return [
        compressed[start : start + PIECE_BYTES]
        for start in itertools.islice(starts, size)
    ]


def decompress_record(compressed: bytes) -> bytes | None:
    """Decompress a record; return None if it is invalid or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(compressed, MAX_RECORD_BYTES)
    except zlib.error:
        return None
    return value if decompressor.eof else None
