"""Planned shutdown of an entry VM."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import attrs
import trio

# Maximum duration of a planned shutdown, even if successors are lost.
STOP_SECONDS: Final = 30.0
LINGER_SECONDS: Final = 2.0


class ShutdownPolicy(Protocol):
    """Shut down an entry VM."""

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return when the process may exit."""


@attrs.define(kw_only=True)
class GracefulShutdown:
    """Leave, hand over, wait for requests in progress, then linger.

    The fabric and other VMs send packets to this VM until they learn of its
    leave. Exiting at once would lose these packets and abort the requests in
    progress; while it lingers this VM relays the packets to the successors.
    """

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return when the process may exit, after STOP_SECONDS at most."""
        with trio.move_on_after(STOP_SECONDS):
            await leave()
            await hand_over()
            await trio.sleep(LINGER_SECONDS)


@attrs.define(kw_only=True)
class ImmediateShutdown:
    """Exit at once: baseline without a handover, for control runs."""

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()
