"""Which upstream VMs the platform lists as leaving.

Only the few VMs that watch the store watch the list too. They put what it
says into a record that gossip carries like any other, so that the store's
calls do not grow with the fleet.
"""

from typing import Final

import attrs
import msgspec

from burdocksill.documents.models import Versioned
from burdocksill.platform import keys
from burdocksill.platform.protocols import VmRecord, VmState
from burdocksill.platform.values import StoredValue

UPSTREAM_ROLE: Final = 'upstream'


@attrs.frozen(kw_only=True)
class DeparturesRecord:
    """Hold the hosts of the upstream VMs that are leaving, sorted."""

    hosts: tuple[str, ...]


@attrs.define(kw_only=True)
class DepartureReader:
    """Turn the platform's records of VMs into one record of departures."""

    hosts: dict[str, str] = attrs.field(factory=dict)
    told: DeparturesRecord | None = None

    def take(self, stored: StoredValue) -> Versioned | None:
        """Read one VM's record; return the departures when they changed."""
        try:
            record = msgspec.json.decode(stored.value, type=VmRecord)
        except msgspec.MsgspecError:
            return None
        if record.role == UPSTREAM_ROLE and record.state is VmState.LEAVING:
            self.hosts[stored.key] = record.host
        else:
            self.hosts.pop(stored.key, None)
        departures = DeparturesRecord(hosts=tuple(sorted(self.hosts.values())))
        if departures == self.told:
            return None
        self.told = departures
        return Versioned(
            key=keys.DEPARTURES,
            revision=stored.revision,
            value=msgspec.json.encode(departures),
        )
