"""Replay protection by sequence numbers."""

from collections import OrderedDict
from typing import Final

import attrs

# Datagrams of a sender may be reordered by up to this many numbers.
WINDOW_SIZE: Final = 256
# Larger than the fleet, so that no live sender is evicted.
MAX_SENDERS: Final = 32768


@attrs.define(kw_only=True)
class SenderWindow:
    """Hold the latest sequence numbers of one sender as a bitmap."""

    newest: int
    seen: int = 1

    def accept(self, sequence: int) -> bool:
        """Accept a sequence number once; return False if seen or too old."""
        ahead = sequence - self.newest
        if ahead > 0:
            shifted = self.seen << min(ahead, WINDOW_SIZE)
            self.seen = (shifted | 1) & ((1 << WINDOW_SIZE) - 1)
            self.newest = sequence
            return True
        if -ahead >= WINDOW_SIZE or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True


@attrs.define(kw_only=True)
class ReplayGuard:
    """Hold a window for each sender, in bounded memory.

    A recorded datagram can be sent again with a valid signature. Without replay
    protection an old heartbeat would keep a dead VM alive.
    """

    windows: OrderedDict[bytes, SenderWindow] = attrs.field(
        factory=OrderedDict,
    )

    def accept(self, sender: bytes, sequence: int) -> bool:
        """Accept a sender's sequence number once."""
        window = self.windows.get(sender)
        if window is not None:
            return window.accept(sequence)
        self.windows[sender] = SenderWindow(newest=sequence)
        if len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        return True

    def floor(self, sender: bytes, sequence: int) -> int:
        """Return the floor for a sender's sequence, 0 for a duplicate."""
        newest = self.windows[sender].newest
        return newest if newest - sequence >= WINDOW_SIZE else 0
