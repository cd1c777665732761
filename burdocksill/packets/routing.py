"""Routing table of the newest manifest."""

from __future__ import annotations

from burdocksill.packets.messages import Manifest, Route, ServiceLimits

Endpoint = tuple[int, int]
NO_LIMITS = ServiceLimits()


class RoutingTable:
    """Routes of the manifest in force; an older version never replaces it.

    A late answer of the store, or a peer that was partitioned, may deliver an
    older manifest. Applying it would send new flows by routes that operators
    have already replaced.
    """

    __slots__ = ('least_urgent', 'manifest', 'removed', 'routes', 'urgencies')

    def __init__(self) -> None:
        """Start without a manifest."""
        self.manifest: Manifest | None = None
        self.routes: dict[Endpoint, Route] = {}
        # Addresses and ports whose route a newer manifest removed.
        self.removed: set[Endpoint] = set()
        # The highest priority number, which is the least urgent.
        self.least_urgent: int = 0
        # The number of less urgent priorities in use, by priority.
        self.urgencies: dict[int, int] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first manifest."""
        return self.manifest.version if self.manifest else 0

    def adopt(self, manifest: Manifest) -> bool:
        """Apply a manifest if it is newer; return True if it was."""
        if manifest.version <= self.version:
            return False
        routes = {(one.address, one.port): one for one in manifest.routes}
        if manifest.has_unread_routes:
            # Any route in force may be the one that could not be read.
            routes = self.routes | routes
        self.removed = (self.removed | self.routes.keys()) - routes.keys()
        self.routes = routes
        priorities = {one.priority for one in routes.values()}
        self.least_urgent = max(priorities, default=0)
        self.urgencies = {
            priority: urgency
            for urgency, priority in enumerate(sorted(priorities, reverse=True))
        }
        self.manifest = manifest
        return True

    def find(self, endpoint: Endpoint) -> Route | None:
        """Return the route of an address and port, or None."""
        return self.routes.get(endpoint)

    def urgency(self, route: Route) -> int:
        """Return by how many steps a route goes before the least urgent one.

        Priorities only order routes: a gap between two of them is one step.
        """
        return self.urgencies.get(route.priority, 0)

    def was_removed(self, endpoint: Endpoint) -> bool:
        """Return True if a newer manifest has removed the route."""
        return endpoint in self.removed

    def limits(self, service: str) -> ServiceLimits:
        """Return the limits of a service, defaults if it has none."""
        if self.manifest is None:
            return NO_LIMITS
        return self.manifest.services.get(service, NO_LIMITS)
