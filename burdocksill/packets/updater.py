"""Put what the store says into what the packet path decides by."""

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
    UpstreamUpdate,
)
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import UpstreamRegistry
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.values import Snapshot, StoredValue
from burdocksill.readers.messages import ReaderEntry

logger = EarlyLogger(__name__)
Decoder = Callable[[StoredValue], StoreUpdate | None]


class StateUpdater:
    """Put what was read into the routes, the domains and the upstreams."""

    __slots__ = (
        'decode',
        'has_adopted_healthy_since',
        'placer',
        'readers',
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
        """Take all fields."""
        self.table = table
        self.placer = placer
        self.upstreams = upstreams
        self.decode = decode
        # Who reads the store for which failure domain.
        self.readers: dict[str, ReaderEntry] = {}
        # True once the time since which the store counts as fine is more than
        # that of this node's start.
        self.has_adopted_healthy_since = False

    def apply_values(self, found: Snapshot, now: float) -> None:
        """Take in changes, in their order."""
        for news in self.read(found):
            self.learn(news, now)

    def mark_store_available(self, now: float) -> None:
        """Count from now on how long the store has worked."""
        if not self.upstreams.store_healthy_since:
            self.upstreams.store_healthy_since = now

    def adopt_healthy_since(self, since: float) -> None:
        """Take another node's word since when the store is fine.

        What this node itself has counted from its start says nothing of the
        time before, so the first word counts alone. Then the later of two
        times counts: who saw no trouble may have had no call under way.
        """
        known = (
            self.upstreams.store_healthy_since
            if self.has_adopted_healthy_since
            else 0
        )
        self.upstreams.store_healthy_since = max(known, since)
        self.has_adopted_healthy_since = True

    def learn(self, news: StoreUpdate, now: float) -> None:
        """Take in one change."""
        match news:
            case ManifestUpdate():
                self.apply_manifest(news)
            case DomainUpdate():
                self.apply_domain(news)
            case ReaderUpdate():
                self.apply_reader(news.entry)
            case UpstreamUpdate():
                self.see(news.record, now)
            case UpstreamRemoval():
                self.lose(news, now)

    def apply_manifest(self, news: ManifestUpdate) -> None:
        """Put a newer manifest into force."""
        before = self.table.version
        if self.table.adopt(news.manifest):
            logger.info(
                'manifest in force',
                extra={
                    'version': news.manifest.version,
                    'before': before,
                    'routes': len(news.manifest.routes),
                    'cold_per_s': {
                        name: limits.cold_per_second
                        for name, limits in news.manifest.services.items()
                        if limits.cold_per_second
                    },
                },
            )

    def apply_domain(self, news: DomainUpdate) -> None:
        """Take a failure domain out, or back in."""
        if news.out == (news.domain in self.placer.domains_out):
            return
        change = (
            self.placer.domains_out.add
            if news.out
            else self.placer.domains_out.discard
        )
        change(news.domain)
        state = 'domain out' if news.out else 'domain back'
        logger.info(state, extra={'domain': news.domain})

    def apply_reader(self, entry: ReaderEntry) -> None:
        """Take note of who reads for a failure domain."""
        self.readers[entry.domain] = entry
        logger.info(
            'reader known',
            extra={
                'domain': entry.domain,
                'reader': entry.reader.name if entry.reader else '',
                'revision': entry.revision,
            },
        )

    def see(self, record: UpstreamRecord, now: float) -> None:
        """Take in what an upstream says of itself."""
        if self.upstreams.register(record, now):
            logger.info(
                'upstream seen',
                extra={
                    'upstream': record.name,
                    'service': record.service,
                    'state': record.state.value,
                    'domain': record.domain,
                },
            )

    def lose(self, news: UpstreamRemoval, now: float) -> None:
        """Take note of an entry that vanished."""
        if self.upstreams.mark_absent(news.name, now):
            logger.info(
                'upstream lost',
                extra={'upstream': news.name, 'cause': news.cause},
            )

    def mark_store_unavailable(self) -> None:
        """Count absences anew once the store can be read again.

        Routes stay in force; their age tells that they may be old.
        """
        self.upstreams.store_healthy_since = 0
        self.has_adopted_healthy_since = True

    def read(self, found: Snapshot) -> list[StoreUpdate]:
        """Decode values; one that can't be read changes nothing."""
        news: list[StoreUpdate] = []
        for stored in found.values:
            try:
                one = self.decode(stored)
            except RecordInvalidError as error:
                logger.warning(
                    'entry unreadable',
                    extra={'key': stored.key, 'cause': str(error)},
                )
                continue
            if one is not None:
                news.append(one)
        return news
