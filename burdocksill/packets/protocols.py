"""Interfaces that the packet path depends on."""

from collections.abc import Mapping
from typing import Protocol

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.flows import FlowKey
from burdocksill.packets.messages import Route
from burdocksill.packets.shared_load import SharedLoad
from burdocksill.packets.upstreams import KnownUpstream
from burdocksill.packets.verdicts import Reason


class Freshness(Protocol):
    """Age of a node's store cache."""

    @property
    def synced_at(self) -> float:
        """Return the time up to which all changes are known, in seconds."""

    def now(self) -> float:
        """Return the current time of the same clock, in seconds."""

    def age(self) -> float:
        """Return the seconds since the last synchronisation."""


class DecisionLog(Protocol):
    """Log of decisions on flows."""

    def decided(
        self,
        flow: FlowKey,
        reason: Reason,
        upstream: KnownUpstream | None,
        repeat: int = 0,
    ) -> None:
        """Log one decision."""

    def overloaded(
        self,
        flow: FlowKey,
        route: Route,
        limiters: Mapping[str, ConcurrencyLimiter],
        repeat: int,
    ) -> None:
        """Log an opening that was refused because of overload."""


class LoadView(Protocol):
    """Load of upstreams as all nodes of a failure domain see it together."""

    def load_of(self, upstream: KnownUpstream, now: float) -> SharedLoad | None:
        """Return an upstream's load; None without recent reports."""

    def spare_slots(
        self, service: str, domain: str, now: float
    ) -> float | None:
        """Return the free slots of a service in a domain; None if unknown.

        Negative when more requests are in progress than there are slots.
        """

    def node_count(self, now: float) -> int | None:
        """Return the number of nodes of the deployment; None if unknown."""

    def domain_nodes(self, domain: str, now: float) -> int | None:
        """Return the number of nodes of a domain; None if unknown."""

    def record_placed(self, upstream: KnownUpstream, now: float) -> None:
        """Count a new flow of this node until the next reports include it."""
