"""Follow the store: read all, then wait for changes, and know how old it is."""

import logging
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.lines import StateLine
from burdocksill.packets.core import Clock, Progress
from burdocksill.packets.learner import Learner
from burdocksill.platform.exceptions import PlatformCompactedError
from burdocksill.platform.protocols import Snapshot

# The pause after a failed call, drawn between half and all of it, doubles
# from the first to the longest. The longest is what a node lags behind a
# store that has come back; the calls of all nodes are bounded by it.
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 0.8
# After a change the next call waits this long, so that changes that come
# together cost one call. It is half of the shortest bound on a change (3 s);
# what can't wait, an upstream that died, is seen in clients' packets first.
# All that a quiet day of 80 nodes was charged for, most of it calls, took 0.192
# of its worth with 0.2 s, 0.096 with 1 s and 0.084 with 1.5 s.
GATHER_SECONDS: Final = 1.5

logger = logging.getLogger(__name__)


class Source(Protocol):
    """Read a prefix of the store and wait for its changes."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix."""

    async def changes(self, *, prefix: str, after: int) -> Snapshot:
        """Wait for changes after a revision; none when the wait ran out."""


@attrs.define(kw_only=True)
class Follower:
    """Keep what is below one prefix of the store as current as it can be.

    One prefix holds everything, so that one waiting call is enough.
    """

    prefix: str
    source: Source
    learner: Learner
    progress: Progress
    clock: Clock
    rng: Random
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
                # Changes are lost; only a whole reading can tell what stands.
                self.progress.revision = 0
            except BurdocksillError as error:
                self.failed(error)
                await trio.sleep(self.pause * self.rng.uniform(0.5, 1))
                self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)

    async def step(self) -> None:
        """Read everything once, and wait for changes from then on."""
        asked_at = self.clock()
        after = self.progress.revision
        if after:
            found = await self.source.changes(prefix=self.prefix, after=after)
            self.learner.learn_values(found, self.clock())
        else:
            found = await self.source.read_prefix(self.prefix)
            self.learner.learn_all(found, self.clock())
        self.progress.reach(found.revision, asked_at + found.unchanged_seconds)
        self.pause = FIRST_PAUSE_SECONDS
        self.line.enter('store followed', revision=str(found.revision))
        if found.values:
            await trio.sleep(GATHER_SECONDS)

    def failed(self, error: BurdocksillError) -> None:
        """Write down that touch is lost; what is known stays in force."""
        self.learner.lose_touch()
        self.line.enter(
            'store lost',
            level=logging.WARNING,
            revision=str(self.progress.revision),
            cause=str(error),
        )
