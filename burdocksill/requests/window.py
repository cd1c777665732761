"""At-most-once window: all request tokens received under one epoch."""

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

# A token is stored until no caller can await a copy of its request.
RETENTION_SECONDS: Final = COOKIE_LIFETIME_SECONDS + EXCHANGE_LIFETIME_SECONDS
# An answer is stored in full only while its caller may retransmit the request.
# A later duplicate is answered with the verdict alone.
ANSWER_RETENTION_SECONDS: Final = 60
DIGEST_BYTES: Final = 4

# Shared by all entries, as a window holds hundreds of thousands of them.
DROPPED_ANSWER: Final = Answer(
    code='BAD_GATEWAY',
    verdict=Verdict.RAN,
    reason=Reason.ANSWER_DROPPED,
    message='the request ran; its answer is no longer kept',
    max_age_seconds=0,
)

RequestKey = NewType('RequestKey', bytes)


class ClaimState(enum.StrEnum):
    """List the states of a request in the window."""

    FRESH = 'fresh'
    RUNNING = 'running'
    SETTLED = 'settled'
    # The token is in use by another request.
    MISMATCH = 'mismatch'


@attrs.frozen(kw_only=True)
class Claim:
    """Hold the state of a request, and its answer if it is settled."""

    state: ClaimState
    answer: Answer | None = None


@attrs.define(kw_only=True)
class WindowEntry:
    """Store one request; it is running until it has an answer."""

    expires_at: float
    digest: bytes
    answer: Answer | None = None
    # It runs at the previous owner, which will report its answer.
    runs_at_previous_owner: bool = False


@attrs.frozen(kw_only=True)
class AnswerExpiry:
    """Hold the key of an answer and the end of its full retention."""

    expires_at: float
    key: RequestKey


class RequestWindow(Protocol):
    """Store requests so that none runs twice."""

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Claim a new request for dispatch; return the state it had."""

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Return the state of a request without claiming it."""

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Store a request's final answer, which may be a refusal."""

    def drop_expired(self, now: float) -> None:
        """Drop expired requests and the payloads of expired answers."""

    def entries(self) -> Iterator[tuple[RequestKey, WindowEntry]]:
        """Return all entries, oldest first, for a handover."""

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Add an entry handed over by the previous owner."""

    def __len__(self) -> int:
        """Return the number of stored requests."""


def request_key(flow_id: bytes, token: bytes) -> RequestKey:
    """Return the key that all copies of a request share."""
    return RequestKey(flow_id + token)


def request_digest(request: CallerRequest) -> bytes:
    """Return a short hash to distinguish requests with the same token."""
    digest = hashlib.blake2b(request.payload, digest_size=DIGEST_BYTES)
    digest.update(request.method.encode())
    for part in (*request.path, *request.query):
        digest.update(part.encode())
        digest.update(b'\0')
    return digest.digest()


def expired_answer(answer: Answer) -> Answer:
    """Return what remains of an answer after its retention."""
    return DROPPED_ANSWER if answer.verdict is Verdict.RAN else answer


@attrs.define(kw_only=True)
class TokenWindow:
    """Store every token for as long as a copy of its request can arrive.

    A copy that was delayed or came through another entry VM has the same flow
    and token as the first. It cannot run again, because only the VM that holds
    the epoch dispatches and it claims each token here first.
    """

    # In the order of the claims, so that the oldest entries come first.
    entries_by_key: dict[RequestKey, WindowEntry] = attrs.field(factory=dict)
    answer_expiries: deque[AnswerExpiry] = attrs.field(factory=deque)

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Claim a new request for dispatch; return the state it had."""
        claim = self.find(key, digest)
        if claim.state is ClaimState.FRESH:
            expires_at = now + RETENTION_SECONDS
            self.entries_by_key[key] = WindowEntry(
                expires_at=expires_at, digest=digest
            )
        return claim

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Return the state of a request without claiming it."""
        entry = self.entries_by_key.get(key)
        if entry is None:
            return Claim(state=ClaimState.FRESH)
        if entry.digest != digest:
            return Claim(state=ClaimState.MISMATCH)
        if entry.answer is None:
            return Claim(state=ClaimState.RUNNING)
        return Claim(state=ClaimState.SETTLED, answer=entry.answer)

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Store a request's final answer, which may be a refusal."""
        entry = self.entries_by_key.get(key)
        if entry is None or entry.answer is not None:
            return
        entry.answer = answer
        expires_at = now + ANSWER_RETENTION_SECONDS
        self.answer_expiries.append(
            AnswerExpiry(expires_at=expires_at, key=key)
        )

    def drop_expired(self, now: float) -> None:
        """Drop expired requests and the payloads of expired answers."""
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
        """Return all entries, oldest first, for a handover."""
        return iter(self.entries_by_key.items())

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Add an entry handed over by the previous owner."""
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
        """Return the number of stored requests."""
        return len(self.entries_by_key)


@attrs.define(kw_only=True)
class NoDeduplicationWindow:
    """Store nothing: baseline without deduplication, for control runs."""

    def claim(self, key: RequestKey, digest: bytes, *, now: float) -> Claim:
        """Return FRESH, so that every copy runs."""
        return Claim(state=ClaimState.FRESH)

    def find(self, key: RequestKey, digest: bytes) -> Claim:
        """Return FRESH for every request."""
        return Claim(state=ClaimState.FRESH)

    def settle(self, key: RequestKey, answer: Answer, *, now: float) -> None:
        """Store nothing."""

    def drop_expired(self, now: float) -> None:
        """Do nothing."""

    def entries(self) -> Iterator[tuple[RequestKey, WindowEntry]]:
        """Return nothing."""
        return iter(())

    def restore(self, key: RequestKey, entry: WindowEntry) -> None:
        """Store nothing."""

    def __len__(self) -> int:
        """Return 0."""
        return 0
