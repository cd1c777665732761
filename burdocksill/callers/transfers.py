"""Send bodies and fetch answers in blocks (RFC 7959), some at a time."""

import math
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

import attrs
import trio

from burdocksill.callers.roundtrip import RoundTrip
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

# RFC 9177, section 7.2 (MAX_PAYLOADS): blocks under way before a pause.
BLOCKS_IN_FLIGHT: Final = 10
BLOCK_BYTES: Final = 1024
# One with the cookie of the former address, one with that of the new.
ADDRESS_ATTEMPTS: Final = 2
CONTINUE: Final = 'CONTINUE'

# Sends one request until its answer arrives.
Attempt = Callable[[CallerRequest, RoundTrip], Awaitable[Answer]]


def answer_lost(message: str) -> Answer:
    """Say that a request ran and the rest of its answer is gone."""
    return Answer(
        code='REQUEST_ENTITY_INCOMPLETE',
        verdict=Verdict.RAN,
        reason=Reason.ANSWER_LOST,
        message=message,
    )


@attrs.define(kw_only=True)
class BlockTransfer:
    """Carry out numbered requests, some at a time, until one fails."""

    attempt: Attempt
    make_request: Callable[[Block], CallerRequest]
    accept: Callable[[Block, Answer], bool]
    timeout_seconds: float
    roundtrip: RoundTrip
    failure: Answer | None = None

    async def run(self, numbers: range) -> Answer | None:
        """Return None when every block went through, else what failed."""
        waiting = iter(numbers)
        async with trio.open_nursery() as nursery:
            for _ in range(min(BLOCKS_IN_FLIGHT, len(numbers))):
                nursery.start_soon(self.work, waiting, nursery.cancel_scope)
        return self.failure

    async def work(
        self, waiting: Iterator[int], scope: trio.CancelScope
    ) -> None:
        """Carry one block after the other; the first failure ends all."""
        for number in waiting:
            answer = await self.carry(Block(number=number))
            if answer is not None:
                self.failure = answer
                scope.cancel()
                return

    async def carry(self, block: Block) -> Answer | None:
        """Carry one block; return an answer only when it failed."""
        with trio.move_on_after(self.timeout_seconds):
            for _ in range(ADDRESS_ATTEMPTS):
                request = self.make_request(block)
                answer = await self.attempt(request, self.roundtrip)
                if self.accept(block, answer):
                    return None
                if answer.reason is not Reason.ADDRESS_CHANGED:
                    break
            return answer
        return Answer(
            code='GATEWAY_TIMEOUT',
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.DEADLINE_PASSED,
            message=f'no block within {self.timeout_seconds} s',
        )


@attrs.define(kw_only=True)
class AnswerFetch:
    """Fetch the later blocks of one answer and put them together.

    Every block names the first one's ETag, so that no other answer's block
    can get in between, and the cookie that the request itself carried: it
    leads to the VM that keeps the answer.
    """

    request: CallerRequest
    first: Answer
    new_token: Callable[[CallerRequest], CallerRequest]
    blocks: dict[int, bytes] = attrs.field(factory=dict)

    def numbers(self) -> range:
        """Return the numbers of the blocks that are missing."""
        size = self.first.size2 or len(self.first.payload)
        return range(1, math.ceil(size / BLOCK_BYTES))

    def make_request(self, block: Block) -> CallerRequest:
        """Ask for one block of this answer."""
        return attrs.evolve(
            self.new_token(self.request),
            payload=b'',
            block1=None,
            block2=block,
            etag=self.first.etag,
        )

    def accept(self, block: Block, answer: Answer) -> bool:
        """Take a block of this answer."""
        if answer.reason is Reason.ADDRESS_CHANGED and answer.cookie:
            self.request = attrs.evolve(self.request, cookie=answer.cookie)
        if answer.reason is not None or answer.etag != self.first.etag:
            return False
        if answer.block2 is None or answer.block2.number != block.number:
            return False
        self.blocks[block.number] = answer.payload
        return True

    def whole(self) -> Answer:
        """Return the answer with all its bytes."""
        parts = [self.blocks[number] for number in self.numbers()]
        payload = b''.join((self.first.payload, *parts))
        if self.first.size2 not in {None, len(payload)}:
            return answer_lost(f'{len(payload)} of {self.first.size2} bytes')
        return attrs.evolve(self.first, payload=payload, block2=None)


@attrs.define(kw_only=True)
class BodySend:
    """Send all blocks of a body but the last, which is the request itself."""

    request: CallerRequest
    new_token: Callable[[CallerRequest], CallerRequest]

    @property
    def last(self) -> int:
        """Return the number of the last block."""
        return (len(self.request.payload) - 1) // BLOCK_BYTES

    def make_request(self, block: Block) -> CallerRequest:
        """Send one block that others follow."""
        return attrs.evolve(
            self.new_token(self.request),
            payload=self.slice(block),
            block1=attrs.evolve(block, more=True),
            size1=len(self.request.payload),
        )

    def accept(self, block: Block, answer: Answer) -> bool:
        """Go on when the owner has taken the block."""
        return answer.code == CONTINUE

    def final_request(self) -> CallerRequest:
        """Return the request with the last block of its body."""
        block = Block(number=self.last)
        return attrs.evolve(
            self.request, payload=self.slice(block), block1=block
        )

    def slice(self, block: Block) -> bytes:
        """Return one block of the body."""
        return self.request.payload[block.start : block.start + block.size]
