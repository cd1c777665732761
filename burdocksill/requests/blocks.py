"""Block-wise transfer of large bodies and answers (RFC 7959)."""

from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

ETAG_BYTES: Final = 8
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# MAX_TRANSMIT_WAIT of RFC 7252, section 4.8.2: after this time without a
# request the caller has stopped its retransmissions.
IDLE_TIMEOUT_SECONDS: Final = 93
# A shutdown does not wait for a caller that requests no block for this long.
FETCH_TIMEOUT_SECONDS: Final = 5
# Interval at which a shutdown checks whether all answers were fetched.
POLL_SECONDS: Final = 0.1
# Limit of one VM, separately for answers and for bodies in transfer.
MAX_STORED_BYTES: Final = 32 * 1024 * 1024
# New requests are refused while less than this is free, so that the answers of
# requests in progress can still be stored.
HEADROOM_BYTES: Final = 8 * 1024 * 1024
CONTINUE: Final = 'CONTINUE'


@attrs.frozen(kw_only=True)
class TransferKey:
    """Identify a transfer; `tag` is its ETag or Request-Tag."""

    service: str
    flow_id: bytes
    tag: bytes


@attrs.define(kw_only=True)
class StoredAnswer:
    """Hold a complete answer until all its blocks are fetched."""

    answer: Answer
    used_at: float
    fetched: bool = False


@attrs.define(kw_only=True)
class PartialBody:
    """Hold the blocks of a request's body that have arrived."""

    used_at: float
    # By the offset of each block, so that the block size may change.
    blocks: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def size(self) -> int:
        """Return the number of received bytes."""
        return sum(len(block) for block in self.blocks.values())


class AnswerStore(Protocol):
    """Split answers into blocks and serve the blocks after the first."""

    def require_capacity(self) -> None:
        """Raise RequestFailedError (not run) if no answer can be stored."""

    def first_block(
        self, flow_id: bytes, request: CallerRequest, answer: Answer
    ) -> Answer:
        """Return the answer, or its first block if it is larger."""

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Return a later block, None if the request has to run again."""

    def fetching_count(self) -> int:
        """Return the number of answers that callers are fetching."""


def asks_later_block(request: CallerRequest) -> bool:
    """Return True for a request for a block after the first."""
    return request.block2 is not None and request.block2.number > 0


def slice_block(answer: Answer, wanted: Block) -> Answer:
    """Return one block of a complete answer."""
    end = wanted.start + wanted.size
    size = len(answer.payload)
    return attrs.evolve(
        answer,
        payload=answer.payload[wanted.start : end],
        block2=attrs.evolve(wanted, more=size > end),
        size2=size,
    )


@attrs.define(kw_only=True)
class EtagAnswerStore:
    """Store each answer under its own ETag.

    Callers send the ETag with the request for each later block. Without it the
    blocks of two answers of one path could be mixed, and a later block of a
    POST would run the request again.
    """

    rng: Random
    limit_bytes: int = MAX_STORED_BYTES
    headroom_bytes: int = HEADROOM_BYTES
    used_bytes: int = 0
    stored: dict[TransferKey, StoredAnswer] = attrs.field(factory=dict)

    def require_capacity(self) -> None:
        """Raise RequestFailedError (not run) if the headroom is not free."""
        self.free_space(self.headroom_bytes)
        if self.used_bytes + self.headroom_bytes > self.limit_bytes:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
                message='too many large answers wait to be fetched',
            )

    def first_block(
        self, flow_id: bytes, request: CallerRequest, answer: Answer
    ) -> Answer:
        """Return the answer, or store it and return its first block."""
        wanted = request.block2 or Block(number=0)
        size = len(answer.payload)
        if size <= wanted.size:
            return answer
        self.free_space(size)
        if self.used_bytes + size > self.limit_bytes:
            raise RequestFailedError(
                verdict=Verdict.RAN,
                reason=Reason.ANSWER_TOO_LARGE,
                message='the answer does not fit beside those being fetched',
            )
        tagged = attrs.evolve(answer, etag=self.rng.randbytes(ETAG_BYTES))
        key = TransferKey(
            service=request.service, flow_id=flow_id, tag=tagged.etag
        )
        self.stored[key] = StoredAnswer(
            answer=tagged, used_at=trio.current_time()
        )
        self.used_bytes += size
        return slice_block(tagged, wanted)

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Return a later block of the answer with the request's ETag."""
        key = TransferKey(
            service=request.service, flow_id=flow_id, tag=request.etag
        )
        entry = self.stored.get(key)
        if entry is None or request.block2 is None:
            raise RequestFailedError(
                verdict=Verdict.RAN,
                reason=Reason.ANSWER_LOST,
                message='the answer is no longer kept here',
            )
        entry.used_at = trio.current_time()
        block = slice_block(entry.answer, request.block2)
        if not block.payload:
            raise RequestFailedError(
                verdict=Verdict.RAN,
                reason=Reason.BAD_REQUEST,
                message='the answer has fewer blocks',
            )
        if block.block2 is not None and not block.block2.more:
            entry.fetched = True
        return block

    def fetching_count(self) -> int:
        """Return the number of answers that callers are fetching."""
        oldest = trio.current_time() - FETCH_TIMEOUT_SECONDS
        return sum(
            1
            for entry in self.stored.values()
            if not entry.fetched and entry.used_at >= oldest
        )

    def free_space(self, size: int) -> None:
        """Drop idle answers, then the oldest of the fully fetched ones.

        Fetched answers are otherwise retained, since the datagram with the
        last block may be lost and requested again.
        """
        self.drop_idle()
        for key in [
            one for one, stored in self.stored.items() if stored.fetched
        ]:
            if self.used_bytes + size <= self.limit_bytes:
                return
            self.drop(key)

    def drop_idle(self) -> None:
        """Drop the answers whose callers have stopped requesting blocks."""
        oldest = trio.current_time() - IDLE_TIMEOUT_SECONDS
        for key in [
            one
            for one, stored in self.stored.items()
            if stored.used_at < oldest
        ]:
            self.drop(key)

    def drop(self, key: TransferKey) -> None:
        """Drop one answer."""
        entry = self.stored.pop(key)
        self.used_bytes -= len(entry.answer.payload)


