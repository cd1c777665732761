"""Follow the store: read all, then wait for changes, and know how old it is."""

import logging
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.lines import StateLine
from burdocksill.packets.messages import (
    DomainNews,
    ManifestNews,
    News,
    UpstreamLost,
    UpstreamNews,
    UpstreamRecord,
)
from burdocksill.packets.placement import PacketPlacer
from burdocksill.packets.routing import RoutingTable
from burdocksill.packets.upstreams import Upstreams
from burdocksill.platform.exceptions import (
    PlatformCompactedError,
    RecordInvalidError,
)
from burdocksill.platform.protocols import Snapshot, StoredValue

# The pause after a failed call, drawn between half and all of it, doubles
# from the first to the longest. The longest is what a node lags behind a
# store that has come back; the calls of all nodes are bounded by it.
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 0.8
# After a change the next call waits this long, so that changes that come
# together cost one call: a storm of one each 0.08 s costs half as many.
GATHER_SECONDS: Final = 0.2

logger = logging.getLogger(__name__)
Decoder = Callable[[StoredValue], News | None]


class Source(Protocol):
    """Read a prefix of the store and wait for its changes."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix."""

    async def changes(self, *, prefix: str, after: int) -> Snapshot:
        """Wait for changes after a revision; none when the wait ran out."""


@attrs.define(kw_only=True)
class Learner:
    """Put what was read into the routes, the domains and the upstreams."""

    table: RoutingTable
    placer: PacketPlacer
    upstreams: Upstreams

    def learn_all(self, news: list[News], now: float) -> None:
        """Take in a whole reading; what it does not show is not there."""
        if not self.upstreams.stable_since:
            self.upstreams.stable_since = now
        for one in news:
            self.learn(one, now)
        out = {one.domain for one in news if isinstance(one, DomainNews)}
        for domain in self.placer.out - out:
            self.learn(DomainNews(domain, out=False), now)
        shown = {
            one.record.name for one in news if isinstance(one, UpstreamNews)
        }
        for name in self.upstreams.by_name.keys() - shown:
            self.learn(UpstreamLost(name), now)

    def learn(self, news: News, now: float) -> None:
        """Take in one change."""
        if isinstance(news, ManifestNews):
            self.learn_manifest(news)
        elif isinstance(news, DomainNews):
            self.learn_domain(news)
        elif isinstance(news, UpstreamNews):
            self.see(news.record, now)
        elif self.upstreams.lose(news.name, now):
            logger.info(
                'upstream lost',
                extra={'upstream': news.name, 'cause': news.cause},
            )

    def learn_manifest(self, news: ManifestNews) -> None:
        """Put a newer manifest into force."""
        before = self.table.version
        if self.table.adopt(news.manifest):
            logger.info(
                'manifest in force',
                extra={
                    'version': news.manifest.version,
                    'before': before,
                    'routes': len(news.manifest.routes),
                },
            )

    def learn_domain(self, news: DomainNews) -> None:
        """Take a failure domain out, or back in."""
        if news.out == (news.domain in self.placer.out):
            return
        change = self.placer.out.add if news.out else self.placer.out.discard
        change(news.domain)
        state = 'domain out' if news.out else 'domain back'
        logger.info(state, extra={'domain': news.domain})

    def see(self, record: UpstreamRecord, now: float) -> None:
        """Take in what an upstream says of itself."""
        if self.upstreams.see(record, now):
            logger.info(
                'upstream seen',
                extra={
                    'upstream': record.name,
                    'service': record.service,
                    'state': record.state.value,
                    'domain': record.domain,
                },
            )

    def lose_touch(self) -> None:
        """Count absences anew once the store can be read again.

        Routes stay in force; their age tells that they may be old.
        """
        self.upstreams.stable_since = 0


@attrs.define(kw_only=True)
class Follower:
    """Keep what is below one prefix of the store as current as it can be.

    One prefix holds everything, so that one waiting call is enough.
    """

    prefix: str
    source: Source
    decode: Decoder
    learner: Learner
    rng: Random
    known: trio.Event = attrs.field(factory=trio.Event)
    # When all changes up to this time were known.
    current_at: float = float('-inf')
    revision: int = 0
    pause: float = FIRST_PAUSE_SECONDS
    line: StateLine = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the line that tells of touch lost and regained."""
        self.line = StateLine(logger=logger)

    async def run(self) -> None:
        """Read, follow, and start over after each failure."""
        while True:
            try:
                await self.step()
            except PlatformCompactedError as error:
                self.failed(error)
                self.revision = 0
            except BurdocksillError as error:
                self.failed(error)
                await trio.sleep(self.pause * self.rng.uniform(0.5, 1))
                self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)

    async def step(self) -> None:
        """Read everything once, and wait for changes from then on."""
        began = trio.current_time()
        if self.revision:
            found = await self.source.changes(
                prefix=self.prefix,
                after=self.revision,
            )
            for news in self.read(found):
                self.learner.learn(news, trio.current_time())
        else:
            found = await self.source.read_prefix(self.prefix)
            self.learner.learn_all(self.read(found), trio.current_time())
        self.revision = found.revision
        self.current_at = began
        self.pause = FIRST_PAUSE_SECONDS
        self.line.enter('store followed', revision=str(found.revision))
        self.known.set()
        if found.values:
            await trio.sleep(GATHER_SECONDS)

    def read(self, found: Snapshot) -> list[News]:
        """Decode values; one that can't be read changes nothing."""
        news: list[News] = []
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

    def failed(self, error: BurdocksillError) -> None:
        """Write down that touch is lost; what is known stays in force."""
        self.learner.lose_touch()
        self.line.enter(
            'store lost',
            level=logging.WARNING,
            revision=str(self.revision),
            cause=str(error),
        )

    def age(self, now: float) -> float:
        """Return the seconds since the knowledge was known to be current."""
        return now - self.current_at
