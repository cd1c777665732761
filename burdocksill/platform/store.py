"""Client of the platform's key-value store over HTTP."""

import json
import math
from collections.abc import AsyncGenerator
from typing import Final

import attrs
import h11
import trio

from burdocksill.network.http import AnswerTooLargeError, HttpConnection
from burdocksill.network.reply import HttpReply
from burdocksill.platform.calls import (
    decode_body,
    decode_item,
    decode_items,
    decode_watch,
    key_target,
    range_pages,
    read_era,
    watch_target,
    write_body,
)
from burdocksill.platform.exceptions import (
    PlatformAnswerTooLargeError,
    PlatformCompactedError,
    PlatformRefusedError,
    PlatformReplyError,
    PlatformRestoredError,
    PlatformTruncatedAnswerError,
    PlatformUnavailableError,
)
from burdocksill.platform.protocols import SwapResult
from burdocksill.platform.revisions import era_of, join_revision
from burdocksill.platform.values import Snapshot, StoredValue

# Time until an answer must begin, above what a store in trouble takes.
CALL_TIMEOUT_SECONDS: Final = 1.0
# Default time for which the store may hold a watch call without a change.
WATCH_WAIT_SECONDS: Final = 2.5
# Default time after the wait in which the answer must begin. A dead connection
# shows only by a missing answer.
WATCH_MARGIN_SECONDS: Final = 0.7
MILLISECONDS: Final = 1000
OK: Final = 200
GONE: Final = 410
CONFLICT: Final = 412
NOT_FOUND: Final = 404


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreClient:
    """Client of the store that makes one call at a time on one connection."""

    connection: HttpConnection
    # Number of calls by HTTP status; 0 for calls without an answer.
    calls: dict[int, int] = attrs.field(factory=dict)
    received_bytes: int = 0
    # Number of calls whose answer was received only in part.
    truncated: int = 0
    # Highest era of the store in an answer; it rises with each restore.
    era: int = 0

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        timeout: float = CALL_TIMEOUT_SECONDS,
        largest: float = math.inf,
    ) -> HttpReply:
        """Make one call; PlatformUnavailableError: its effect is unknown."""
        try:
            reply = await self.connection.exchange(
                method,
                target,
                body,
                timeout=timeout,
                largest=largest,
            )
        except AnswerTooLargeError as error:
            self.count(OK)
            expected = self.connection.expected
            raise PlatformAnswerTooLargeError(expected=expected) from error
        except (
            OSError,
            h11.ProtocolError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            self.count(0)
            raise self.make_lost_answer_error(
                f'{method} {target}', error
            ) from error
        self.count(reply.status)
        self.era = max(self.era, read_era(reply, self.era))
        if reply.status == GONE:
            raise PlatformCompactedError(revision=0)
        if reply.status not in {OK, CONFLICT, NOT_FOUND}:
            raise PlatformRefusedError(
                message=f'{method} {target} answered {reply.status}',
                hint='the call had no effect; try again after a pause',
            )
        return reply

    def count(self, status: int) -> None:
        """Count a call and its received bytes."""
        self.calls[status] = self.calls.get(status, 0) + 1
        self.received_bytes += self.connection.received

    def make_lost_answer_error(
        self,
        call: str,
        error: Exception,
    ) -> PlatformUnavailableError:
        """Return the error for a call without a complete answer."""
        message = f'{call} got no answer: {error!r}'
        if not self.connection.received:
            error_without_answer = PlatformUnavailableError(
                message=message,
                hint='the store may be down; the state in force is kept',
            )
            error_without_answer.timed_out = isinstance(
                error, trio.TooSlowError
            )
            return error_without_answer
        self.truncated += 1
        return PlatformTruncatedAnswerError(
            message=message,
            received=self.connection.received,
            expected=self.connection.expected,
        )

    async def read(
        self,
        key: str,
        *,
        stale: bool = False,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> StoredValue | None:
        """Return one value, None if the key is absent; see `key_target`."""
        target = key_target(key, stale=stale)
        reply = await self.call('GET', target, timeout=timeout)
        if reply.status == NOT_FOUND:
            return None
        era = read_era(reply, self.era)
        return decode_item(decode_body(target, reply), era)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return all values with a prefix."""
        pages = range_pages(prefix, self.era)
        target = next(pages)
        while True:
            reply = await self.call('GET', target)
            try:
                target = pages.send(reply)
            except StopIteration as done:
                snapshot: Snapshot = done.value
                return snapshot

    async def changes(
        self,
        *,
        prefix: str,
        after: int,
        wait: float = WATCH_WAIT_SECONDS,
        largest: float = math.inf,
        margin: float = WATCH_MARGIN_SECONDS,
    ) -> Snapshot:
        """Wait up to `wait` seconds for changes after a revision.

        Raise PlatformAnswerTooLargeError for changes of more than `largest`
        bytes, PlatformUnavailableError if no answer begins within `margin`
        seconds after the wait, and PlatformRestoredError if the store does not
        have the revision since it was restored.
        """
        target = watch_target(prefix, after, round(wait * MILLISECONDS))
        timeout = wait + margin
        try:
            reply = await self.call(
                'GET',
                target,
                timeout=timeout,
                largest=largest,
            )
        except PlatformCompactedError as error:
            if self.era > era_of(after):
                raise PlatformRestoredError(
                    era=self.era, revision=after
                ) from error
            raise
        found = decode_watch(target, reply, self.era)
        if era_of(found.revision) != era_of(after):
            raise PlatformRestoredError(
                era=era_of(found.revision), revision=after
            )
        if found.values:
            return found
        return found.evolve(unchanged_seconds=wait)

    async def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
    ) -> AsyncGenerator[StoredValue, None]:
        """Yield changes of keys with a prefix, oldest first."""
        after = from_revision - 1
        while True:
            found = await self.changes(prefix=prefix, after=after)
            after = found.revision
            for value in found.values:
                yield value

    async def compare_and_swap(
        self,
        *,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int = 0,
    ) -> SwapResult:
        """Write if the key still has the expected revision (0: absent).

        With a lease, the key is removed when the lease ends.

        If the answer is lost, the write may still take effect later, so the
        key is read back. Either it has the new value, or it still has the
        expected revision and PlatformUnavailableError tells the caller to try
        again with the same condition. Raise PlatformRestoredError if the store
        is known to have been restored since the expected revision: another
        value may have its number now.
        """
        if expected_revision and era_of(expected_revision) < self.era:
            raise PlatformRestoredError(
                era=self.era, revision=expected_revision
            )
        body = write_body(key, value, expected_revision, lease)
        try:
            reply = await self.call('POST', '/-/kv-txn', body)
        except PlatformRefusedError:
            raise
        except PlatformUnavailableError:
            return await self.read_back(key, value, expected_revision)
        era = read_era(reply, self.era)
        if reply.status == OK:
            number = int(decode_body('/-/kv-txn', reply).get('Rev', 0))
            revision = join_revision(era, number)
            written = StoredValue(key=key, value=value, revision=revision)
            return SwapResult(accepted=True, revision=revision, current=written)
        if reply.status == NOT_FOUND:
            raise PlatformRefusedError(
                message=f'{key} was not written: lease {lease} has ended',
                hint='request a new lease',
            )
        # The answer contains the values that are stored now.
        shown = decode_items(decode_body('/-/kv-txn', reply), 'items', era)
        current = next((one for one in shown if one.key == key), None)
        revision = current.revision if current else 0
        return SwapResult(accepted=False, revision=revision, current=current)

    async def grant_lease(self, seconds: float) -> int:
        """Grant a lease of some seconds and return its number."""
        wanted = {'TtlMs': round(seconds * MILLISECONDS)}
        target = '/-/kv-lease'
        reply = await self.call('POST', target, json.dumps(wanted).encode())
        lease = decode_body(target, reply).get('Lease')
        if not isinstance(lease, int):
            raise PlatformReplyError(
                message=f'the lease number is not an integer: {lease!r}',
                hint='check the address of the store',
            )
        return lease

    async def keep_lease_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        reply = await self.call('POST', f'/-/kv-keep/{lease}')
        return reply.status == OK

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        await self.call('DELETE', f'/-/kv-lease-end/{lease}')

    async def read_back(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
    ) -> SwapResult:
        """Return the outcome of a write whose answer was lost."""
        current = await self.read(key)
        revision = current.revision if current else 0
        written = current is not None and current.value == value
        if revision == expected_revision and not written:
            raise PlatformUnavailableError(
                message=f'the write of {key} has not taken effect yet',
                hint='write again with the same expected revision',
            )
        return SwapResult(
            accepted=written,
            revision=revision,
            current=current,
        )
