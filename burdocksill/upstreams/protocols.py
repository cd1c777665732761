"""What can be replaced around an upstream."""

from collections.abc import AsyncGenerator
from contextlib import AbstractContextManager
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

    def slot(self, *, deadline: float) -> AbstractContextManager[None]:
        """Hold one slot, or raise RequestFailedError (not run) at once."""


class HintSource(Protocol):
    """Tell what this VM's own upstreams can take, for gossip to carry."""

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return one hint for each owned upstream."""


class HintSink(Protocol):
    """Take what other owners tell of their upstreams."""

    def take_hints(self, owner: str, hints: tuple[UpstreamHint, ...]) -> None:
        """Remember the hints of one owner."""
