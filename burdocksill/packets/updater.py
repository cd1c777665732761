"""Apply decoded updates of the store to the state of the packet path."""

from __future__ import annotations

from collections.abc import Callable

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.messages import (
    DomainUpdate,
    ManifestUpdate,
    ReaderUpdate,
    StoreUpdate,
    UpstreamRecord,
    UpstreamRemoval,
    UpstreamUnreadable,
    UpstreamUpdate,
)
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.restored import RestorePolicy
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.revisions import (
    join_revision,
    number_of,
    show_revision,
)
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers.messages import ReaderEntry

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Most log lines about one manifest; its first line has their number.
MAX_LOGGED_FAULTS: Final = 10

logger = EarlyLogger(__name__)
Decoder = Callable[[StoredValue], StoreUpdate | None]


class StateUpdater:
    """Apply updates to the routes, failure domains, upstreams and readers."""

    __slots__ = (
        'decode',
        'has_adopted_healthy_since',
        'placer',
        'readers',
        'restore_policy',
        'store_failed_at',
        'table',
        'upstreams',
    )

    def __init__(
        self,
        *,
        table: RoutingTable,
        placer: PacketPlacer,
        upstreams: UpstreamRegistry,
        decode: Decoder,
    ) -> None:
        """Store the arguments and start without readers."""
        self.table = table
        self.placer = placer
        self.upstreams = upstreams
        self.decode = decode
        # The node that reads the store for each failure domain.
        self.readers: dict[str, ReaderEntry] = {}
        # True once the time since which the store has worked is known from a
        # peer or from an outage, and not only from this node's start.
        self.has_adopted_healthy_since = False
        # When a call of this node to the store failed last.
        self.store_failed_at = float('-inf')
        self.restore_policy = RestorePolicy(
            domains_out=placer.domains_out, upstreams=upstreams
        )

    def apply_values(self, found: Snapshot, now: float) -> None:
        """Decode and apply changes, in their order."""
        for key, update in self.decode_values(found):
            self.restore_policy.cancel(key)
            self.apply(update, now)

    def apply_restored(self, found: Snapshot, now: float) -> set[str]:
        """Decode the changes of a restore; defer those that may be outdated.

        Return the keys of manifests that are older than the one in force.
        """
        superseded: set[str] = set()
        for key, update in self.decode_values(found):
            self.restore_policy.cancel(key)
            if self.is_superseded(update):
                superseded.add(key)
            elif self.restore_policy.defer(key, update, now):
                logger.info('restored entry deferred', extra={'key': key})
            else:
                self.apply(update, now)
        return superseded

    def is_superseded(self, update: StoreUpdate) -> bool:
        """Return True for a manifest that is not newer than that in force."""
        return (
            isinstance(update, ManifestUpdate)
            and update.manifest.version <= self.table.version
        )

    def apply_deferred(self, now: float, synced_at: float) -> None:
        """Apply restored entries that were not written again in time.

        All changes up to `synced_at` are known, by the clock of `now`.
        """
        for key, update in self.restore_policy.pop_due(synced_at):
            logger.info('restored entry applied', extra={'key': key})
            self.apply(update, now)

    def mark_store_available(self, now: float) -> None:
        """Record a successful call to the store."""
        if not self.upstreams.store_healthy_since:
            self.upstreams.store_healthy_since = now

    def adopt_healthy_since(self, since: float) -> None:
        """Adopt a peer's time since which the store has worked.

        The first time of a peer replaces this node's own, which only says when
        the node started. After that the later time wins, because a node
        without a call in progress does not notice an outage. The peer may be
        such a node, so that its time replaces no later failure of a call here.
        """
        known = (
            self.upstreams.store_healthy_since
            if self.has_adopted_healthy_since
            else 0
        )
        self.upstreams.store_healthy_since = max(
            known, since, self.store_failed_at
        )
        self.has_adopted_healthy_since = True

    def begin_era(self, era: int, now: float) -> None:
        """Record that the store was restored from a copy.

        What is missing in the copy may be written again, as after an outage.
        Entries of readers that did not change keep their number in the new era.
        """
        self.upstreams.store_healthy_since = now
        self.has_adopted_healthy_since = True
        for domain, entry in self.readers.items():
            revision = join_revision(era, number_of(entry.revision))
            self.readers[domain] = entry.evolve(revision=revision)

    def apply(self, update: StoreUpdate, now: float) -> None:
        """Apply one update."""
        match update:
            case ManifestUpdate():
                self.apply_manifest(update)
            case DomainUpdate():
                self.apply_domain(update)
            case ReaderUpdate():
                self.apply_reader(update.entry)
            case UpstreamUpdate():
                self.register_upstream(update.record, now)
            case UpstreamRemoval():
                self.remove_upstream(update, now)
            case UpstreamUnreadable():
                self.withdraw_upstream(update)

    def apply_manifest(self, update: ManifestUpdate) -> None:
        """Apply a manifest if it is newer."""
        before = self.table.version
        if self.table.adopt(update.manifest):
            logger.info(
                'manifest in force',
                extra={
                    'version': update.manifest.version,
                    'before': before,
                    'routes': len(update.manifest.routes),
                    'faults': len(update.manifest.faults),
                    'cold_per_s': {
                        name: limits.cold_per_second
                        for name, limits in update.manifest.services.items()
                        if limits.cold_per_second
                    },
                },
            )
            for cause in update.manifest.faults[:MAX_LOGGED_FAULTS]:
                logger.warning(
                    'part of the manifest left out',
                    extra={
                        'version': update.manifest.version,
                        'cause': cause,
                    },
                )

    def apply_domain(self, update: DomainUpdate) -> None:
        """Take a failure domain out of service, or put it back."""
        if update.out == (update.domain in self.placer.domains_out):
            return
        change = (
            self.placer.domains_out.add
            if update.out
            else self.placer.domains_out.discard
        )
        change(update.domain)
        state = 'domain out' if update.out else 'domain back'
        logger.info(state, extra={'domain': update.domain})

    def apply_reader(self, entry: ReaderEntry) -> None:
        """Record which node reads the store for a failure domain."""
        self.readers[entry.domain] = entry
        logger.info(
            'reader known',
            extra={
                'domain': entry.domain,
                'reader': entry.reader.name if entry.reader else '',
                'revision': show_revision(entry.revision),
            },
        )

    def register_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Register or update an upstream.

        An entry of a service that the manifest doesn't name may come from
        another writer. It is kept for a later manifest, and proves nothing
        about other upstreams, nor about the one whose entry it overwrites.
        """
        manifest = self.table.manifest
        is_named = manifest is not None and record.service in manifest.services
        known = self.upstreams.by_name.get(record.name)
        if not is_named and known and known.record.service != record.service:
            cause = f'service {record.service} is not in the manifest'
            self.withdraw_upstream(UpstreamUnreadable(record.name, cause))
            return
        if self.upstreams.register(record, now, replaces=is_named):
            logger.info(
                'upstream seen',
                extra={
                    'upstream': record.name,
                    'service': record.service,
                    'state': record.state.value,
                    'domain': record.domain,
                },
            )

    def remove_upstream(self, update: UpstreamRemoval, now: float) -> None:
        """Mark an upstream as absent whose entry was removed."""
        if self.upstreams.mark_absent(update.name, now):
            logger.info(
                'upstream lost',
                extra={'upstream': update.name, 'cause': 'removed'},
            )

    def withdraw_upstream(self, update: UpstreamUnreadable) -> None:
        """Place no new flows on an upstream whose entry is unreadable."""
        if self.upstreams.withdraw(update.name, update.tag):
            logger.warning(
                'upstream withdrawn',
                extra={'upstream': update.name, 'cause': update.cause},
            )

    def mark_store_unavailable(self, now: float) -> None:
        """Record a failed call to the store.

        Absences are counted from the next success. Routes stay in force, and
        the age of the store cache shows that they may be outdated.
        """
        self.upstreams.store_healthy_since = 0
        self.store_failed_at = now
        self.has_adopted_healthy_since = True

    def decode_values(self, found: Snapshot) -> list[tuple[str, StoreUpdate]]:
        """Decode values, with their keys; log and skip invalid ones."""
        updates: list[tuple[str, StoreUpdate]] = []
        for stored in found.values:
            try:
                one = self.decode(stored)
            except Exception as error:  # noqa: BLE001
                # One entry that the decoder did not expect must not keep the
                # node from following all others.
                is_expected = isinstance(error, RecordInvalidError)
                cause = str(error) if is_expected else repr(error)
                logger.warning(
                    'entry unreadable',
                    extra={'key': stored.key, 'cause': cause},
                )
                continue
            if one is not None:
                updates.append((stored.key, one))
        return updates
