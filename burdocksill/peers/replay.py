"""Refuse datagrams that were accepted before."""

from collections import OrderedDict
from typing import Final

import attrs

# A sender's datagrams may overtake each other by this many places.
WINDOW: Final = 256
# Above the fleet's size, so that no live sender is ever evicted.
SENDER_LIMIT: Final = 32768


@attrs.define(kw_only=True)
class SenderWindow:
    """Remember the last sequence numbers of one sender as a bitmap."""

    newest: int
    seen: int = 1

    def accept(self, sequence: int) -> bool:
        """Return True for a number that is neither seen nor too old."""
        ahead = sequence - self.newest
        if ahead > 0:
            shifted = self.seen << min(ahead, WINDOW)
            self.seen = (shifted | 1) & ((1 << WINDOW) - 1)
            self.newest = sequence
            return True
        if -ahead >= WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


@attrs.define(kw_only=True)
class ReplayGuard:
    """Keep one window for each sender, in bounded memory.

    Whoever records a datagram on the wire can send it again with a signature
    that fits; without this guard an old heartbeat would keep a dead VM alive.
    """

    windows: OrderedDict[bytes, SenderWindow] = attrs.field(
        factory=OrderedDict,
    )

    def accept(self, sender: bytes, sequence: int) -> bool:
        """Return True for a sender's new datagram."""
        window = self.windows.get(sender)
        if window is not None:
            return window.accept(sequence)
        self.windows[sender] = SenderWindow(newest=sequence)
        if len(self.windows) > SENDER_LIMIT:
            self.windows.popitem(last=False)
        return True

    def floor(self, sender: bytes, sequence: int) -> int:
        """Return where a sender has to go on, 0 for a plain copy."""
        newest = self.windows[sender].newest
        return newest if newest - sequence >= WINDOW else 0
