"""The at-most-once window: every token seen under one epoch."""

import enum
import hashlib
from collections import deque
from collections.abc import Iterator
from typing import Final, NewType, Protocol

import attrs

from burdocksill.flows.cookie import (
    COOKIE_LIFETIME_SECONDS,
    EXCHANGE_LIFETIME_SECONDS,
)
from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

# A token is remembered until no copy of its request can be awaited.
RETENTION_SECONDS: Final = COOKIE_LIFETIME_SECONDS + EXCHANGE_LIFETIME_SECONDS
# The answer itself is kept only while its caller may still repeat the
# request; after that a copy is told that the request ran.
ANSWER_RETENTION_SECONDS: Final = 60
DIGEST_BYTES: Final = 4

# One for all: a window holds hundreds of thousands of them.
DROPPED_ANSWER: Final = Answer(
    code='BAD_GATEWAY',
    verdict=Verdict.RAN,
    reason=Reason.ANSWER_DROPPED,
    message='the request ran; its answer is no longer kept',
    max_age_seconds=0,
)

RequestKey = NewType('RequestKey', bytes)


class ClaimState(enum.StrEnum):
    """Say what the window knows of a request."""

    FRESH = 'fresh'
    RUNNING = 'running'
    SETTLED = 'settled'
    # The token stands for another request already.
    MISMATCH = 'mismatch'


@attrs.frozen(kw_only=True)
class Claim:
    """Hold the window's word; `answer` is set when it is settled."""

    state: ClaimState
    answer: Answer | None = None


@attrs.define(kw_only=True)
class WindowEntry:
    """Remember one request; it is running until it has an answer."""

    expires_at: float
    digest: bytes
    answer: Answer | None = None
    # It runs at the former holder of the epoch, which tells its end.
    runs_at_previous_owner: bool = False


@attrs.frozen(kw_only=True)
class AnswerExpiry:
    """Name an answer and the time until which it is kept whole."""

    expires_at: float
    key: RequestKey


class RequestWindow(Protocol):
    """Remember requests so that none runs twice."""

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Claim a request for dispatch, or tell what became of it."""

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Tell what is known of a request without claiming it."""

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Keep a request's final answer, refusals included."""

    def drop_expired(self, now: float) -> None:
        """Drop what nobody can ask for any more."""

    def entries(self) -> Iterator[tuple[RequestKey, WindowEntry]]:
        """Return what is remembered, oldest first, for a handover."""

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Take an entry that the former holder of the epoch remembered."""

    def __len__(self) -> int:
        """Return how many requests are remembered."""


def request_key(flow_id: bytes, token: bytes) -> RequestKey:
    """Return the key that all copies of a request share."""
    return RequestKey(flow_id + token)


def request_digest(request: CallerRequest) -> bytes:
    """Return a short hash that tells requests with one token apart."""
    digest = hashlib.blake2b(request.payload, digest_size=DIGEST_BYTES)
    digest.update(request.method.encode())
    for part in (*request.path, *request.query):
        digest.update(part.encode())
        digest.update(b'\0')
    return digest.digest()


def expired_answer(answer: Answer) -> Answer:
    """Return what is remembered of an answer after its retention."""
    return DROPPED_ANSWER if answer.verdict is Verdict.RAN else answer


@attrs.define(kw_only=True)
class TokenWindow:
    """Keep every token for as long as a copy of it can be awaited.

    A copy that was delayed or sprayed over another entry VM shows as a second
    request with the same flow and token. It cannot run again, because only
    the holder of the epoch dispatches and it claims each token here first.
    """

    # Claims come in the order of time, so the oldest entries stand first.
    entries_by_key: dict[RequestKey, WindowEntry] = attrs.field(factory=dict)
    answer_expiries: deque[AnswerExpiry] = attrs.field(factory=deque)

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Claim a request for dispatch, or tell what became of it."""
        claim = self.find(key, digest)
        if claim.state is ClaimState.FRESH:
            expires_at = now + RETENTION_SECONDS
            self.entries_by_key[key] = WindowEntry(
                expires_at=expires_at, digest=digest
            )
        return claim

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Tell what is known of a request without claiming it."""
        entry = self.entries_by_key.get(key)
        if entry is None:
            return Claim(state=ClaimState.FRESH)
        if entry.digest != digest:
            return Claim(state=ClaimState.MISMATCH)
        if entry.answer is None:
            return Claim(state=ClaimState.RUNNING)
        return Claim(state=ClaimState.SETTLED, answer=entry.answer)

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Keep a request's final answer, refusals included."""
        entry = self.entries_by_key.get(key)
        if entry is None or entry.answer is not None:
            return
        entry.answer = answer
        expires_at = now + ANSWER_RETENTION_SECONDS
        self.answer_expiries.append(
            AnswerExpiry(expires_at=expires_at, key=key)
        )

    def drop_expired(self, now: float) -> None:
        """Drop what nobody can ask for any more."""
        while self.answer_expiries and self.answer_expiries[0].expires_at < now:
            entry = self.entries_by_key.get(self.answer_expiries.popleft().key)
            if entry is not None and entry.answer is not None:
                entry.answer = expired_answer(entry.answer)
        expired = []
        for key, entry in self.entries_by_key.items():
            if entry.expires_at >= now:
                break
            expired.append(key)
        for old in expired:
            self.entries_by_key.pop(old)

    def entries(self) -> Iterator[tuple[RequestKey, WindowEntry]]:
        """Return what is remembered, oldest first, for a handover."""
        return iter(self.entries_by_key.items())

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Take an entry that the former holder of the epoch remembered."""
        entry.runs_at_previous_owner = entry.answer is None
        self.entries_by_key[key] = entry
        if entry.answer is not None:
            expires_at = (
                entry.expires_at - RETENTION_SECONDS + ANSWER_RETENTION_SECONDS
            )
            self.answer_expiries.append(
                AnswerExpiry(expires_at=expires_at, key=key)
            )

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self.entries_by_key)


@attrs.define(kw_only=True)
class NoDeduplicationWindow:
    """Remember nothing: the naive baseline of the control runs."""

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Let every copy run."""
        return Claim(state=ClaimState.FRESH)

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Know nothing."""
        return Claim(state=ClaimState.FRESH)

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Keep nothing."""

    def drop_expired(self, now: float) -> None:
        """Have nothing to drop."""

    def entries(self) -> Iterator[tuple[RequestKey, WindowEntry]]:
        """Return nothing."""
        return iter(())

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Keep nothing."""

    def __len__(self) -> int:
        """Return 0."""
        return 0
