"""Carry one request to its upstream within its deadline."""

from typing import Protocol

import attrs
import trio

from burdocksill.observe.tracing import inner_span
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.mapping import caller_answer, upstream_request
from burdocksill.requests.messages import Answer, CallerRequest
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.messages import UpstreamAnswer
from burdocksill.upstreams.protocols import Limiter, UpstreamClient


class Dispatcher(Protocol):
    """Run a request that the at-most-once window has let through."""

    async def dispatch(
        self,
        request: CallerRequest,
        *,
        flow_id: bytes,
        max_seconds: float,
    ) -> Answer:
        """Return the upstream's answer, or raise RequestFailedError."""


@attrs.define(kw_only=True)
class DeadlineDispatcher:
    """Take a slot, send the request and give up at its deadline."""

    limiter: Limiter
    client: UpstreamClient

    async def dispatch(
        self,
        request: CallerRequest,
        *,
        flow_id: bytes,
        max_seconds: float,
    ) -> Answer:
        """Return the upstream's answer, or raise RequestFailedError."""
        seconds = max_seconds
        if request.timeout_seconds:
            seconds = min(seconds, request.timeout_seconds)
        deadline = trio.current_time() + seconds
        with inner_span('upstream'):
            received = await self.exchange(request, flow_id, deadline)
        return caller_answer(request, received)

    async def exchange(
        self,
        request: CallerRequest,
        flow_id: bytes,
        deadline: float,
    ) -> UpstreamAnswer:
        """Wait for a slot and exchange the request until its deadline."""
        async with self.limiter.slot(deadline=deadline):
            try:
                with trio.fail_at(deadline):
                    return await self.client.exchange(
                        upstream_request(
                            request,
                            flow_id=flow_id,
                            # The wait for the slot has used some of it.
                            timeout_seconds=deadline - trio.current_time(),
                        ),
                    )
            except trio.TooSlowError as error:
                raise RequestFailedError(
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=Reason.DEADLINE_PASSED,
                ) from error
