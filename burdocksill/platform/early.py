"""Prepare a node's process before anything larger is imported.

A process that starts again is sent packets and probes all the while. What comes
before a socket is bound is lost, and its sender repeats it much later than the
imports take. SIGHUP ends a process that has not said otherwise.
So this module imports next to nothing, and runs first.
"""

import os
import signal
import socket

# Where the platform names the settings file.
VARIABLE = 'BURDOCKSILL_CONFIG'
# Where packets go, and where probes of readiness do.
PACKETS = 'Listen.DataAddr'
PROBES = 'Listen.ReadyAddr'
# Holds what arrives while a process starts.
BUFFER_BYTES = 4 * 1024 * 1024
PROBES_WAITING = 16

Place = tuple[str, int]


def read_text() -> str:
    """Return the settings file, empty if it can't be read: the start tells."""
    try:
        with open(os.environ.get(VARIABLE, ''), encoding='utf-8') as opened:
            return opened.read()
    except (OSError, UnicodeDecodeError):
        return ''


def find_place(text: str, name: str) -> Place | None:
    """Return a field that holds host:port, None if it doesn't."""
    for line in text.splitlines():
        field, _, place = line.partition('=')
        host, _, port = place.strip().rpartition(':')
        if field.strip() == name and host and port.isdecimal():
            return host, int(port)
    return None


def bind_packets(place: Place) -> socket.socket:
    """Bind the socket for packets."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    return bind(bound, place)


def bind_probes(place: Place) -> socket.socket:
    """Listen for probes; they wait until the program answers them."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    # Connections of the process before may still be closing.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bind(bound, place)
    bound.listen(PROBES_WAITING)
    return bound


def bind(unbound: socket.socket, place: Place) -> socket.socket:
    """Bind a socket, or close it and raise OSError."""
    try:
        unbound.bind(place)
    except OSError:
        unbound.close()
        raise
    return unbound


class EarlySockets:
    """Hold what was bound; None where the program has to do it itself."""

    def __init__(
        self,
        *,
        packets: socket.socket | None = None,
        probes: socket.socket | None = None,
    ) -> None:
        """Keep the sockets."""
        self.packets = packets
        self.probes = probes


def bind_early() -> EarlySockets:
    """Bind what the settings file names, and ignore SIGHUP for now.

    Once the program runs it reads its settings anew at that signal; until
    then they are new. An address that can't be read or bound is left out: the
    program meets the same error later, when it can write it down.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    text = read_text()
    packets = find_place(text, PACKETS)
    probes = find_place(text, PROBES)
    early = EarlySockets()
    try:
        if packets is not None:
            early.packets = bind_packets(packets)
        if probes is not None:
            early.probes = bind_probes(probes)
    except OSError:
        return early
    return early
