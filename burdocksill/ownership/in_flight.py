"""Counting of requests in progress, so that a shutdown can await them."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio


@attrs.define(kw_only=True)
class InFlightRequests:
    """Count requests in progress and wake waiters when none is left."""

    running: int = 0
    idle: trio.Event = attrs.field(factory=trio.Event)

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request as in progress while the block runs."""
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self.notify_if_idle()

    def notify_if_idle(self) -> None:
        """Wake the waiting tasks if no request is in progress."""
        if self.running == 0:
            self.idle.set()
            self.idle = trio.Event()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        while self.running:
            await self.idle.wait()
