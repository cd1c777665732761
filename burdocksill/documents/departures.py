"""Hosts of upstream VMs that the platform lists as leaving.

Only the few VMs that watch the store watch the list. They put its content into
a record that gossip spreads like any other, so that the number of store calls
does not grow with the fleet.
"""

import logging
from typing import Final

import attrs
import msgspec

from burdocksill.documents.models import VersionedRecord
from burdocksill.platform import keys
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.protocols import VmState
from burdocksill.platform.values import StoredValue
from burdocksill.platform.vms import decode_vm

UPSTREAM_ROLE: Final = 'upstream'

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class DeparturesRecord:
    """Hold the hosts of the upstream VMs that are leaving, sorted."""

    hosts: tuple[str, ...]


@attrs.define(kw_only=True)
class DepartureCollector:
    """Reduce the platform's VM records to one record of departures."""

    hosts: dict[str, str] = attrs.field(factory=dict)
    last_departures: DeparturesRecord | None = None

    def apply(self, stored: StoredValue) -> VersionedRecord | None:
        """Apply one VM's record; return the departures if they changed."""
        if not stored.value:
            # The VM was removed from the list.
            return None
        try:
            record = decode_vm(stored.value)
        except RecordInvalidError as error:
            logger.warning(
                'record unreadable',
                extra={'key': stored.key, 'cause': str(error)},
            )
            return None
        if record.role == UPSTREAM_ROLE and record.state is VmState.LEAVING:
            self.hosts[stored.key] = record.host
        else:
            self.hosts.pop(stored.key, None)
        departures = DeparturesRecord(hosts=tuple(sorted(self.hosts.values())))
        if departures == self.last_departures:
            return None
        self.last_departures = departures
        return VersionedRecord(
            key=keys.DEPARTURES,
            revision=stored.revision,
            value=msgspec.json.encode(departures),
        )
