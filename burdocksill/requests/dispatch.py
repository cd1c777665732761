"""Dispatch of requests to upstreams within a deadline."""

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
    """Dispatch a request that was claimed in the at-most-once window."""

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
    """Acquire a slot and send the request; fail at its deadline."""

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
        """Acquire a slot, send the request and await the answer."""
        async with self.limiter.slot(deadline=deadline):
            try:
                with trio.fail_at(deadline):
                    return await self.client.exchange(
                        upstream_request(
                            request,
                            flow_id=flow_id,
                            # The wait for a slot has used part of the time.
                            timeout_seconds=deadline - trio.current_time(),
                        ),
                    )
            except trio.TooSlowError as error:
                raise RequestFailedError(
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=Reason.DEADLINE_PASSED,
                ) from error