@attrs.define(kw_only=True)
class RerunAnswerStore:
    """Store nothing and run the request again for each block.

    Baseline for control runs: the blocks come from different runs.
    """

    def require_capacity(self) -> None:
        """Do nothing, as no answer is stored."""

    def first_block(
        self, flow_id: bytes, request: CallerRequest, answer: Answer
    ) -> Answer:
        """Return the requested block of this run's answer."""
        wanted = request.block2 or Block(number=0)
        if len(answer.payload) <= wanted.size:
            return answer
        return slice_block(answer, wanted)

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Return None, so that the request runs again."""

    def fetching_count(self) -> int:
        """Return 0, as no answer is stored."""
        return 0


@attrs.define(kw_only=True)
class BodyAssembler:
    """Assemble request bodies from blocks that arrive in any order."""

    limit_bytes: int = MAX_STORED_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    partial: dict[TransferKey, PartialBody] = attrs.field(factory=dict)
    used_bytes: int = 0

    def add(self, flow_id: bytes, request: CallerRequest) -> None:
        """Store one block; raise RequestFailedError (not run) if refused."""
        block = request.block1
        if block is None:
            return
        if block.more and len(request.payload) != block.size:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.BAD_REQUEST,
                message=f'block {block.number} has not {block.size} bytes',
            )
        size = max(request.size1 or 0, block.start + len(request.payload))
        if size > self.max_body_bytes:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.BODY_TOO_LARGE,
                message=f'a body has at most {self.max_body_bytes} bytes',
            )
        if self.used_bytes + len(request.payload) > self.limit_bytes:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.OVERLOADED,
                message='too many large bodies are on their way',
            )
        body = self.body(flow_id, request)
        if block.start not in body.blocks:
            body.blocks[block.start] = request.payload
            self.used_bytes += len(request.payload)

    def body(self, flow_id: bytes, request: CallerRequest) -> PartialBody:
        """Return the partial body of a block; drop idle bodies first."""
        now = trio.current_time()
        for idle in [
            one
            for one, body in self.partial.items()
            if body.used_at < now - IDLE_TIMEOUT_SECONDS
        ]:
            self.drop(idle)
        body = self.partial.setdefault(
            self.key(flow_id, request), PartialBody(used_at=now)
        )
        body.used_at = now
        return body

    def complete(self, flow_id: bytes, request: CallerRequest) -> CallerRequest:
        """Return a request with its complete body, after the last block."""
        last = request.block1
        if last is None:
            return request
        self.add(flow_id, request)
        key = self.key(flow_id, request)
        blocks = self.partial[key].blocks
        self.drop(key)
        payload = bytearray()
        while len(payload) <= last.start:
            block = blocks.get(len(payload))
            if not block:
                raise RequestFailedError(
                    verdict=Verdict.NOT_RUN,
                    reason=Reason.BODY_INCOMPLETE,
                    message=f'the body lacks its bytes at {len(payload)}',
                )
            payload.extend(block)
        return attrs.evolve(request, payload=bytes(payload))

    def drop(self, key: TransferKey) -> None:
        """Drop one body."""
        self.used_bytes -= self.partial.pop(key).size

    def key(self, flow_id: bytes, request: CallerRequest) -> TransferKey:
        """Return the key of the body to which a block belongs."""
        return TransferKey(
            service=request.service,
            flow_id=flow_id,
            tag=request.request_tag,
        )


@attrs.define(kw_only=True)
class Transfers:
    """Hold the answers and bodies in transfer of one VM."""

    answers: AnswerStore
    bodies: BodyAssembler = attrs.field(factory=BodyAssembler)

    def answer_part(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Answer a request for one block; None if the request has to run.

        Such requests bypass the at-most-once window: they are not dispatched,
        and each has its own token.
        """
        if asks_later_block(request):
            return self.answers.later_block(flow_id, request)
        if request.block1 is None or not request.block1.more:
            return None
        self.bodies.add(flow_id, request)
        return Answer(
            code=CONTINUE,
            verdict=Verdict.NOT_RUN,
            block1=request.block1,
        )

    async def wait_until_fetched(self) -> None:
        """Wait until no answer is being fetched, in a planned shutdown."""
        while self.answers.fetching_count():  # noqa: ASYNC110
            await trio.sleep(POLL_SECONDS)

    def whole_request(
        self, flow_id: bytes, request: CallerRequest
    ) -> CallerRequest:
        """Return a complete request; refuse it if no answer can be stored."""
        self.answers.require_capacity()
        return self.bodies.complete(flow_id, request)
