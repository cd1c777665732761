"""Bind the sockets of a node before larger modules are imported.

A restarting process receives packets and probes all the time. What arrives
before a socket is bound is lost, and its sender retransmits it much later than
the imports take. SIGHUP terminates a process that does not handle it.
So this module runs first and imports as little as possible. The modules without
an underscore that are built on `_socket` and `_signal` take longer to import
than everything else before the sockets are bound.
"""

import _signal  # type: ignore[import-not-found]
import _socket
import os

from burdocksill.platform.early_read import FirstPageRequest

# Environment variable with the path of the settings file.
VARIABLE = 'BURDOCKSILL_CONFIG'
# Fields with the addresses for packets and for readiness probes.
PACKETS = 'Listen.DataAddr'
PROBES = 'Listen.ReadyAddr'
# Field with the address of the store.
STORE = 'platform.Address'
# Receive buffer for packets that arrive while a process starts.
BUFFER_BYTES = 4 * 1024 * 1024
PROBE_BACKLOG = 16

HostPort = tuple[str, int]


def read_text() -> str:
    """Return the settings file; empty if unreadable, which `main` reports."""
    try:
        with open(os.environ.get(VARIABLE, ''), encoding='utf-8') as opened:
            return opened.read()
    except (OSError, UnicodeDecodeError):
        return ''


def find_address(text: str, name: str) -> HostPort | None:
    """Return the host and port of a field, None if missing or invalid."""
    for line in text.splitlines():
        field, _, address = line.partition('=')
        host, _, port = address.strip().rpartition(':')
        if field.strip() == name and host and port.isdecimal():
            return host, int(port)
    return None


def bind_packets(address: HostPort) -> _socket.socket:
    """Return a bound, non-blocking socket for packets."""
    bound = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, BUFFER_BYTES)
    return bind(bound, address)


def bind_probes(address: HostPort) -> _socket.socket:
    """Return a listening socket; probes are queued until it is served."""
    bound = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    bound.setblocking(False)
    # Connections of the previous process may still be in TIME_WAIT.
    bound.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    bind(bound, address)
    bound.listen(PROBE_BACKLOG)
    return bound


def bind(unbound: _socket.socket, address: HostPort) -> _socket.socket:
    """Bind a socket; close it and raise OSError on failure."""
    try:
        unbound.bind(address)
    except OSError:
        unbound.close()
        raise
    return unbound


class EarlySockets:
    """The sockets of a start; None where `main` has to open them."""

    def __init__(
        self,
        *,
        packets: _socket.socket | None = None,
        probes: _socket.socket | None = None,
        first_page: FirstPageRequest | None = None,
    ) -> None:
        """Store the sockets."""
        self.packets = packets
        self.probes = probes
        # The request to the store that is in progress.
        self.first_page = first_page


def bind_early() -> EarlySockets:
    """Bind the addresses in the settings file, ask the store, ignore SIGHUP.

    Until the program handles SIGHUP by reloading its settings, they are recent
    anyway. An address that can't be read or bound is skipped: the program fails
    with the same error later, when it can log it.
    """
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    text = read_text()
    packets = find_address(text, PACKETS)
    probes = find_address(text, PROBES)
    early = EarlySockets()
    try:
        if packets is not None:
            early.packets = bind_packets(packets)
        if probes is not None:
            early.probes = bind_probes(probes)
        if early.packets is not None:
            early.first_page = request_first_page(text)
    except OSError:
        return early
    return early


def request_first_page(text: str) -> FirstPageRequest | None:
    """Ask the store in the settings file for its first page."""
    store = find_address(text, STORE)
    return None if store is None else FirstPageRequest(remote=store)
