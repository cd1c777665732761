"""What the packet path asks of what it is composed with."""

from collections.abc import Mapping
from typing import Protocol

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.flows import FlowKey
from burdocksill.packets.messages import Route
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill.packets.verdicts import Reason


class Freshness(Protocol):
    """Tell how old a node's knowledge is."""

    @property
    def synced_at(self) -> float:
        """Return the time up to which all changes are known."""

    def now(self) -> float:
        """Return the time by which it is counted."""

    def age(self) -> float:
        """Return the seconds since the knowledge was known to be current."""


class DecisionLog(Protocol):
    """Keep the decisions that touch a flow."""

    def decided(
        self,
        flow: FlowKey,
        reason: Reason,
        upstream: KnownUpstream | None,
        repeat: int = 0,
    ) -> None:
        """Write down one decision."""

    def overloaded(
        self,
        flow: FlowKey,
        route: Route,
        limiters: Mapping[str, ConcurrencyLimiter],
        repeat: int,
    ) -> None:
        """Write down an opening that was refused for load."""
