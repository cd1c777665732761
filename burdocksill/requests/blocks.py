"""Bodies and answers larger than one datagram, in blocks (RFC 7959)."""

from random import Random
from typing import Final, Protocol

import attrs
import trio

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

ETAG_BYTES: Final = 8
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# RFC 7252, section 4.8.2 (MAX_TRANSMIT_WAIT): a caller that was silent for
# longer has given up its repeats.
IDLE_TIMEOUT_SECONDS: Final = 93
# A caller that asks for no block for this long is not waited for.
FETCH_TIMEOUT_SECONDS: Final = 5
# How often a VM that stops looks whether its answers were fetched.
POLL_SECONDS: Final = 0.1
# One VM keeps at most this much of answers and bodies in transfer.
MAX_STORED_BYTES: Final = 32 * 1024 * 1024
# New requests are refused before they run while less than this is free, so
# that the answers of those already running still find room.
HEADROOM_BYTES: Final = 8 * 1024 * 1024
CONTINUE: Final = 'CONTINUE'


@attrs.frozen(kw_only=True)
class TransferKey:
    """Name one transfer; `tag` is its ETag or Request-Tag."""

    service: str
    flow_id: bytes
    tag: bytes


@attrs.define(kw_only=True)
class StoredAnswer:
    """Hold a whole answer until its blocks were fetched."""

    answer: Answer
    used_at: float
    fetched: bool = False


@attrs.define(kw_only=True)
class PartialBody:
    """Hold the blocks of a request's body that have arrived."""

    used_at: float
    # By where each block starts, so that a change of block size is harmless.
    blocks: dict[int, bytes] = attrs.field(factory=dict)

    @property
    def size(self) -> int:
        """Return how many bytes have arrived."""
        return sum(len(block) for block in self.blocks.values())


class AnswerStore(Protocol):
    """Cut answers into blocks and serve the blocks after the first."""

    def require_capacity(self) -> None:
        """Raise RequestFailedError (not run) when no answer would fit."""

    def first_block(
        self, flow_id: bytes, request: CallerRequest, answer: Answer
    ) -> Answer:
        """Return an answer, or its first block when it is larger."""

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Return a later block; None lets the request run."""

    def fetching_count(self) -> int:
        """Return how many answers are being fetched right now."""


def asks_later_block(request: CallerRequest) -> bool:
    """Return True for a request for a block after the first."""
    return request.block2 is not None and request.block2.number > 0


def slice_block(answer: Answer, wanted: Block) -> Answer:
    """Return one block of a whole answer."""
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
    """Keep each answer under an ETag of its own.

    Callers name the ETag with each later block. Without it two answers of
    one path would be mixed, and a later block of a POST would run it again.
    """

    rng: Random
    limit_bytes: int = MAX_STORED_BYTES
    headroom_bytes: int = HEADROOM_BYTES
    used_bytes: int = 0
    stored: dict[TransferKey, StoredAnswer] = attrs.field(factory=dict)

    def require_capacity(self) -> None:
        """Raise RequestFailedError (not run) when no answer would fit."""
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
        """Return an answer, or keep it and return its first block."""
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
        whole = attrs.evolve(answer, etag=self.rng.randbytes(ETAG_BYTES))
        key = TransferKey(
            service=request.service, flow_id=flow_id, tag=whole.etag
        )
        self.stored[key] = StoredAnswer(
            answer=whole, used_at=trio.current_time()
        )
        self.used_bytes += size
        return slice_block(whole, wanted)

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Return a later block of the answer that the ETag names."""
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
        """Return how many answers are being fetched right now."""
        oldest = trio.current_time() - FETCH_TIMEOUT_SECONDS
        return sum(
            1
            for entry in self.stored.values()
            if not entry.fetched and entry.used_at >= oldest
        )

    def free_space(self, size: int) -> None:
        """Drop idle answers, then the oldest of those fetched whole.

        A fetched answer is otherwise kept a while, since the datagram with
        its last block may have been lost and be asked for again.
        """
        self.drop_idle()
        for key in [
            known for known, stored in self.stored.items() if stored.fetched
        ]:
            if self.used_bytes + size <= self.limit_bytes:
                return
            self.drop(key)

    def drop_idle(self) -> None:
        """Drop the answers whose callers have given up."""
        oldest = trio.current_time() - IDLE_TIMEOUT_SECONDS
        for key in [
            known
            for known, stored in self.stored.items()
            if stored.used_at < oldest
        ]:
            self.drop(key)

    def drop(self, key: TransferKey) -> None:
        """Drop one answer."""
        entry = self.stored.pop(key)
        self.used_bytes -= len(entry.answer.payload)


@attrs.define(kw_only=True)
class RerunAnswerStore:
    """Keep nothing and run the request again for each block.

    The naive baseline of the control runs: blocks come from different runs.
    """

    def require_capacity(self) -> None:
        """Need no room."""

    def first_block(
        self, flow_id: bytes, request: CallerRequest, answer: Answer
    ) -> Answer:
        """Return the block that was asked for, of this run's answer."""
        wanted = request.block2 or Block(number=0)
        if len(answer.payload) <= wanted.size:
            return answer
        return slice_block(answer, wanted)

    def later_block(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Let the request run again."""

    def fetching_count(self) -> int:
        """Keep nothing that could wait."""
        return 0


@attrs.define(kw_only=True)
class BodyAssembler:
    """Put the blocks of request bodies together, in any order."""

    limit_bytes: int = MAX_STORED_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    partial: dict[TransferKey, PartialBody] = attrs.field(factory=dict)
    used_bytes: int = 0

    def add(self, flow_id: bytes, request: CallerRequest) -> None:
        """Keep one block, or raise RequestFailedError (not run)."""
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
        """Return the body that a block belongs to."""
        now = trio.current_time()
        for idle in [
            known
            for known, body in self.partial.items()
            if body.used_at < now - IDLE_TIMEOUT_SECONDS
        ]:
            self.drop(idle)
        body = self.partial.setdefault(
            self.key(flow_id, request), PartialBody(used_at=now)
        )
        body.used_at = now
        return body

    def complete(self, flow_id: bytes, request: CallerRequest) -> CallerRequest:
        """Return a request with its whole body, after the last block."""
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
        """Name the body that a request's block belongs to."""
        return TransferKey(
            service=request.service,
            flow_id=flow_id,
            tag=request.request_tag,
        )


@attrs.define(kw_only=True)
class Transfers:
    """Hold one VM's answers and bodies in transfer."""

    answers: AnswerStore
    bodies: BodyAssembler = attrs.field(factory=BodyAssembler)

    def answer_part(
        self, flow_id: bytes, request: CallerRequest
    ) -> Answer | None:
        """Answer a request for a part, None for one that has to run.

        Parts never reach the at-most-once window: they run nothing, and
        each has a token of its own.
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
        """Return when no answer is being fetched; a planned stop waits so."""
        while self.answers.fetching_count():  # noqa: ASYNC110
            await trio.sleep(POLL_SECONDS)

    def whole_request(
        self, flow_id: bytes, request: CallerRequest
    ) -> CallerRequest:
        """Return a request with its whole body; refuse it without room."""
        self.answers.require_capacity()
        return self.bodies.complete(flow_id, request)
