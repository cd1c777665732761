"""Follow the store: read all, then wait for changes, and know how old it is."""

import logging
from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.exceptions import BurdocksillError
from burdocksill.observe.lines import StateLogger
from burdocksill.packets.store_cache import StoreCache
from burdocksill.platform.exceptions import (
    PlatformAnswerTooLargeError,
    PlatformCompactedError,
    PlatformCutShortError,
    PlatformUnavailableError,
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
BATCH_SECONDS: Final = 0.5
# Changes are waited for until the knowledge would be this old. Other nodes
# that rely on this one call the store themselves a little later.
KNOWN_WITHIN_SECONDS: Final = 1.5
SHORTEST_WAIT_SECONDS: Final = 0.05
# An answer that is later than the wait by several times what calls take, within
# these bounds, is not waited for any longer.
CALL_FACTOR: Final = 4.0
SHORTEST_MARGIN_SECONDS: Final = 0.15
LONGEST_MARGIN_SECONDS: Final = 0.7
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
        margin: float,
    ) -> Snapshot:
        """Wait for changes after a revision; none when the wait ran out.

        PlatformAnswerTooLargeError for changes of more than `largest` bytes,
        PlatformUnavailableError where no answer begins `margin` seconds after
        the wait.
        """


class ReadGate(Protocol):
    """Tell when this node should call the store."""

    async def wait(self) -> None:
        """Return once it should."""

    def called(self, *, answered: bool) -> None:
        """Take note of a call, and whether it brought knowledge."""


@attrs.define(kw_only=True, eq=False, repr=False)
class OpenReadGate:
    """Call the store all the time, as a node does that knows no other."""

    async def wait(self) -> None:
        """Return at once."""

    def called(self, *, answered: bool) -> None:
        """Do nothing: the next call comes anyway."""


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreWatcher:
    """Keep what is below one prefix of the store as current as it can be.

    One prefix holds everything, so that one waiting call is enough.
    """

    prefix: str
    source: Source
    store_cache: StoreCache
    rng: Random
    read_gate: ReadGate = attrs.field(factory=OpenReadGate)
    pause: float = FIRST_PAUSE_SECONDS
    # What the latest call took above its wait.
    call_seconds: float = LONGEST_MARGIN_SECONDS
    state_logger: StateLogger = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the line that tells of touch lost and regained."""
        self.state_logger = StateLogger(logger=logger)

    async def run(self) -> None:
        """Read, follow, and start over after each failure."""
        while True:
            await self.read_gate.wait()
            try:
                await self.step()
            except PlatformCompactedError as error:
                self.failed(error)
                # Changes are lost; only a whole reading can tell what stands.
                self.store_cache.progress.needs_full_read = True
            except PlatformAnswerTooLargeError as error:
                logger.info(
                    'changes left for a whole reading',
                    extra={
                        'revision': self.store_cache.revision,
                        'expected_bytes': error.expected,
                        'whole_bytes': self.store_cache.whole_bytes(),
                    },
                )
                self.store_cache.progress.needs_full_read = True
            except BurdocksillError as error:
                self.read_gate.called(answered=False)
                self.failed(error)
                await trio.sleep(self.pause * self.rng.uniform(0.5, 1))
                self.pause = min(self.pause * 2, LONGEST_PAUSE_SECONDS)

    async def step(self) -> None:
        """Read everything once, and wait for changes from then on."""
        progress = self.store_cache.progress
        asked_at = progress.now()
        if not progress.revision or progress.needs_full_read:
            found = await self.source.read_prefix(self.prefix)
            self.store_cache.apply_snapshot(found, asked_at)
        else:
            found = await self.changes()
        self.pause = FIRST_PAUSE_SECONDS
        self.state_logger.log_change(
            'store followed', revision=str(found.revision)
        )
        self.read_gate.called(answered=True)
        if found.values:
            await trio.sleep(BATCH_SECONDS)

    async def changes(self) -> Snapshot:
        """Wait for changes and learn them; a silent call is made once more.

        A connection that fell silent shows by nothing but the missing answer.
        Other nodes rely on this one, and would all read the store themselves
        before a call was given up as late as one to a slow store must be.
        """
        try:
            return await self.ask_changes(self.wait_seconds(), self.margin())
        except PlatformUnavailableError as error:
            if not error.silent:
                raise
            logger.info(
                'watch made again',
                extra={
                    'revision': self.store_cache.revision,
                    'age_s': round(self.store_cache.age(), 3),
                    'cause': str(error),
                },
            )
        return await self.ask_changes(
            SHORTEST_WAIT_SECONDS,
            LONGEST_MARGIN_SECONDS,
        )

    async def ask_changes(self, wait: float, margin: float) -> Snapshot:
        """Make one call for changes, and learn them."""
        progress = self.store_cache.progress
        asked_at = progress.now()
        found = await self.source.changes(
            prefix=self.prefix,
            after=progress.revision,
            wait=wait,
            largest=self.largest_bytes(),
            margin=margin,
        )
        took = progress.now() - asked_at
        if took > wait:
            # It was the wait that ran out: the rest is what a call takes.
            self.call_seconds = took - wait
        self.store_cache.apply_changes(
            found, asked_at + found.unchanged_seconds
        )
        return found

    def margin(self) -> float:
        """Return how late after its wait a call may be answered."""
        usual = self.call_seconds * CALL_FACTOR
        return min(max(usual, SHORTEST_MARGIN_SECONDS), LONGEST_MARGIN_SECONDS)

    def wait_seconds(self) -> float:
        """Return how long the store may hold the next call."""
        left = KNOWN_WITHIN_SECONDS - self.store_cache.age()
        return min(max(left, SHORTEST_WAIT_SECONDS), KNOWN_WITHIN_SECONDS)

    def largest_bytes(self) -> int:
        """Return how many bytes of changes are still worth reading.

        Changes hold each version of a value that was written meanwhile, a
        whole reading the newest alone. Over a slow link a node that read more
        than that would fall further behind with each answer.
        """
        return max(self.store_cache.whole_bytes(), SMALL_ANSWER_BYTES)

    def failed(self, error: BurdocksillError) -> None:
        """Write down that touch is lost; what is known stays in force."""
        self.store_cache.updater.mark_store_unavailable()
        self.state_logger.log_change(
            'store lost',
            level=logging.WARNING,
            revision=str(self.store_cache.revision),
            cause=str(error),
        )
        if isinstance(error, PlatformCutShortError):
            # Each of them, as one that repeats means that no answer fits.
            logger.warning(
                'answer cut short',
                extra={
                    'revision': self.store_cache.revision,
                    'received_bytes': error.received,
                    'expected_bytes': error.expected,
                },
            )
