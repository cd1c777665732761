"""List the store, then watch it for changes."""

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
    PlatformRestoredError,
    PlatformTruncatedAnswerError,
    PlatformUnavailableError,
)
from burdocksill.platform.revisions import show_revision
from burdocksill.platform.values import Snapshot

# Backoff after a failed call: doubles from the first to the highest value, with
# jitter between half and all of it. The highest value bounds both how late a
# node notices that the store is back and the call rate of all nodes.
FIRST_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.8
# Delay of the next call after a change, so that changes in quick succession
# take one call. A crashed upstream, which is urgent, shows in the packets of
# clients before that.
BATCH_SECONDS: Final = 0.5
# Highest age of the store cache that a watch call may lead to. Peers that rely
# on this node call the store themselves a little later.
MAX_AGE_SECONDS: Final = 1.5
MIN_WAIT_SECONDS: Final = 0.05
# Margin after the wait in which an answer must begin: this many times the usual
# duration of a call, within these bounds.
CALL_FACTOR: Final = 4.0
MIN_MARGIN_SECONDS: Final = 0.15
MAX_MARGIN_SECONDS: Final = 0.7
# Changes of up to this size are read even if a full read is smaller.
SMALL_ANSWER_BYTES: Final = 65536

logger = logging.getLogger(__name__)


class Source(Protocol):
    """Client that reads a prefix of the store and waits for its changes."""

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values with a prefix."""

    async def changes(
        self,
        *,
        prefix: str,
        after: int,
        wait: float,
        largest: float,
        margin: float,
    ) -> Snapshot:
        """Wait up to `wait` seconds for changes after a revision.

        Raise PlatformAnswerTooLargeError for changes of more than `largest`
        bytes, PlatformUnavailableError if no answer begins within `margin`
        seconds after the wait, and PlatformRestoredError if the store does not
        have the revision since it was restored.
        """


class ReadGate(Protocol):
    """Decides when this node calls the store itself."""

    async def wait(self) -> None:
        """Return when this node should call the store."""

    def called(self, *, answered: bool) -> None:
        """Record a call, and whether it was answered."""


@attrs.define(kw_only=True, eq=False, repr=False)
class OpenReadGate:
    """Gate of a node without peers, which always calls the store."""

    async def wait(self) -> None:
        """Return at once."""

    def called(self, *, answered: bool) -> None:
        """Do nothing: the next call is always allowed."""


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreWatcher:
    """Keep the store cache in sync with one prefix of the store.

    The empty prefix covers all keys, so that one watch call is enough.
    """

    prefix: str
    source: Source
    store_cache: StoreCache
    rng: Random
    read_gate: ReadGate = attrs.field(factory=OpenReadGate)
    backoff: float = FIRST_BACKOFF_SECONDS
    # What the latest call took above its wait.
    call_duration_seconds: float = MAX_MARGIN_SECONDS
    state_logger: StateLogger = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the logger for changes of the store's state."""
        self.state_logger = StateLogger(logger=logger)

    async def run(self) -> None:
        """Read and watch until cancelled, with backoff after each failure."""
        while True:
            await self.read_gate.wait()
            try:
                await self.step()
            except (PlatformCompactedError, PlatformRestoredError) as error:
                self.record_failure(error)
                # Changes were missed, so a full read is needed.
                self.store_cache.progress.needs_full_read = True
            except PlatformAnswerTooLargeError as error:
                logger.info(
                    'changes left for a whole reading',
                    extra={
                        'revision': show_revision(self.store_cache.revision),
                        'expected_bytes': error.expected,
                        'whole_bytes': self.store_cache.full_read_bytes(),
                    },
                )
                self.store_cache.progress.needs_full_read = True
            except BurdocksillError as error:
                self.read_gate.called(answered=False)
                self.record_failure(error)
                await trio.sleep(self.backoff * self.rng.uniform(0.5, 1))
                self.backoff = min(self.backoff * 2, MAX_BACKOFF_SECONDS)

    async def step(self) -> None:
        """Read all keys if that is needed, else wait for changes."""
        progress = self.store_cache.progress
        asked_at = progress.now()
        if not progress.revision or progress.needs_full_read:
            found = await self.source.read_prefix(self.prefix)
            self.store_cache.apply_snapshot(found, asked_at)
        else:
            found = await self.changes()
        self.backoff = FIRST_BACKOFF_SECONDS
        self.state_logger.log_change(
            'store followed', revision=show_revision(found.revision)
        )
        self.read_gate.called(answered=True)
        if found.values:
            await trio.sleep(BATCH_SECONDS)

    async def changes(self) -> Snapshot:
        """Wait for changes and apply them; retry once after a time-out.

        A dead connection shows only by the missing answer, so the first call
        has a short margin. With the long margin that a slow store needs, all
        peers that rely on this node would read the store themselves meanwhile.
        """
        try:
            return await self.watch_once(self.wait_seconds(), self.margin())
        except PlatformUnavailableError as error:
            if not error.timed_out:
                raise
            logger.info(
                'watch made again',
                extra={
                    'revision': show_revision(self.store_cache.revision),
                    'age_s': round(self.store_cache.age(), 3),
                    'cause': str(error),
                },
            )
        return await self.watch_once(
            MIN_WAIT_SECONDS,
            MAX_MARGIN_SECONDS,
        )

    async def watch_once(self, wait: float, margin: float) -> Snapshot:
        """Make one watch call and apply its changes."""
        progress = self.store_cache.progress
        asked_at = progress.now()
        found = await self.source.changes(
            prefix=self.prefix,
            after=progress.revision,
            wait=wait,
            largest=self.max_change_bytes(),
            margin=margin,
        )
        elapsed = progress.now() - asked_at
        if elapsed > wait:
            # The wait has run out; the rest is the duration of the call.
            self.call_duration_seconds = elapsed - wait
        self.store_cache.apply_changes(
            found, asked_at + found.unchanged_seconds
        )
        return found

    def margin(self) -> float:
        """Return the seconds after the wait in which an answer must begin."""
        usual = self.call_duration_seconds * CALL_FACTOR
        return min(max(usual, MIN_MARGIN_SECONDS), MAX_MARGIN_SECONDS)

    def wait_seconds(self) -> float:
        """Return the seconds for which the store may hold the next call."""
        remaining = MAX_AGE_SECONDS - self.store_cache.age()
        return min(max(remaining, MIN_WAIT_SECONDS), MAX_AGE_SECONDS)

    def max_change_bytes(self) -> int:
        """Return the size up to which changes are read, in bytes.

        Changes contain every version of a value, a full read only the newest.
        On a slow link, a node that reads changes larger than a full read would
        fall further behind with each answer.
        """
        return max(self.store_cache.full_read_bytes(), SMALL_ANSWER_BYTES)

    def record_failure(self, error: BurdocksillError) -> None:
        """Record and log a failed call; the cached state stays in force."""
        now = self.store_cache.clock()
        self.store_cache.updater.mark_store_unavailable(now)
        self.state_logger.log_change(
            'store lost',
            level=logging.WARNING,
            revision=show_revision(self.store_cache.revision),
            cause=str(error),
        )
        if isinstance(error, PlatformTruncatedAnswerError):
            # Logged each time: if it repeats, no answer arrives in time.
            logger.warning(
                'answer cut short',
                extra={
                    'revision': show_revision(self.store_cache.revision),
                    'received_bytes': error.received,
                    'expected_bytes': error.expected,
                },
            )
