"""Decode the platform's list of VMs."""

import logging
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from burdocksill.decoding import decode_json
from burdocksill.platform.exceptions import RecordInvalidError
from burdocksill.platform.protocols import VmRecord
from burdocksill.platform.values import StoredValue

LARGEST_PORT: Final = 65535

logger = logging.getLogger(__name__)


def decode_vm(encoded: bytes) -> VmRecord:
    """Decode a VM's record; raise RecordInvalidError."""
    try:
        record = decode_json(encoded, VmRecord)
    except msgspec.MsgspecError as error:
        raise RecordInvalidError(message=f'not a VM: {error}') from error
    ports = (record.caller_port, record.peer_port, record.admin_port)
    if not all(0 <= port <= LARGEST_PORT for port in ports):
        raise RecordInvalidError(message=f'a port is out of range: {ports}')
    if not all((record.name, record.domain, record.host)):
        raise RecordInvalidError(message='a name, domain or host is empty')
    return record


def decode_vms(found: Iterable[StoredValue]) -> Iterator[VmRecord]:
    """Yield the VMs of a list; log and leave out records that are invalid."""
    for stored in found:
        try:
            yield decode_vm(stored.value)
        except RecordInvalidError as error:
            logger.warning(
                'record unreadable',
                extra={'key': stored.key, 'cause': str(error)},
            )
