"""A ledger that another process can read."""

from pathlib import Path

from burdocksill_lab.stand_ins.upstream import LedgerEntry


class LedgerFile(list[LedgerEntry]):
    """Write a line for each request that ran, as soon as it ran."""

    def __init__(self, path: Path) -> None:
        """Remember the file."""
        super().__init__()
        self.path = path

    def append(self, entry: LedgerEntry) -> None:
        """Enter a request."""
        super().append(entry)
        with self.path.open('a') as ledger:
            ledger.write(f'{entry.method} {entry.path}\n')
