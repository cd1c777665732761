"""Cancellation of running requests by their callers (same token)."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.messages import Answer
from burdocksill.requests.refusals import refusal
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.requests.window import RequestKey


@attrs.define(kw_only=True)
class Cancellations:
    """Hold a cancel scope for each running request."""

    scopes: dict[RequestKey, trio.CancelScope] = attrs.field(factory=dict)

    async def run(
        self, key: RequestKey, work: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Return the answer of the work, or a refusal once it is cancelled.

        Leaving the scope resets the stream (CANCEL), so that the upstream may
        stop. Whether the request has run is unknown.
        """
        with trio.CancelScope() as scope:
            self.scopes[key] = scope
            try:
                return await work()
            finally:
                self.scopes.pop(key, None)
        failure = RequestFailedError(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.CANCELLED,
        )
        return refusal(failure)

    def cancel(self, key: RequestKey) -> None:
        """Cancel a request if it is running."""
        scope = self.scopes.get(key)
        if scope is not None:
            scope.cancel()
