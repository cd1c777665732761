"""Protocols of the parts that handle an upstream."""

from collections.abc import AsyncGenerator, Iterable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from burdocksill.documents.models import Upstream
from burdocksill.upstreams.messages import (
    Identity,
    UpstreamAnswer,
    UpstreamHint,
    UpstreamRequest,
)


class UpstreamClient(Protocol):
    """Send requests to one upstream."""

    @property
    def connected(self) -> bool:
        """Return True while there is a verified connection."""

    @property
    def instance(self) -> str:
        """Return the last verified instance, or an empty string."""

    @property
    def leaving(self) -> bool:
        """Return True when the upstream reports that it is draining."""

    async def run(self) -> None:
        """Keep a verified connection until cancelled."""

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Return a complete answer, or raise RequestFailedError."""

    def feed(self, request: UpstreamRequest) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, or raise RequestFailedError."""


class IdentityVerifier(Protocol):
    """Verify that an upstream is the one that the document names."""

    def verify(
        self, *, service: str, upstream: Upstream, seen: Identity
    ) -> None:
        """Raise IdentityMismatchError when it is not."""


class Limiter(Protocol):
    """Limit the concurrent requests of one upstream."""

    @property
    def cold(self) -> bool:
        """Return True while the upstream may not have all its slots."""

    @property
    def paused(self) -> bool:
        """Return True while nothing is admitted, after silence or shedding."""

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""

    @property
    def free(self) -> int:
        """Return how many requests would be admitted at once."""

    def slot(self, *, deadline: float) -> AbstractAsyncContextManager[None]:
        """Hold one slot, or raise RequestFailedError (not run).

        The limiter adapts to the error that leaves the block, or to success.
        """

    def start_cold(self, *, cause: str, silence_seconds: float = 0) -> None:
        """Return to the cold limit; admit nothing for `silence_seconds`."""

    def resume(self, limit: int) -> None:
        """Continue with the limit that the previous owner handed over."""

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Count the previous owner's requests in progress for `seconds`."""

    def release_inherited(self, key: bytes) -> None:
        """Stop counting a previous owner's request that has ended."""

    def apply_load_report(self, bearable: int) -> None:
        """Apply the concurrency that the upstream reports it can handle."""


class HintSource(Protocol):
    """Return hints on the upstreams that this VM owns, for gossip."""

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return one hint for each owned upstream."""


class HintSink(Protocol):
    """Store the hints that other owners send."""

    def store_hints(self, owner: str, hints: tuple[UpstreamHint, ...]) -> None:
        """Store the hints that one owner has sent."""
