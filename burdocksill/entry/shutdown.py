"""Stop an entry VM as planned."""

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import attrs
import trio

# A planned stop takes at most this long, whatever becomes of the heirs.
STOP_SECONDS: Final = 30.0
LINGER_SECONDS: Final = 2.0


class ShutdownPolicy(Protocol):
    """Bring the work of a VM to its end."""

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return when the process may end."""


@attrs.define(kw_only=True)
class GracefulShutdown:
    """Leave, hand over, wait for the requests in progress, linger.

    The fabric and other VMs send packets here until they have heard of the
    leave. A VM that ended at once would lose these packets and cut the
    requests that it is serving; lingering passes them on to the heirs.
    """

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return when the process may end, within a bound."""
        with trio.move_on_after(STOP_SECONDS):
            await leave()
            await hand_over()
            await trio.sleep(LINGER_SECONDS)


@attrs.define(kw_only=True)
class ImmediateShutdown:
    """End at once: the naive baseline of the control runs."""

    async def stop(
        self,
        *,
        leave: Callable[[], Awaitable[None]],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()
