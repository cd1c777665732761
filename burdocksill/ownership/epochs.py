"""The epochs of one upstream that this VM holds.

An epoch is a random id that an owner makes when it takes an upstream. Only
its holder dispatches requests that carry it and only its holder says "not
run". Two VMs that both believe they own an upstream hold different epochs, so
no request can run at both.
"""

from collections.abc import Callable
from typing import Final

import attrs

from burdocksill.requests.window import RETENTION_SECONDS, RequestWindow

# Tokens remembered for one upstream; beyond it the epoch is sealed.
WINDOW_LIMIT: Final = 200_000


@attrs.define(kw_only=True)
class EpochTable:
    """Hold one epoch and every token that was seen under it.

    A sealed epoch never dispatches again. `until` is when the last cookie of
    it is forgotten; the current epoch has none.
    """

    epoch: bytes
    window: RequestWindow
    sealed: bool = False
    expires_at: float | None = None

    def is_expired(self, now: float) -> bool:
        """Return True when no cookie leads here any more."""
        return self.expires_at is not None and self.expires_at < now


@attrs.define(kw_only=True)
class EpochHolder:
    """Hold the current epoch and those inherited or sealed before it."""

    make_window: Callable[[], RequestWindow]
    make_epoch: Callable[[], bytes]
    limit: int = WINDOW_LIMIT
    current: EpochTable | None = None
    tables: dict[bytes, EpochTable] = attrs.field(factory=dict)

    def open(self) -> EpochTable:
        """Start a fresh epoch and make it the current one."""
        table = EpochTable(epoch=self.make_epoch(), window=self.make_window())
        self.tables[table.epoch] = table
        self.current = table
        return table

    def seal_all(self, now: float) -> None:
        """Dispatch nothing under any epoch held here, ever again."""
        self.current = None
        for table in self.tables.values():
            table.sealed = True
            if table.expires_at is None:
                table.expires_at = now + RETENTION_SECONDS

    def find(self, epoch: bytes) -> EpochTable | None:
        """Return the table of an epoch that this VM holds."""
        return self.tables.get(epoch)

    def inherit(self, table: EpochTable) -> None:
        """Hold an epoch that its former holder handed over."""
        self.tables[table.epoch] = table

    @property
    def token_count(self) -> int:
        """Return how many tokens are remembered under all epochs."""
        return sum(len(table.window) for table in self.tables.values())

    @property
    def is_full(self) -> bool:
        """Return True when no further token can be remembered."""
        return self.token_count >= self.limit

    def seal_if_full(self, now: float) -> bool:
        """Seal everything when memory is at its limit.

        A refusal that is not remembered could be dispatched later, when a
        delayed copy of it arrives. Under a sealed epoch nothing is dispatched
        any more, so such refusals need no memory.
        """
        if self.is_full:
            self.seal_all(now)
        return self.current is None

    def drop_expired(self, now: float) -> None:
        """Drop what no cookie leads to any more; reopen when there is room."""
        for table in list(self.tables.values()):
            table.window.drop_expired(now)
            if table.is_expired(now):
                self.tables.pop(table.epoch)
