"""Keys that burdocksill uses in the platform service."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final


PREFIX: Final = '/burdocksill/'
DOCUMENTS: Final = '/burdocksill/documents/'
DOMAINS: Final = '/burdocksill/domains/'
FLEET_KEYS: Final = '/burdocksill/keys'
# Never written to the store: the watchers derive it from the list of VMs.
DEPARTURES: Final = '/burdocksill/departures'
# One key for each failure domain: the node that reads the store for it.
READERS: Final = 'burdocksill/readers/'
# Written by the platform; burdocksill only reads it.
VMS: Final = '/platform/vms/'


def document_key(service: str) -> str:
    """Return the key of a service's document."""
    return DOCUMENTS + service


def domain_key(domain: str) -> str:
    """Return the key of a failure domain's state."""
    return DOMAINS + domain
