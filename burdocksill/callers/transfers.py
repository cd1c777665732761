"""Blockwise transfer of bodies and answers (RFC 7959), in parallel."""

import math
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

import attrs
import trio

from burdocksill.callers.roundtrip import RoundTrip
from burdocksill.requests.messages import Answer, Block, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict

# RFC 9177, section 7.2 (MAX_PAYLOADS).
BLOCKS_IN_FLIGHT: Final = 10
BLOCK_BYTES: Final = 1024
# One with the cookie of the old address, one with that of the new.
ADDRESS_ATTEMPTS: Final = 2
CONTINUE: Final = 'CONTINUE'

# Sends one request, with retransmissions, until its answer arrives.
Attempt = Callable[[CallerRequest, RoundTrip], Awaitable[Answer]]


def answer_lost(message: str) -> Answer:
    """Return the failure of a request that ran with an incomplete answer."""
    return Answer(
        code='REQUEST_ENTITY_INCOMPLETE',
        verdict=Verdict.RAN,
        reason=Reason.ANSWER_LOST,
        message=message,
    )


@attrs.define(kw_only=True)
class BlockTransfer:
    """Transfer numbered blocks, several at a time, until one fails."""

    attempt: Attempt
    make_request: Callable[[Block], CallerRequest]
    accept: Callable[[Block, Answer], bool]
    timeout_seconds: float
    roundtrip: RoundTrip
    failure: Answer | None = None

    async def run(self, numbers: range) -> Answer | None:
        """Transfer all blocks; return the answer of one that failed."""
        remaining = iter(numbers)
        async with trio.open_nursery() as nursery:
            for _ in range(min(BLOCKS_IN_FLIGHT, len(numbers))):
                nursery.start_soon(
                    self.transfer_remaining,
                    remaining,
                    nursery.cancel_scope,
                )
        return self.failure

    async def transfer_remaining(
        self, remaining: Iterator[int], scope: trio.CancelScope
    ) -> None:
        """Transfer blocks one by one; the first failure cancels the rest."""
        for number in remaining:
            answer = await self.transfer_one(Block(number=number))
            if answer is not None:
                self.failure = answer
                scope.cancel()
                return

    async def transfer_one(self, block: Block) -> Answer | None:
        """Transfer one block; return its answer only when it failed."""
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
    """Fetch the later blocks of one answer and reassemble it.

    Every request names the first block's ETag, so that blocks of different
    answers are not mixed. It carries the cookie of the original request,
    which leads to the VM that stores the answer.
    """

    request: CallerRequest
    first: Answer
    new_token: Callable[[CallerRequest], CallerRequest]
    blocks: dict[int, bytes] = attrs.field(factory=dict)

    def numbers(self) -> range:
        """Return the numbers of the blocks after the first."""
        size = self.first.size2 or len(self.first.payload)
        return range(1, math.ceil(size / BLOCK_BYTES))

    def make_request(self, block: Block) -> CallerRequest:
        """Return the request for one block of this answer."""
        return attrs.evolve(
            self.new_token(self.request),
            payload=b'',
            block1=None,
            block2=block,
            etag=self.first.etag,
        )

    def accept(self, block: Block, answer: Answer) -> bool:
        """Store a block; return False when it is not of this answer."""
        if answer.reason is Reason.ADDRESS_CHANGED and answer.cookie:
            self.request = attrs.evolve(self.request, cookie=answer.cookie)
        if answer.reason is not None or answer.etag != self.first.etag:
            return False
        if answer.block2 is None or answer.block2.number != block.number:
            return False
        self.blocks[block.number] = answer.payload
        return True

    def assemble(self) -> Answer:
        """Return the complete answer, or a failure when bytes are missing."""
        parts = [self.blocks[number] for number in self.numbers()]
        payload = b''.join((self.first.payload, *parts))
        if self.first.size2 not in {None, len(payload)}:
            return answer_lost(f'{len(payload)} of {self.first.size2} bytes')
        return attrs.evolve(self.first, payload=payload, block2=None)


@attrs.define(kw_only=True)
class BodySend:
    """Make the requests that send a body; the last block is the request."""

    request: CallerRequest
    new_token: Callable[[CallerRequest], CallerRequest]

    @property
    def last(self) -> int:
        """Return the number of the last block."""
        return (len(self.request.payload) - 1) // BLOCK_BYTES

    def make_request(self, block: Block) -> CallerRequest:
        """Return the request that sends one block before the last."""
        return attrs.evolve(
            self.new_token(self.request),
            payload=self.slice(block),
            block1=attrs.evolve(block, more=True),
            size1=len(self.request.payload),
        )

    def accept(self, block: Block, answer: Answer) -> bool:
        """Return True when the owner has accepted the block."""
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
