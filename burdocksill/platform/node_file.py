"""Read the file in which the platform describes a node."""

from __future__ import annotations

import math

from burdocksill.conf.exceptions import SettingAddressError, SettingMissingError
from burdocksill.network.addresses import Address
from burdocksill.packets.settings import DEFAULT_STOP_SECONDS, PacketSettings
from burdocksill.platform.early import PACKETS, PROBES, VARIABLE

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# The process must be gone before it is killed.
STOP_MARGIN_SECONDS: Final = 1.0


def read_fields(text: str) -> dict[str, str]:
    """Split lines of name=value; other lines say nothing."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, field = line.partition('=')
        if separator:
            fields[name.strip()] = field.strip()
    return fields


def read_address(fields: dict[str, str], name: str) -> Address:
    """Read host:port."""
    text = require(fields, name)
    host, _, port = text.rpartition(':')
    if not host or not port.isdecimal():
        raise SettingAddressError(
            message=f'{name} is {text!r}',
            hint='the platform writes it as 10.1.0.10:8172',
        )
    return Address(host, int(port))


def require(fields: dict[str, str], name: str) -> str:
    """Return a field that must be there."""
    if not fields.get(name):
        raise SettingMissingError(
            message=f'{name} is not in the settings file',
            hint=f'see what ${VARIABLE} names',
        )
    return fields[name]


def read_node_file(text: str) -> PacketSettings:
    """Read the settings of a node; what is not known here is passed over."""
    fields = read_fields(text)
    return PacketSettings(
        name=require(fields, 'Node'),
        domain=require(fields, 'Zone'),
        # Also the port at which clients take their answers.
        listen=read_address(fields, PACKETS),
        ready=read_address(fields, PROBES),
        platform=read_address(fields, 'platform.Address'),
        peer=read_peer(fields),
        cores=read_cores(fields),
        stop_seconds=read_stop(fields),
        log_level=fields.get('LogLevel', 'INFO'),
    )


def read_peer(fields: dict[str, str]) -> Address | None:
    """Return this node's own address for other nodes."""
    port = peer_port(fields)
    host = fields.get('Ip', '')
    return Address(host, port) if port and host else None


def peer_port(fields: dict[str, str]) -> int:
    """Return the first port that is free for traffic between nodes."""
    first = fields.get('PortRange', '').partition(',')[0]
    return int(first) if first.isdecimal() else 0


def read_cores(fields: dict[str, str]) -> float:
    """Return the machine's processor in cores of the usual speed."""
    share = read_number(fields, 'Limits.CpuShare', 1)
    # `Cores` says how many times as fast as the usual one the core is.
    return share * read_number(fields, 'Limits.Cores', 1)


def read_number(
    fields: dict[str, str],
    name: str,
    fallback: float,
) -> float:
    """Return a positive number, or what holds where there is none."""
    try:
        found = float(fields.get(name, ''))
    except ValueError:
        return fallback
    return found if math.isfinite(found) and found > 0 else fallback


def read_stop(fields: dict[str, str]) -> float:
    """Return how long to go on after a request to stop."""
    # From SIGTERM to SIGKILL, in seconds.
    try:
        grace = float(fields.get('Bounds.GraceS', ''))
    except ValueError:
        return DEFAULT_STOP_SECONDS
    return max(0, grace - STOP_MARGIN_SECONDS)
