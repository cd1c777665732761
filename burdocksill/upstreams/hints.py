"""What this VM tells others of its upstreams, and what others told it."""

from collections.abc import Callable
from typing import Final

import attrs
import trio

from burdocksill.upstreams.messages import UpstreamHint

# A hint older than this says nothing: its owner is silent or cut off.
HINT_LIFETIME_SECONDS: Final = 5.0


@attrs.frozen(kw_only=True)
class HintKey:
    """Name an upstream of a service."""

    service: str
    upstream: str


@attrs.define(kw_only=True)
class ReceivedHint:
    """Hold a hint, when it came, and what was placed here since."""

    hint: UpstreamHint
    at: float
    placed: int = 0


@attrs.define(kw_only=True)
class HintTable:
    """Implement HintSource and HintSink on one VM."""

    # Returns the hints of the upstreams that this VM owns now.
    own: Callable[[], tuple[UpstreamHint, ...]]
    held: dict[HintKey, ReceivedHint] = attrs.field(factory=dict)

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return one hint for each owned upstream."""
        return self.own()

    def store_hints(self, owner: str, hints: tuple[UpstreamHint, ...]) -> None:
        """Remember the hints of one owner."""
        now = trio.current_time()
        for hint in hints:
            key = HintKey(service=hint.service, upstream=hint.upstream)
            self.held[key] = ReceivedHint(hint=hint, at=now)

    def find(self, service: str, upstream: str) -> ReceivedHint | None:
        """Return a hint that is fresh enough to say something."""
        key = HintKey(service=service, upstream=upstream)
        held = self.held.get(key)
        if held is None:
            return None
        if trio.current_time() - held.at > HINT_LIFETIME_SECONDS:
            return None
        return held

    def refresh_local(self) -> None:
        """Take this VM's own upstreams as they are now."""
        self.store_hints('', self.own())

    def record_placement(self, service: str, upstream: str) -> None:
        """Remember a placement that the hint can't show yet."""
        held = self.held.get(HintKey(service=service, upstream=upstream))
        if held is not None:
            held.placed += 1
