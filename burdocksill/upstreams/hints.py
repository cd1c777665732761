"""Hints on upstreams that this VM sends to others and receives from them."""

from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.upstreams.messages import UpstreamHint

# An older hint is ignored: its owner may be down or partitioned.
HINT_LIFETIME_SECONDS: Final = 5.0


@attrs.frozen(kw_only=True)
class HintKey:
    """Identify an upstream of a service."""

    service: str
    upstream: str


@attrs.define(kw_only=True)
class ReceivedHint:
    """Hold a hint, its time of arrival and the flows placed since then."""

    hint: UpstreamHint
    received_at: float
    placed: int = 0


@attrs.define(kw_only=True)
class HintTable:
    """Store hints by upstream; implements HintSource and HintSink."""

    # Returns the hints of the upstreams that this VM owns.
    local_hints: Callable[[], tuple[UpstreamHint, ...]]
    stored: dict[HintKey, ReceivedHint] = attrs.field(factory=dict)

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return one hint for each owned upstream."""
        return self.local_hints()

    def store_hints(self, owner: str, hints: tuple[UpstreamHint, ...]) -> None:
        """Store the hints that one owner has sent."""
        now = trio.current_time()
        for hint in hints:
            key = HintKey(service=hint.service, upstream=hint.upstream)
            self.stored[key] = ReceivedHint(hint=hint, received_at=now)

    def find(self, service: str, upstream: str) -> ReceivedHint | None:
        """Return the hint on an upstream, None when it is missing or old."""
        key = HintKey(service=service, upstream=upstream)
        received = self.stored.get(key)
        if received is None:
            return None
        if trio.current_time() - received.received_at > HINT_LIFETIME_SECONDS:
            return None
        return received

    def refresh_local(self) -> None:
        """Store current hints of the upstreams that this VM owns."""
        self.store_hints('', self.local_hints())

    def record_placement(self, service: str, upstream: str) -> None:
        """Count a placement that the stored hint doesn't include yet."""
        received = self.stored.get(HintKey(service=service, upstream=upstream))
        if received is not None:
            received.placed += 1
