"""Read the settings file that the platform writes for a node."""

from __future__ import annotations

import math

from burdocksill.conf.exceptions import SettingAddressError, SettingMissingError
from burdocksill.network.addresses import Address
from burdocksill.packets.features import ALL_FEATURES, NO_FEATURES, Feature
from burdocksill.packets.settings import DEFAULT_STOP_SECONDS, PacketSettings
from burdocksill.packets.spillover import DEFAULT_START
from burdocksill.platform.early import PACKETS, PROBES, VARIABLE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# The process must exit before the platform sends SIGKILL.
STOP_MARGIN_SECONDS: Final = 1.0
# Contract of deployments whose upstreams fail in part.
HEALTH_CONTRACT: Final = 'health'


def read_fields(text: str) -> dict[str, str]:
    """Return the fields of lines of name=value; ignore other lines."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, field = line.partition('=')
        if separator:
            fields[name.strip()] = field.strip()
    return fields


def read_address(fields: dict[str, str], name: str) -> Address:
    """Return the address in a field of the form host:port."""
    text = require(fields, name)
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise SettingAddressError(
            message=f'{name} is {text!r}',
            hint='the platform writes it as 10.1.0.10:8172',
        )
    return Address(host, int(port))


def require(fields: dict[str, str], name: str) -> str:
    """Return a required field; raise SettingMissingError if it is empty."""
    if not fields.get(name):
        raise SettingMissingError(
            message=f'{name} is not in the settings file',
            hint=f'check the file that ${VARIABLE} names',
        )
    return fields[name]


def read_node_file(text: str) -> PacketSettings:
    """Return the settings of a node; unknown fields are ignored."""
    fields = read_fields(text)
    return PacketSettings(
        name=require(fields, 'Node'),
        domain=require(fields, 'Zone'),
        # Resets are sent to clients at this port too.
        listen=read_address(fields, PACKETS),
        ready=read_address(fields, PROBES),
        platform=read_address(fields, 'platform.Address'),
        peer=read_peer(fields),
        cores=read_cores(fields),
        stop_seconds=read_stop(fields),
        log_level=fields.get('LogLevel', 'INFO'),
        features=read_features(fields),
        spillover_start=read_number(fields, 'SpilloverStart', DEFAULT_START),
    )


def read_features(fields: dict[str, str]) -> frozenset[Feature]:
    """Return the features that the contracts in force ask for."""
    contracts = fields.get('Contracts', '').split(',')
    return ALL_FEATURES if HEALTH_CONTRACT in contracts else NO_FEATURES


def read_peer(fields: dict[str, str]) -> Address | None:
    """Return this node's address for peers, None if it has none."""
    port = peer_port(fields)
    host = fields.get('Ip', '')
    return Address(host, port) if port and host else None


def peer_port(fields: dict[str, str]) -> int:
    """Return the first port for traffic between nodes, 0 if there is none."""
    first = fields.get('PortRange', '').partition(',')[0]
    return int(first) if first.isdecimal() else 0


def read_cores(fields: dict[str, str]) -> float:
    """Return the processor of the machine, in cores of standard speed."""
    share = read_number(fields, 'Limits.CpuShare', 1)
    # `Cores` is the speed of the core relative to a standard one.
    return share * read_number(fields, 'Limits.Cores', 1)


def read_number(
    fields: dict[str, str],
    name: str,
    default: float,
) -> float:
    """Return a positive number, the default if missing or invalid."""
    try:
        found = float(fields.get(name, ''))
    except ValueError:
        return default
    return found if math.isfinite(found) and found > 0 else default


def read_stop(fields: dict[str, str]) -> float:
    """Return the seconds for which to continue after SIGTERM."""
    # `Bounds.GraceS` is the time from SIGTERM to SIGKILL, in seconds.
    try:
        grace = float(fields.get('Bounds.GraceS', ''))
    except ValueError:
        return DEFAULT_STOP_SECONDS
    return max(0, grace - STOP_MARGIN_SECONDS)
