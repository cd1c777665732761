"""Planned handover of an upstream's epochs from its owner to the successor.

The owner stops dispatching, sends its epochs to exactly one successor and never
dispatches under them again, whether or not it receives the acknowledgement. So
at most one VM dispatches under an epoch at any time.
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
# Payload of one part; it fits the smallest MTU between entry VMs.
PART_BYTES: Final = 1100
ENTRY_BYTES: Final = 90
PARTS_IN_FLIGHT: Final = 32
RESEND_SECONDS: Final = 0.05
DRAIN_SECONDS: Final = 0.5
# A successor that acknowledges nothing for this long is considered lost.
ACK_TIMEOUT_SECONDS: Final = 2.0


def handover_entries(owned: OwnedUpstream) -> Iterator[HandoverEntry]:
    """Yield an entry for each request stored in the windows."""
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
    """Group entries into parts that fit a datagram; return at least one."""
    groups: list[tuple[HandoverEntry, ...]] = []
    current: list[HandoverEntry] = []
    size = 0
    for entry in entries:
        payload = len(entry.answer.payload) if entry.answer else 0
        entry_size = ENTRY_BYTES + payload
        if current and size + entry_size > PART_BYTES:
            groups.append(tuple(current))
            current = []
            size = 0
        current.append(entry)
        size += entry_size
    groups.append(tuple(current))
    return groups


def build_parts(owned: OwnedUpstream, transfer: bytes) -> list[HandoverPart]:
    """Encode an upstream's epochs and stored requests as parts."""
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
    """Send the epochs of one upstream to its successor."""

    owned: OwnedUpstream
    successor: Member
    peers: PeerSender
    rng: Random
    transfer: bytes = b''
    pending_parts: dict[int, HandoverPart] = attrs.field(factory=dict)
    acknowledged: trio.Event = attrs.field(factory=trio.Event)
    # Answers that the successor has not acknowledged yet, by request.
    unacknowledged: dict[RequestKey, HandoverSettled] = attrs.field(
        factory=dict
    )

    async def run(self) -> None:
        """Send until the successor has acknowledged all parts or is lost."""
        self.transfer = self.rng.randbytes(TRANSFER_BYTES)
        self.owned.begin_handover(self.successor)
        self.owned.on_settled = self.send_settled
        # Most requests end within DRAIN_SECONDS. Those that have ended do not
        # add to the load of the successor's requests on the upstream.
        with trio.move_on_after(DRAIN_SECONDS):
            await self.owned.in_flight.wait_idle()
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
        """Send the first unacknowledged parts and wait for acknowledgements."""
        self.acknowledged = trio.Event()
        for part in list(self.pending_parts.values())[:PARTS_IN_FLIGHT]:
            self.peers.send(part, self.successor.peer_address)
        with trio.move_on_after(RESEND_SECONDS):
            await self.acknowledged.wait()

    def handle_ack(self, ack: HandoverAck) -> None:
        """Record that the successor has received a part."""
        self.pending_parts.pop(ack.part, None)
        if not self.pending_parts:
            self.acknowledged.set()

    def send_settled(
        self,
        epoch: bytes,
        key: RequestKey,
        answer: Answer,
    ) -> None:
        """Send the successor the answer of a request that was in progress."""
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
        """Record that the successor has received an answer."""
        self.unacknowledged.pop(RequestKey(key), None)

    async def resend_unacknowledged(self) -> None:
        """Resend answers until all are acknowledged or the timeout is over."""
        await self.owned.in_flight.wait_idle()
        with trio.move_on_after(ACK_TIMEOUT_SECONDS):
            while self.unacknowledged:  # noqa: ASYNC110
                await trio.sleep(RESEND_SECONDS)
                for settled in self.unacknowledged.values():
                    self.peers.send(settled, self.successor.peer_address)


@attrs.define(kw_only=True)
class HandoverReceiver:
    """Collect the parts of one transfer; incomplete ones have no effect."""

    make_window: Callable[[], RequestWindow]
    parts: dict[int, HandoverPart] = attrs.field(factory=dict)
    complete: bool = False

    def add_part(self, part: HandoverPart) -> tuple[EpochTable, ...] | None:
        """Add a part; return the epochs when it completes the transfer."""
        if self.complete:
            return None
        self.parts[part.part] = part
        if len(self.parts) < part.parts:
            return None
        self.complete = True
        tables = self.build_tables(part.epochs)
        self.parts.clear()
        return tables

    def build_tables(
        self,
        epochs: tuple[HandoverEpoch, ...],
    ) -> tuple[EpochTable, ...]:
        """Build the epoch tables from the received parts."""
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
