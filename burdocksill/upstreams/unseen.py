"""Requests that an upstream may still run but whose end is not observed."""

from collections.abc import Iterable

import attrs
import trio


@attrs.define(kw_only=True)
class UntrackedWork:
    """Count untracked requests until their deadlines, which upstreams honour.

    They come from connections that became unresponsive, which the upstream
    may not have noticed, and from the previous owner's requests in progress.
    """

    orphans: list[float] = attrs.field(factory=list)
    inherited: dict[bytes, float] = attrs.field(factory=dict)

    def deadlines(self) -> list[float]:
        """Return the deadlines of the requests that count, in order."""
        now = trio.current_time()
        self.orphans = [due for due in self.orphans if due > now]
        inherited = [due for due in self.inherited.values() if due > now]
        return sorted((*self.orphans, *inherited))

    def add_orphan(self, deadline: float) -> None:
        """Count a request whose connection became unresponsive."""
        self.orphans.append(deadline)

    def add_inherited(self, running: Iterable[bytes], deadline: float) -> None:
        """Count the previous owner's requests in progress."""
        self.inherited.update(dict.fromkeys(running, deadline))

    def release(self, key: bytes) -> None:
        """Stop counting a previous owner's request that has ended."""
        self.inherited.pop(key, None)

    def clear(self) -> None:
        """Stop counting everything, because a new instance runs none of it."""
        self.orphans.clear()
        self.inherited.clear()
