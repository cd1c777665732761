"""Settings of one node of the packet path."""

from __future__ import annotations

from burdocksill.network.addresses import Address
from burdocksill.values import Value

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# How long a node goes on after it was asked to stop, if nothing says more:
# two probes of its readiness and the flows that are on their way.
DEFAULT_STOP_SECONDS: Final = 5.0


class PacketSettings(Value):
    """Hold what a node learns from the file that the platform writes."""

    __slots__ = (
        'cores',
        'domain',
        'listen',
        'log_level',
        'name',
        'peer',
        'platform',
        'ready',
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
    ) -> None:
        """Take all fields."""
        self.name = name
        self.domain = domain
        self.listen = listen
        self.ready = ready
        self.platform = platform
        # Where other nodes reach this one; without it the node reads the
        # store by itself.
        self.peer = peer
        # Processor of the machine, in cores of the usual speed.
        self.cores = cores
        self.stop_seconds = stop_seconds
        self.log_level = log_level
