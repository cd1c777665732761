"""Planned handover of an upstream's epochs from its owner to the heir.

The owner stops dispatching, sends its table to one heir only and never
dispatches under these epochs again, whether or not it hears the
acknowledgement. So at any time at most one VM dispatches under an epoch.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.membership.protocols import Member
from burdocksill.ownership.epochs import EpochTable
from burdocksill.ownership.messages import (
    HandoverAck,
    HandoverEntry,
    HandoverEpoch,
    HandoverPart,
    HandoverSettled,
)
from burdocksill.ownership.owned import OwnedUpstream
from burdocksill.peers.sender import PeerSender
from burdocksill.requests.messages import Answer
from burdocksill.requests.window import (
    RETENTION_SECONDS,
    RequestKey,
    RequestWindow,
    WindowEntry,
)

TRANSFER_BYTES: Final = 8
# One part stays below the smallest MTU of the networks between entry VMs.
PART_BYTES: Final = 1100
ENTRY_BYTES: Final = 90
PARTS_IN_FLIGHT: Final = 32
RESEND_SECONDS: Final = 0.05
DRAIN_SECONDS: Final = 0.5
# An heir that acknowledges nothing for this long is given up.
ACK_TIMEOUT_SECONDS: Final = 2.0


def handover_entries(owned: OwnedUpstream) -> Iterator[HandoverEntry]:
    """Yield every remembered request of an upstream."""
    now = trio.current_time()
    for table in owned.epochs.tables.values():
        for key, entry in table.window.entries():
            yield HandoverEntry(
                epoch=table.epoch,
                key=key,
                digest=entry.digest,
                expires_in=entry.expires_at - now,
                answer=entry.answer,
            )


def group_entries(
    entries: Iterator[HandoverEntry],
) -> list[tuple[HandoverEntry, ...]]:
    """Group entries into parts that fit a datagram; at least one part."""
    groups: list[tuple[HandoverEntry, ...]] = []
    gathered: list[HandoverEntry] = []
    size = 0
    for entry in entries:
        payload = len(entry.answer.payload) if entry.answer else 0
        length = ENTRY_BYTES + payload
        if gathered and size + length > PART_BYTES:
            groups.append(tuple(gathered))
            gathered = []
            size = 0
        gathered.append(entry)
        size += length
    groups.append(tuple(gathered))
    return groups


def build_parts(owned: OwnedUpstream, transfer: bytes) -> list[HandoverPart]:
    """Write an upstream's epochs and remembered requests as parts."""
    now = trio.current_time()
    epochs = tuple(
        HandoverEpoch(
            epoch=table.epoch,
            expires_in=(table.expires_at or now + RETENTION_SECONDS) - now,
            sealed=table.sealed,
        )
        for table in owned.epochs.tables.values()
    )
    groups = group_entries(handover_entries(owned))
    return [
        HandoverPart(
            service=owned.document.service,
            upstream=owned.upstream.name,
            transfer=transfer,
            part=number,
            parts=len(groups),
            epochs=epochs,
            entries=entries,
            limit=owned.admission.limiter.limit,
            instance=owned.admission.client.instance,
        )
        for number, entries in enumerate(groups)
    ]


