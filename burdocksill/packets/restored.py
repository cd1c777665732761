"""Decide which values of a restored store replace newer knowledge.

A store that was restored from a copy shows older values until operators and
upstreams have written theirs again. Without this decision, upstreams that leave
or have ended would get new flows, and failure domains would change their state
for a moment.
"""

from __future__ import annotations

from burdocksill.packets.messages import (
    DomainUpdate,
    StoreUpdate,
    UpstreamRecord,
    UpstreamState,
    UpstreamUpdate,
)
from burdocksill.packets.upstreams import (
    LEASE_SECONDS,
    REGISTRATION_GRACE_SECONDS,
    KnownUpstream,
    UpstreamRegistry,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Container, Iterator
    from typing import Final

# Operators have written again by then. A value that still stands is their will.
REWRITE_SECONDS: Final = REGISTRATION_GRACE_SECONDS
# The entry of an upstream that has ended expires by then. One that still stands
# is renewed. The rest is for the delay until this node reads of its removal.
RENEWAL_SECONDS: Final = LEASE_SECONDS + 0.8
NEVER_SECONDS: Final = float('inf')


class DeferredUpdate:
    """Hold an update of a restored store that is not applied yet."""

    __slots__ = ('seconds', 'since', 'update')

    def __init__(
        self, *, update: StoreUpdate, since: float, seconds: float
    ) -> None:
        """Store the arguments."""
        self.update = update
        self.since = since
        # Time after which it is applied unless its key is written again.
        self.seconds = seconds


class RestorePolicy:
    """Defer updates of a restored store that contradict newer knowledge."""

    __slots__ = ('deferred', 'domains_out', 'upstreams')

    def __init__(
        self,
        *,
        domains_out: Container[str],
        upstreams: UpstreamRegistry,
    ) -> None:
        """Store the state in force and start without deferred updates."""
        self.domains_out = domains_out
        self.upstreams = upstreams
        # By key.
        self.deferred: dict[str, DeferredUpdate] = {}

    def defer(self, key: str, update: StoreUpdate, now: float) -> bool:
        """Defer an update of a restored store if it may be outdated."""
        seconds = self.seconds_to_defer(update)
        if seconds:
            self.deferred[key] = DeferredUpdate(
                update=update, since=now, seconds=seconds
            )
        return seconds > 0

    def cancel(self, key: str) -> None:
        """Drop the deferred update of a key that was written again."""
        self.deferred.pop(key, None)

    def pop_due(self, synced_at: float) -> Iterator[tuple[str, StoreUpdate]]:
        """Yield and remove the updates that still stand after their time.

        The time is counted only while the store is healthy, and up to the age
        of the data: what was written since is not known yet.
        """
        healthy_since = self.upstreams.store_healthy_since
        if not healthy_since:
            return
        for key, deferred in list(self.deferred.items()):
            since = max(deferred.since, healthy_since)
            if synced_at - since >= deferred.seconds:
                del self.deferred[key]
                yield key, deferred.update

    def seconds_to_defer(self, update: StoreUpdate) -> float:
        """Return for how long to defer an update; 0 applies it at once."""
        match update:
            case DomainUpdate():
                is_known = update.out is (update.domain in self.domains_out)
                return 0 if is_known else REWRITE_SECONDS
            case UpstreamUpdate():
                known = self.upstreams.by_name.get(update.record.name)
                return seconds_to_confirm(update.record, known)
        # Manifests have an order of their own, entries of readers none.
        return 0


def seconds_to_confirm(
    record: UpstreamRecord, known: KnownUpstream | None
) -> float:
    """Return for how long an upstream's restored entry may be outdated.

    A process begins to leave once and ends once, so an entry that shows an
    earlier state of the same process tells nothing new.
    """
    if known is None or record.started_at > known.record.started_at:
        return 0
    if record.started_at < known.record.started_at:
        return RENEWAL_SECONDS
    # Without a start time it may be another process.
    never = NEVER_SECONDS if record.started_at else RENEWAL_SECONDS
    if known.record.state is UpstreamState.DRAINING:
        return never
    if known.absent_since:
        return RENEWAL_SECONDS
    return 0 if record.state is UpstreamState.DRAINING else never
