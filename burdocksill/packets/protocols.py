"""Interfaces that the packet path depends on."""

from collections.abc import Mapping
from typing import Protocol

from burdocksill.packets.admission import ConcurrencyLimiter
from burdocksill.packets.flows import FlowKey
from burdocksill.packets.messages import Route
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
