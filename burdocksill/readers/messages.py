"""Values that nodes exchange besides the content of the store."""

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
        """Store the arguments."""
        self.name = name
        self.address = address


class ReaderEntry(Value):
    """Hold the registered reader of a failure domain.

    `reader` is None if there is none; `revision` is 0 if there is no entry.
    """

    __slots__ = ('domain', 'reader', 'revision')

    def __init__(
        self,
        *,
        domain: str,
        reader: Reader | None = None,
        revision: int = 0,
    ) -> None:
        """Store the arguments."""
        self.domain = domain
        self.reader = reader
        self.revision = revision


class Observation(Value):
    """Tell whether an upstream answered an opening, with reporter and time.

    `at` is monotonic time of the node that stores the observation.
    """

    __slots__ = ('answered', 'at', 'echo', 'reporter')

    def __init__(
        self,
        *,
        echo: int,
        answered: bool,
        at: float,
        reporter: int,
    ) -> None:
        """Store the arguments."""
        self.echo = echo
        self.answered = answered
        self.at = at
        # Identifies the observing node; 0 for the local node.
        self.reporter = reporter

    def with_reporter(self, reporter: int) -> Observation:
        """Return a copy with another reporter."""
        return Observation(
            echo=self.echo,
            answered=self.answered,
            at=self.at,
            reporter=reporter,
        )
