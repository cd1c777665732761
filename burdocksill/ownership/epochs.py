"""The epochs of one upstream that this VM holds.

An epoch is a random id that an owner generates when it acquires an upstream.
Only the VM that holds an epoch dispatches requests that carry it, and only
that VM may report "not run". Two VMs that both consider themselves the owner
hold different epochs, so no request can run at both.
"""

from collections.abc import Callable
from typing import Final

import attrs

from burdocksill.requests.window import RETENTION_SECONDS, RequestWindow

# Maximum number of tokens stored for one upstream; at the limit all its epochs
# are sealed.
WINDOW_LIMIT: Final = 200_000


@attrs.define(kw_only=True)
class EpochTable:
    """Hold one epoch and the window of all tokens received under it.

    A sealed epoch never dispatches again. `expires_at` is the time after which
    no cookie of the epoch is accepted; None for the current epoch.
    """

    epoch: bytes
    window: RequestWindow
    sealed: bool = False
    expires_at: float | None = None

    def is_expired(self, now: float) -> bool:
        """Return True if no cookie of this epoch is accepted any more."""
        return self.expires_at is not None and self.expires_at < now


@attrs.define(kw_only=True)
class EpochHolder:
    """Hold the current epoch and the inherited and sealed ones."""

    make_window: Callable[[], RequestWindow]
    make_epoch: Callable[[], bytes]
    limit: int = WINDOW_LIMIT
    current: EpochTable | None = None
    tables: dict[bytes, EpochTable] = attrs.field(factory=dict)

    def open(self) -> EpochTable:
        """Create a new epoch and make it the current one."""
        table = EpochTable(epoch=self.make_epoch(), window=self.make_window())
        self.tables[table.epoch] = table
        self.current = table
        return table

    def seal_all(self, now: float) -> None:
        """Seal all epochs for good; there is no current one afterwards."""
        self.current = None
        for table in self.tables.values():
            table.sealed = True
            if table.expires_at is None:
                table.expires_at = now + RETENTION_SECONDS

    def find(self, epoch: bytes) -> EpochTable | None:
        """Return the table of an epoch, None if this VM does not hold it."""
        return self.tables.get(epoch)

    def inherit(self, table: EpochTable) -> None:
        """Add an epoch that the previous owner handed over."""
        self.tables[table.epoch] = table

    @property
    def token_count(self) -> int:
        """Return the number of tokens stored under all epochs."""
        return sum(len(table.window) for table in self.tables.values())

    @property
    def is_full(self) -> bool:
        """Return True if no further token may be stored."""
        return self.token_count >= self.limit

    def seal_if_full(self, now: float) -> bool:
        """Seal all epochs at the token limit; return True if none is open.

        A refused request whose token is not stored could be dispatched later,
        when a delayed duplicate of it arrives. A sealed epoch dispatches
        nothing, so its refusals need not be stored.
        """
        if self.is_full:
            self.seal_all(now)
        return self.current is None

    def drop_expired(self, now: float) -> None:
        """Drop expired tokens and epochs."""
        for table in list(self.tables.values()):
            table.window.drop_expired(now)
            if table.is_expired(now):
                self.tables.pop(table.epoch)
