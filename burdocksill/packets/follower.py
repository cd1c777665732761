"""Follow the store: read all, then wait for changes, and know how old it is."""

import logging
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.lines import StateLine
from burdocksill.packets.knowledge import Knowledge
from burdocksill.platform.exceptions import (
    PlatformAnswerTooLargeError,
    PlatformCompactedError,
    PlatformCutShortError,
)
from burdocksill.platform.values import Snapshot

# The pause after a failed call, drawn between half and all of it, doubles
# from the first to the longest. The longest is what a node lags behind a
# store that has come back; the calls of all nodes are bounded by it.
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 0.8
# After a change the next call waits this long, so that changes that come
# together cost one call. What can't wait, an upstream that died, is seen in
# clients' packets first.
GATHER_SECONDS: Final = 0.5
# Changes are waited for until the knowledge would be this old. Other nodes
# that rely on this one call the store themselves a little later.
KNOWN_WITHIN_SECONDS: Final = 1.5
SHORTEST_WAIT_SECONDS: Final = 0.05
# Changes of this many bytes are read even where a whole reading takes less.
SMALL_ANSWER_BYTES: Final = 65536

logger = logging.getLogger(__name__)


class Source(Protocol):
    """Read a prefix of the store and wait for its changes."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values below a prefix."""

    async def changes(
        self,
        *,
        prefix: str,
        after: int,
        wait: float,
        largest: float,
    ) -> Snapshot:
        """Wait for changes after a revision; none when the wait ran out.

        PlatformAnswerTooLargeError for changes of more than `largest` bytes.
        """


class Turn(Protocol):
    """Tell when this node should call the store."""

    async def wait(self) -> None:
        """Return once it should."""


@attrs.define(kw_only=True, eq=False, repr=False)
class AlwaysTurn:
    """Call the store all the time, as a node does that knows no other."""

    async def wait(self) -> None:
        """Return at once."""


@attrs.define(kw_only=True, eq=False, repr=False)
class Follower:
    """Keep what is below one prefix of the store as current as it can be.

    One prefix holds everything, so that one waiting call is enough.
    """

    prefix: str
    source: Source
    knowledge: Knowledge
    rng: Random
    turn: Turn = attrs.field(factory=AlwaysTurn)
    pause: float = FIRST_PAUSE_SECONDS
    line: StateLine = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the line that tells of touch lost and regained."""
        self.line = StateLine(logger=logger)

    async def run(self) -> None:
        """Read, follow, and start over after each failure."""
        while True:
            await self.turn.wait()
            try:
                await self.step()
            except PlatformCompactedError as error:
                self.failed(error)
                # Changes are lost; only a whole reading can tell what stands.
                self.knowledge.progress.incomplete = True
            except PlatformAnswerTooLargeError as error:
                logger.info(
                    'changes left for a whole reading',
                    extra={
                        'revision': self.knowledge.revision,
                        'expected_bytes': error.expected,
                        'whole_bytes': self.knowledge.whole_bytes(),
                    },
                )
                self.knowledge.progress.incomplete = True
            except BurdocksillError as error:
                self.failed(error)
                await trio.sleep(self.pause * self.rng.uniform(0.5, 1))
                self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)

    async def step(self) -> None:
        """Read everything once, and wait for changes from then on."""
        progress = self.knowledge.progress
        asked_at = progress.now()
        if not progress.revision or progress.incomplete:
            found = await self.source.read_prefix(self.prefix)
            self.knowledge.take_all(found, asked_at)
        else:
            found = await self.source.changes(
                prefix=self.prefix,
                after=progress.revision,
                wait=self.wait_seconds(),
                largest=self.largest_bytes(),
            )
            current_at = asked_at + found.unchanged_seconds
            self.knowledge.take_changes(found, current_at)
        self.pause = FIRST_PAUSE_SECONDS
        self.line.enter('store followed', revision=str(found.revision))
        if found.values:
            await trio.sleep(GATHER_SECONDS)

    def wait_seconds(self) -> float:
        """Return how long the store may hold the next call."""
        left = KNOWN_WITHIN_SECONDS - self.knowledge.age()
        return min(max(left, SHORTEST_WAIT_SECONDS), KNOWN_WITHIN_SECONDS)

    def largest_bytes(self) -> int:
        """Return how many bytes of changes are still worth reading.

        Changes hold each version of a value that was written meanwhile, a
        whole reading the newest alone. Over a slow link a node that read more
        than that would fall further behind with each answer.
        """
        return max(self.knowledge.whole_bytes(), SMALL_ANSWER_BYTES)

    def failed(self, error: BurdocksillError) -> None:
        """Write down that touch is lost; what is known stays in force."""
        self.knowledge.learner.lose_touch()
        self.line.enter(
            'store lost',
            level=logging.WARNING,
            revision=str(self.knowledge.revision),
            cause=str(error),
        )
        if isinstance(error, PlatformCutShortError):
            # Each of them, as one that repeats means that no answer fits.
            logger.warning(
                'answer cut short',
                extra={
                    'revision': self.knowledge.revision,
                    'received_bytes': error.received,
                    'expected_bytes': error.expected,
                },
            )