@attrs.define(kw_only=True)
class HandoverSender:
    """Send one upstream's table to its heir."""

    owned: OwnedUpstream
    successor: Member
    peers: PeerSender
    rng: Random
    transfer: bytes = b''
    pending_parts: dict[int, HandoverPart] = attrs.field(factory=dict)
    acknowledged: trio.Event = attrs.field(factory=trio.Event)
    # Answers that the heir has not acknowledged yet, by request.
    unacknowledged: dict[RequestKey, HandoverSettled] = attrs.field(
        factory=dict
    )

    async def run(self) -> None:
        """Send until the heir has everything or is given up."""
        self.transfer = self.rng.randbytes(TRANSFER_BYTES)
        self.owned.begin_handover(self.successor)
        self.owned.on_settled = self.send_settled
        # Most requests end at once; what is over before the table leaves
        # cannot load the upstream together with the heir's requests.
        with trio.move_on_after(DRAIN_SECONDS):
            await self.owned.progress.wait_idle()
        parts = build_parts(self.owned, self.transfer)
        self.pending_parts = {part.part: part for part in parts}
        last_progress = trio.current_time()
        while self.pending_parts:
            before = len(self.pending_parts)
            await self.send_round()
            if len(self.pending_parts) < before:
                last_progress = trio.current_time()
            if trio.current_time() - last_progress > ACK_TIMEOUT_SECONDS:
                break
        self.owned.finish_handover(acknowledged=not self.pending_parts)
        await self.resend_unacknowledged()

    async def send_round(self) -> None:
        """Send the first missing parts and wait for acknowledgements."""
        self.acknowledged = trio.Event()
        for part in list(self.pending_parts.values())[:PARTS_IN_FLIGHT]:
            self.peers.send(part, self.successor.peer_address)
        with trio.move_on_after(RESEND_SECONDS):
            await self.acknowledged.wait()

    def handle_ack(self, ack: HandoverAck) -> None:
        """Note that the heir has a part."""
        self.pending_parts.pop(ack.part, None)
        if not self.pending_parts:
            self.acknowledged.set()

    def send_settled(
        self,
        epoch: bytes,
        key: RequestKey,
        answer: Answer,
    ) -> None:
        """Tell the heir what became of a request that was running."""
        settled = HandoverSettled(
            service=self.owned.document.service,
            upstream=self.owned.upstream.name,
            entry=HandoverEntry(
                epoch=epoch,
                key=key,
                digest=b'',
                expires_in=RETENTION_SECONDS,
                answer=answer,
            ),
        )
        self.unacknowledged[key] = settled
        self.peers.send(settled, self.successor.peer_address)

    def handle_settled_ack(self, key: bytes) -> None:
        """Note that the heir has an answer."""
        self.unacknowledged.pop(RequestKey(key), None)

    async def resend_unacknowledged(self) -> None:
        """Repeat late answers until the heir has them or is given up."""
        await self.owned.progress.wait_idle()
        with trio.move_on_after(ACK_TIMEOUT_SECONDS):
            while self.unacknowledged:  # noqa: ASYNC110
                await trio.sleep(RESEND_SECONDS)
                for settled in self.unacknowledged.values():
                    self.peers.send(settled, self.successor.peer_address)


@attrs.define(kw_only=True)
class HandoverReceiver:
    """Gather the parts of one transfer; nothing is held before the last."""

    make_window: Callable[[], RequestWindow]
    parts: dict[int, HandoverPart] = attrs.field(factory=dict)
    complete: bool = False

    def add_part(self, part: HandoverPart) -> tuple[EpochTable, ...] | None:
        """Return the epochs once all parts are there, and only then."""
        if self.complete:
            return None
        self.parts[part.part] = part
        if len(self.parts) < part.parts:
            return None
        self.complete = True
        tables = self.build(part.epochs)
        self.parts.clear()
        return tables

    def build(
        self,
        epochs: tuple[HandoverEpoch, ...],
    ) -> tuple[EpochTable, ...]:
        """Make the tables of the epochs that came over."""
        now = trio.current_time()
        tables = {
            epoch.epoch: EpochTable(
                epoch=epoch.epoch,
                window=self.make_window(),
                sealed=epoch.sealed,
                expires_at=now + epoch.expires_in,
            )
            for epoch in epochs
        }
        for part in self.parts.values():
            for entry in part.entries:
                tables[entry.epoch].window.restore(
                    RequestKey(entry.key),
                    WindowEntry(
                        expires_at=now + entry.expires_in,
                        digest=entry.digest,
                        answer=entry.answer,
                    ),
                )
        return tuple(tables.values())
