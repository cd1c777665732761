"""A caller that costs less than what it measures.

It patches tokens and cookies into a datagram that the codec wrote once, and
keeps a fixed number of requests under way on one plain socket.
"""

import contextlib
import itertools
import socket
import time
from collections.abc import Iterable, Iterator
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram

from burdocksill.flows.cookie import COOKIE_BYTES
from burdocksill.network.protocols import Address
from burdocksill.network.sockets import KERNEL_BUFFER_BYTES
from burdocksill.observe.counters import make_histogram
from burdocksill.requests.codec import decode_answer, encode_request
from burdocksill.requests.messages import CallerRequest

TOKEN_AT: Final = 4
TOKEN_BYTES: Final = 8
RECEIVE_BYTES: Final = 65536
# Nothing is lost on loopback below the kernel's buffers; a datagram that is
# still missing after this long is counted as unanswered.
ANSWER_SECONDS: Final = 3.0
MICROSECONDS: Final = 1_000_000
FLOOD_BURST: Final = 32
# The first byte of a CoAP code in the answers that the bench expects.
CODE_UNAUTHORIZED: Final = 0x81
SUCCESS_CLASS: Final = 2
CLASS_SHIFT: Final = 5


@attrs.frozen(kw_only=True)
class Template:
    """Hold an encoded request with the places of its token and cookie."""

    encoded: bytes
    cookie_at: int

    def fill(self, number: int, cookie: bytes) -> bytes:
        """Return the datagram of one request."""
        token = number.to_bytes(TOKEN_BYTES, 'big')
        rest = self.encoded[TOKEN_AT + TOKEN_BYTES :]
        if cookie:
            at = self.cookie_at - TOKEN_AT - TOKEN_BYTES
            rest = rest[:at] + cookie + rest[at + COOKIE_BYTES :]
        return self.encoded[:TOKEN_AT] + token + rest


def make_template(service: str, *, with_cookie: bool) -> Template:
    """Encode a GET of a service once."""
    mark = b'\xa5' * COOKIE_BYTES
    encoded = encode_request(
        CallerRequest(
            service=service,
            method='GET',
            token=bytes(TOKEN_BYTES),
            message_id=1,
            confirmable=False,
            path=('confirmations', 'today'),
            cookie=mark if with_cookie else b'',
        ),
    )
    return Template(encoded=encoded, cookie_at=encoded.find(mark))


@attrs.define(kw_only=True)
class LoadResult:
    """Hold what became of one phase of load."""

    sent: int = 0
    ran: int = 0
    refused: int = 0
    unanswered: int = 0
    seconds: float = 0
    latency: HdrHistogram = attrs.field(factory=make_histogram)
    cookies: list[bytes] = attrs.field(factory=list)

    @property
    def answered(self) -> int:
        """Return the requests that got any answer."""
        return self.sent - self.unanswered

    @property
    def rate(self) -> float:
        """Return the answers a second."""
        return self.answered / self.seconds if self.seconds else 0

    def percentile(self, share: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return float(self.latency.get_value_at_percentile(share)) / 1000


@attrs.define(kw_only=True)
class LoadCaller:
    """Send requests to one entry VM with a fixed number under way."""

    server: Address
    host: str
    number: int = 0
    plain: socket.socket = attrs.field(init=False)
    # Send times of the requests under way, by token.
    waiting: dict[bytes, float] = attrs.field(factory=dict)
    # Cookies are for the address that they were given to.
    cookies: list[bytes] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Bind a socket with large kernel buffers."""
        self.plain = socket.socket(type=socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.plain.setsockopt(
                socket.SOL_SOCKET,
                option,
                KERNEL_BUFFER_BYTES,
            )
        self.plain.bind((self.host, 0))
        self.plain.settimeout(ANSWER_SECONDS)

    def open_flows(self, template: Template, count: int) -> LoadResult:
        """Open flows and keep their cookies."""
        wanted = (b'' for _ in range(count))
        done = self.run(template, wanted, under_way=32, keep_cookies=True)
        self.cookies = done.cookies
        return done

    def run(
        self,
        template: Template,
        cookies: Iterable[bytes],
        *,
        under_way: int,
        keep_cookies: bool = False,
    ) -> LoadResult:
        """Send one request for each cookie and wait for all answers."""
        outcome = LoadResult()
        began = time.perf_counter()
        queue = iter(cookies)
        for _ in range(under_way):
            self.send_next(template, queue, outcome)
        while self.waiting:
            try:
                received = self.plain.recv(RECEIVE_BYTES)
            except TimeoutError:
                outcome.unanswered += len(self.waiting)
                self.waiting.clear()
                break
            if self.take(received, outcome, keep_cookies=keep_cookies):
                self.send_next(template, queue, outcome)
        outcome.seconds = time.perf_counter() - began
        return outcome

    def send_next(
        self,
        template: Template,
        queue: Iterator[bytes],
        outcome: LoadResult,
    ) -> None:
        """Send the next request unless all are sent."""
        cookie = next(queue, None)
        if cookie is None:
            return
        self.number += 1
        datagram = template.fill(self.number, cookie)
        token = datagram[TOKEN_AT : TOKEN_AT + TOKEN_BYTES]
        self.waiting[token] = time.perf_counter()
        # Not connected: the owner answers from its own address.
        self.plain.sendto(datagram, (self.server.host, self.server.port))
        outcome.sent += 1

    def take(
        self,
        received: bytes,
        outcome: LoadResult,
        *,
        keep_cookies: bool,
    ) -> bool:
        """Count one answer; return False when nobody waits for it."""
        token = received[TOKEN_AT : TOKEN_AT + TOKEN_BYTES]
        sent_at = self.waiting.pop(token, None)
        if sent_at is None:
            return False
        latency = (time.perf_counter() - sent_at) * MICROSECONDS
        outcome.latency.record_value(max(1, int(latency)))
        code = received[1]
        if code >> CLASS_SHIFT == SUCCESS_CLASS:
            outcome.ran += 1
        elif code != CODE_UNAUTHORIZED:
            outcome.refused += 1
        if keep_cookies:
            outcome.cookies.append(decode_answer(received)[1].cookie)
        return True

    def flood(self, datagram: bytes, count: int, rate: float) -> float:
        """Send copies at a rate, waiting for no answer; return the seconds."""
        began = time.perf_counter()
        address = (self.server.host, self.server.port)
        for number in range(count):
            if number % FLOOD_BURST == 0:
                due = began + number / rate
                time.sleep(max(0, due - time.perf_counter()))
            self.plain.sendto(datagram, address)
        return time.perf_counter() - began

    def drain(self) -> None:
        """Throw away the answers that nobody waits for."""
        self.plain.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            for _ in itertools.count():
                self.plain.recv(RECEIVE_BYTES)
        self.plain.settimeout(ANSWER_SECONDS)

    def close(self) -> None:
        """Release the socket."""
        self.plain.close()
