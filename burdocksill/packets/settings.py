"""Settings of one node of the packet path."""

from __future__ import annotations

from burdocksill.network.addresses import Address
from burdocksill.packets.features import NO_FEATURES, Feature
from burdocksill.packets.spillover import DEFAULT_START
from burdocksill.values import Value

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Default time for which a node continues after SIGTERM: enough for two
# readiness probes and for packets in transit.
DEFAULT_STOP_SECONDS: Final = 5.0


class PacketSettings(Value):
    """Settings of a node from the file that the platform writes."""

    __slots__ = (
        'cores',
        'domain',
        'features',
        'listen',
        'log_level',
        'name',
        'peer',
        'platform',
        'ready',
        'spillover_start',
        'stop_seconds',
    )

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        listen: Address,
        ready: Address,
        platform: Address,
        peer: Address | None = None,
        cores: float = 1.0,
        stop_seconds: float = DEFAULT_STOP_SECONDS,
        log_level: str = 'INFO',
        features: frozenset[Feature] = NO_FEATURES,
        spillover_start: float = DEFAULT_START,
    ) -> None:
        """Store the arguments."""
        self.name = name
        self.domain = domain
        self.listen = listen
        self.ready = ready
        self.platform = platform
        # Address for peers; without it the node does not share reads of the
        # store.
        self.peer = peer
        # Processor of the machine, in cores of standard speed.
        self.cores = cores
        self.stop_seconds = stop_seconds
        self.log_level = log_level
        self.features = features
        # Requests in progress for each slot of the own domain from which new
        # flows leave it. Higher values cause less traffic between domains.
        self.spillover_start = spillover_start
