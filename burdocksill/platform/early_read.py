"""Request the store's first page before larger modules are imported.

The page takes tens of milliseconds to arrive on a slow link, and so do the
imports. Both happen at once if the request is sent first.
"""

import _socket
import sys
import time

READ_BYTES = 65536
# Answers of a few pages fit, so that the store goes on sending during a long
# import.
BUFFER_BYTES = 1024 * 1024


class FirstPageRequest:
    """Send the first request to the store and collect the answer's bytes.

    It decodes nothing. Errors are left to the initial read, which meets them
    again on the same socket.
    """

    __slots__ = ('asked_at', 'failed', 'received', 'remote', 'sock', 'unsent')

    def __init__(self, *, remote: tuple[str, int]) -> None:
        """Start to connect without blocking."""
        self.remote = remote
        # On the clock of the store cache's age.
        self.asked_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.failed = False
        self.received = b''
        self.unsent = first_request(remote)
        self.sock = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(
            _socket.SOL_SOCKET, _socket.SO_RCVBUF, BUFFER_BYTES
        )
        self.sock.connect_ex(remote)

    def proceed(self) -> None:
        """Send or receive what is possible without blocking."""
        if self.failed:
            return
        try:
            if self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
            else:
                self.received += self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.failed = True


class ProceedBetweenImports:
    """Meta path finder that lets a request proceed before each import."""

    __slots__ = ('request',)

    def __init__(self, *, request: FirstPageRequest) -> None:
        """Store the request."""
        self.request = request

    def find_spec(self, *_: object) -> None:
        """Proceed; return None, so that other finders load the module."""
        self.request.proceed()

    def install(self) -> None:
        """Proceed before each import from now on."""
        sys.meta_path.insert(0, self)

    def remove(self) -> None:
        """Stop that."""
        sys.meta_path.remove(self)


def first_request(remote: tuple[str, int]) -> bytes:
    """Return the request for the first page of all keys.

    The encoders of the initial read give the same bytes, but take long to
    import.
    """
    host, port = remote
    return (
        'GET /-/kv-range?Prefix= HTTP/1.1\r\n'
        f'Host: {host}:{port}\r\nUser-Agent: burdocksill\r\n\r\n'
    ).encode()
