"""Which services a new flow may go to, by the newest manifest."""

from __future__ import annotations

from burdocksill.packets.messages import Manifest, Route, ServiceLimits

Place = tuple[int, int]
NO_LIMITS = ServiceLimits()


class RoutingTable:
    """Hold the manifest in force; a lower version never replaces it.

    A late answer of the store or a peer that was cut off may offer an older
    manifest. Clients have seen the newer one at work, so to go back would
    send flows by a route that operators have changed already.
    """

    __slots__ = ('least_urgent', 'manifest', 'removed', 'routes')

    def __init__(self) -> None:
        """Begin with nothing known."""
        self.manifest: Manifest | None = None
        self.routes: dict[Place, Route] = {}
        # Places whose route a newer manifest took away.
        self.removed: set[Place] = set()
        # The priority of the routes that can wait best.
        self.least_urgent: int = 0

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.manifest.version if self.manifest else 0

    def adopt(self, manifest: Manifest) -> bool:
        """Put a manifest into force unless it is older; True if it was."""
        if manifest.version <= self.version:
            return False
        routes = {(one.address, one.port): one for one in manifest.routes}
        self.removed = (self.removed | self.routes.keys()) - routes.keys()
        self.routes = routes
        self.least_urgent = max(
            (one.priority for one in manifest.routes),
            default=0,
        )
        self.manifest = manifest
        return True

    def find(self, place: Place) -> Route | None:
        """Return the route of an address and port."""
        return self.routes.get(place)

    def was_removed(self, place: Place) -> bool:
        """Return True for a route that this node has seen taken away."""
        return place in self.removed

    def limits(self, service: str) -> ServiceLimits:
        """Return the limits of a service."""
        if self.manifest is None:
            return NO_LIMITS
        return self.manifest.services.get(service, NO_LIMITS)
