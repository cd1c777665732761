"""Load of upstreams as all nodes of a failure domain see it together."""

from __future__ import annotations

from burdocksill.values import Value

TYPE_CHECKING = False
if TYPE_CHECKING:
    from burdocksill.packets.upstreams import KnownUpstream


class SharedLoad(Value):
    """Load of one upstream, summed over the nodes that reported it."""

    __slots__ = (
        'age_seconds',
        'answer_seconds',
        'errors_per_second',
        'flows',
        'in_progress',
    )

    def __init__(
        self,
        *,
        flows: float,
        in_progress: float,
        answer_seconds: float,
        errors_per_second: float,
        age_seconds: float,
    ) -> None:
        """Store the arguments."""
        self.flows = flows
        # Requests whose clients wait for an answer.
        self.in_progress = in_progress
        # Typical answer time of the last reports; 0 if unknown.
        self.answer_seconds = answer_seconds
        # Answers much shorter than usual: errors, or refusals for lack of room.
        self.errors_per_second = errors_per_second
        # Seconds since the oldest report in the sums.
        self.age_seconds = age_seconds


class LocalLoadOnly:
    """Answer that nothing is known of other nodes."""

    __slots__ = ()

    def load_of(self, upstream: KnownUpstream, now: float) -> SharedLoad | None:
        """Return None."""

    def spare_slots(
        self, service: str, domain: str, now: float
    ) -> float | None:
        """Return None."""

    def node_count(self, now: float) -> int | None:
        """Return None."""

    def domain_nodes(self, domain: str, now: float) -> int | None:
        """Return None."""

    def record_placed(self, upstream: KnownUpstream, now: float) -> None:
        """Ignore a new flow."""
