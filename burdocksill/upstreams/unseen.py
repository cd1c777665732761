"""Work that an upstream may be busy with and whose end is not seen here."""

from collections.abc import Iterable

import attrs
import trio


@attrs.define(kw_only=True)
class UnseenWork:
    """Count such work until its deadline: upstreams honour deadlines.

    It comes from connections that fell silent, of which the upstream knows
    nothing, and from the requests that the owner before has in progress.
    """

    orphans: list[float] = attrs.field(factory=list)
    adopted: dict[bytes, float] = attrs.field(factory=dict)

    def until(self) -> list[float]:
        """Return until when each piece of work counts, the first first."""
        now = trio.current_time()
        self.orphans = [until for until in self.orphans if until > now]
        adopted = [until for until in self.adopted.values() if until > now]
        return sorted((*self.orphans, *adopted))

    def orphan(self, until: float) -> None:
        """Count a request whose connection fell silent."""
        self.orphans.append(until)

    def add_inherited(self, running: Iterable[bytes], until: float) -> None:
        """Count requests that the owner before has in progress."""
        self.adopted.update(dict.fromkeys(running, until))

    def settle(self, key: bytes) -> None:
        """Stop counting a request of the owner before: it has ended."""
        self.adopted.pop(key, None)

    def clear(self) -> None:
        """Count nothing: another instance runs none of it."""
        self.orphans.clear()
        self.adopted.clear()
