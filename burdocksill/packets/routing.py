"""Which services a new flow may go to, by the newest manifest."""

import attrs

from burdocksill.packets.messages import Manifest, Route, ServiceLimits

Place = tuple[int, int]
NO_LIMITS = ServiceLimits()


@attrs.define(kw_only=True, eq=False, repr=False)
class RoutingTable:
    """Hold the manifest in force; a lower version never replaces it.

    A late answer of the store or a peer that was cut off may offer an older
    manifest. Clients have seen the newer one at work, so to go back would
    send flows by a route that operators have changed already.
    """

    manifest: Manifest | None = None
    routes: dict[Place, Route] = attrs.field(factory=dict)
    # Places whose route a newer manifest took away.
    removed: set[Place] = attrs.field(factory=set)

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
