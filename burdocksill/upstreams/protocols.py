"""What can be replaced around an upstream."""

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
    """Carry requests to one upstream."""

    @property
    def connected(self) -> bool:
        """Return True while there is a verified connection."""

    @property
    def instance(self) -> str:
        """Return the instance that was verified last, empty before."""

    @property
    def leaving(self) -> bool:
        """Return True when the upstream itself says that it leaves."""

    async def run(self) -> None:
        """Keep a verified connection until cancelled."""

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Return a whole answer, or raise RequestFailedError."""

    def feed(self, request: UpstreamRequest) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, or raise RequestFailedError."""


class IdentityVerifier(Protocol):
    """Decide whether an upstream is the one the document names."""

    def verify(
        self, *, service: str, upstream: Upstream, seen: Identity
    ) -> None:
        """Raise IdentityMismatchError when it is not."""


class Limiter(Protocol):
    """Count the work of one upstream against what it can bear."""

    @property
    def cold(self) -> bool:
        """Return True while the upstream may not have all its slots."""

    @property
    def paused(self) -> bool:
        """Return True while nothing is admitted: silence, or shedding."""

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""

    @property
    def free(self) -> int:
        """Return how many requests would be admitted without a wait."""

    def slot(self, *, deadline: float) -> AbstractAsyncContextManager[None]:
        """Hold one slot, or raise RequestFailedError (not run).

        The limiter learns from the error that leaves the block, or from none.
        """

    def start_cold(self, *, cause: str, silence_seconds: float = 0) -> None:
        """Go back to the cold limit, after a silence where one is needed."""

    def resume(self, limit: int) -> None:
        """Go on from the limit that the owner before handed over."""

    def add_inherited(
        self, running: Iterable[bytes], *, seconds: float
    ) -> None:
        """Count requests that the owner before still has in progress."""

    def release_inherited(self, key: bytes) -> None:
        """Stop counting one request of the owner before: it has ended."""

    def take_report(self, bearable: int) -> None:
        """Take what the upstream says it can bear at once."""


class HintSource(Protocol):
    """Tell what this VM's own upstreams can take, for gossip to carry."""

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return one hint for each owned upstream."""


class HintSink(Protocol):
    """Take what other owners tell of their upstreams."""

    def store_hints(self, owner: str, hints: tuple[UpstreamHint, ...]) -> None:
        """Remember the hints of one owner."""
