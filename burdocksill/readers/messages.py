"""Which node reads the store for a failure domain."""

from __future__ import annotations

from burdocksill.network.addresses import Address
from burdocksill.values import Value


class Reader(Value):
    """Name the node that reads the store for a failure domain."""

    __slots__ = ('address', 'name')

    def __init__(
        self,
        *,
        name: str,
        address: Address,
    ) -> None:
        """Take all fields."""
        self.name = name
        self.address = address


class ReaderEntry(Value):
    """Hold who is registered to read for a failure domain.

    `reader` is None where nobody is; `revision` is 0 where no entry stands.
    """

    __slots__ = ('domain', 'reader', 'revision')

    def __init__(
        self,
        *,
        domain: str,
        reader: Reader | None = None,
        revision: int = 0,
    ) -> None:
        """Take all fields."""
        self.domain = domain
        self.reader = reader
        self.revision = revision
