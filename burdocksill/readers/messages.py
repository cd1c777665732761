"""What nodes tell each other besides the content of the store."""

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


class Observation(Value):
    """Tell whether an upstream answered, and who saw that when.

    `at` is the steady time of the node that holds the observation.
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
        """Take all fields."""
        self.echo = echo
        self.answered = answered
        self.at = at
        # Tells the nodes that saw something apart; 0 for this node itself.
        self.reporter = reporter

    def with_reporter(self, reporter: int) -> Observation:
        """Return the same observation under another reporter."""
        return Observation(
            echo=self.echo,
            answered=self.answered,
            at=self.at,
            reporter=reporter,
        )
