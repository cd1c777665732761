"""Which node reads the store for a failure domain."""

import attrs

from burdocksill.network.addresses import Address


@attrs.frozen(kw_only=True)
class Reader:
    """Name the node that reads the store for a failure domain."""

    name: str
    address: Address


@attrs.frozen(kw_only=True)
class ReaderEntry:
    """Hold who is registered to read for a failure domain.

    `reader` is None where nobody is; `revision` is 0 where no entry stands.
    """

    domain: str
    reader: Reader | None = None
    revision: int = 0
