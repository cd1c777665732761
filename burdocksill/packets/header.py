"""The fixed header of packets.

The SYN packet of a flow is called its opening, as in log lines and reasons.
"""

from __future__ import annotations

import struct

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# len, echo, seq, ack, src, dport, sport, dst, sum, flags; big-endian.
HEADER: Final = struct.Struct('>HIIIIHHIIB')
ECHO: Final = struct.Struct('>I')
TAG: Final = struct.Struct('>Q')
ECHO_OFFSET: Final = 2
ECHO_END: Final = ECHO_OFFSET + ECHO.size
LARGEST_DATA: Final = 1200
LARGEST_PACKET: Final = HEADER.size + LARGEST_DATA

SYN: Final = 128
ACK: Final = 64
FIN: Final = 8
RST: Final = 4
KNOWN_FLAGS: Final = SYN | ACK | FIN | RST | 2
HALF_SPACE: Final = 1 << 31
SEQUENCE_MASK: Final = (1 << 32) - 1


class Packet:
    """Header of a client's packet; the fields are in wire order."""

    __slots__ = (
        'ack',
        'address',
        'checksum',
        'client',
        'client_port',
        'echo',
        'flags',
        'length',
        'port',
        'seq',
    )

    def __init__(
        self,
        length: int,
        echo: int,
        seq: int,
        ack: int,
        client: int,
        port: int,
        client_port: int,
        address: int,
        checksum: int,
        flags: int,
    ) -> None:
        """Store the fields."""
        self.length = length
        self.echo = echo
        self.seq = seq
        self.ack = ack
        self.client = client
        self.port = port
        self.client_port = client_port
        self.address = address
        self.checksum = checksum
        self.flags = flags

    @property
    def is_syn(self) -> bool:
        """Return True for an opening: the first packet of a flow, or a copy."""
        return self.flags & SYN != 0

    @property
    def flow(self) -> tuple[int, int, int, int]:
        """Return the key of the flow: client, its port, address and port."""
        return (self.client, self.client_port, self.address, self.port)


def read_packet(payload: bytes) -> Packet | None:
    """Parse a client's packet; return None if no client would send it."""
    size = len(payload)
    if size < HEADER.size or size > LARGEST_PACKET:
        return None
    packet = Packet(*HEADER.unpack_from(payload))
    if packet.length != size - HEADER.size or packet.flags & ~KNOWN_FLAGS:
        return None
    # A client never sends SYN with ACK; it comes from an upstream, or is
    # forged.
    if packet.is_syn and packet.flags & (ACK | RST | FIN):
        return None
    return packet


def with_echo(payload: bytes, echo: int) -> bytes:
    """Return the packet with another echo, the only field that may change."""
    return payload[:ECHO_OFFSET] + ECHO.pack(echo) + payload[ECHO_END:]


def build_reset(flow: tuple[int, int, int, int], ack: int) -> bytes:
    """Return the reset packet of a client's flow.

    Its sequence number is the last one that the client acknowledged: clients
    accept a reset of an open flow only near that number.
    """
    client, client_port, address, port = flow
    return HEADER.pack(
        0,
        0,
        ack,
        0,
        address,
        client_port,
        port,
        client,
        0,
        RST,
    )


def is_sequence_after(newer: int, older: int) -> bool:
    """Return True if a sequence number is after another, modulo 2**32."""
    return 0 < sequence_distance(newer, older) < HALF_SPACE


def sequence_distance(newer: int, older: int) -> int:
    """Return the bytes between two sequence numbers, modulo 2**32."""
    return (newer - older) & SEQUENCE_MASK


def flow_id(flow: tuple[int, int, int, int]) -> str:
    """Format a flow as client:port>address:port for log lines."""
    client, client_port, address, port = flow
    return f'{format_ipv4(client)}:{client_port}>{format_ipv4(address)}:{port}'


def format_ipv4(address: int) -> str:
    """Format an IPv4 address that is stored as a number."""
    return '.'.join(str(part) for part in address.to_bytes(4, 'big'))


def parse_ipv4(text: str) -> int:
    """Parse an IPv4 address to a number; raise ValueError if invalid."""
    parts = [int(part) for part in text.split('.')]
    if len(parts) != 4:
        raise ValueError(text)
    return int.from_bytes(bytes(parts), 'big')
