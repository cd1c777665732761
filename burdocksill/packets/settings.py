"""Settings of one node of the packet path."""

from typing import Final

import attrs

from burdocksill.network.addresses import Address

# How long a node goes on after it was asked to stop, if nothing says more:
# two probes of its readiness (1 s) and the flows that are on their way.
DEFAULT_STOP_SECONDS: Final = 5.0


@attrs.frozen(kw_only=True)
class PacketSettings:
    """Hold what a node learns from the file that the platform writes."""

    name: str
    domain: str
    listen: Address
    ready: Address
    platform: Address
    # Where other nodes reach this one; without it the node reads the store by
    # itself.
    peer: Address | None = None
    # Processor of the machine, in cores of the usual speed.
    cores: float = 1.0
    stop_seconds: float = DEFAULT_STOP_SECONDS
    log_level: str = 'INFO'
