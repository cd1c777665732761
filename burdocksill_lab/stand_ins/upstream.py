"""A stand-in upstream that speaks HTTP/2 and keeps a ledger of its work."""

import enum
import json
import math
import uuid
from collections import deque
from typing import Final

import attrs
import trio

from burdocksill.network.protocols import Address
from burdocksill.upstreams.connection import FLOW_HEADER, TIMEOUT_HEADER
from burdocksill.upstreams.health import HEALTH_PATH, LOAD_PATH, HealthState
from burdocksill.upstreams.identity import IDENTITY_PATH
from burdocksill_lab.stand_ins.feeds import (
    AFTER_HEADER,
    UNKNOWN,
    feed_lines,
    feed_name,
)
from burdocksill_lab.stand_ins.serving import (
    ReceivedRequest,
    ServerConnection,
    StandInAnswer,
)
from burdocksill_lab.stand_ins.statements import statement, statement_size

DEFAULT_WORK_SECONDS: Final = 0.005
# A cold upstream bears one more request at once after each so many.
DEFAULT_WARM_REQUESTS: Final = 12
MS_PER_SECOND: Final = 1000
OWN_PATHS: Final = frozenset((IDENTITY_PATH, HEALTH_PATH, LOAD_PATH))


class Fault(enum.Enum):
    """Name how an upstream treats the requests that it gets."""

    NONE = 'none'
    SHED = 'shed'
    UNAVAILABLE = 'unavailable'
    REFUSE_STREAM = 'refuse-stream'
    RESET_STREAM = 'reset-stream'
    HALF_ANSWER = 'half-answer'
    DROP_AFTER_WORK = 'drop-after-work'
    DROP_BEFORE_WORK = 'drop-before-work'
    SILENT = 'silent'


class LoadLie(enum.Enum):
    """Name how an upstream's load endpoint misleads."""

    HONEST = 'honest'
    # It says that it can bear everything.
    HIGH = 'high'
    # It says that it can bear nothing.
    LOW = 'low'
    # It shows what was true when it froze, or some time ago.
    FROZEN = 'frozen'
    LAGGING = 'lagging'


@attrs.define(kw_only=True)
class LedgerEntry:
    """Remember that a request ran, for the checks of the lab."""

    method: str
    path: str
    payload: bytes
    flow: str
    # The deadline that came with it, in milliseconds; 0 without one.
    timeout_ms: int = 0


@attrs.frozen(kw_only=True)
class LoadSample:
    """Hold what the load endpoint would have shown at a time."""

    at: float
    bearable: int


@attrs.define(kw_only=True)
class StandInUpstream:
    """Answer requests of one service and remember those that ran.

    A cold one falls over, and drops all it has, when it is given more than it
    bears; a warm one sheds what is above its slots.
    """

    service: str
    name: str
    slots: int = 2
    work_seconds: float = DEFAULT_WORK_SECONDS
    instance: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    ledger: list[LedgerEntry] = attrs.field(factory=list)
    starts_cold: bool = False
    cold_limit: int = 1
    warm_requests: int = DEFAULT_WARM_REQUESTS
    # How many times longer work takes while it is cold.
    cold_factor: float = 1
    fault: Fault = Fault.NONE
    load_lie: LoadLie = LoadLie.HONEST
    lag_seconds: float = 0
    retry_after: str = '1'
    state: HealthState = HealthState.READY
    connections: list[ServerConnection] = attrs.field(factory=list)
    samples: deque[LoadSample] = attrs.field(factory=deque)
    # When each request came, those that were refused included.
    arrivals: list[float] = attrs.field(factory=list)
    busy: int = 0
    most_busy: int = 0
    done: int = 0
    restarts: int = 0
    falls: int = 0
    # The most work at once above what it could bear.
    most_over: int = 0

    def __attrs_post_init__(self) -> None:
        """Be warm unless told to start cold."""
        if not self.starts_cold:
            self.done = self.warm_requests * self.slots

    @property
    def bearable(self) -> int:
        """Return how many requests it can bear at once now."""
        grown = self.cold_limit + self.done // self.warm_requests
        return min(self.slots, grown)

    @property
    def cold(self) -> bool:
        """Return True while it cannot bear all its slots."""
        return self.bearable < self.slots

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends."""
        connection = ServerConnection(serve=self.serve, stream=stream)
        self.connections.append(connection)
        try:
            await connection.run()
        finally:
            self.connections.remove(connection)

    async def serve(
        self,
        connection: ServerConnection,
        request: ReceivedRequest,
    ) -> None:
        """Answer one request, or treat it as the fault says."""
        path = request.headers[':path']
        if path in OWN_PATHS:
            await connection.send(request.stream_id, self.own_answer(path))
            return
        name = feed_name(path)
        if name:
            await self.serve_feed(connection, request, name)
            return
        self.arrivals.append(trio.current_time())
        if self.refuses(connection, request):
            return
        if self.busy >= self.bearable and not self.cold:
            await connection.send(request.stream_id, self.shedding())
            return
        answer = await self.work(request)
        if answer is not None:
            await self.deliver(connection, request.stream_id, answer)

    async def serve_feed(
        self,
        connection: ServerConnection,
        request: ReceivedRequest,
        name: str,
    ) -> None:
        """Send a feed's lines until the caller cancels it."""
        if name == UNKNOWN:
            missing = StandInAnswer(status=404, payload='no such feed')
            await connection.send(request.stream_id, missing)
            return
        after = request.headers.get(AFTER_HEADER, '')
        connection.open_lines(request.stream_id)
        async for line in feed_lines(name, after):
            await connection.send_line(request.stream_id, line)

    def refuses(
        self,
        connection: ServerConnection,
        request: ReceivedRequest,
    ) -> bool:
        """Apply the faults that come before any work."""
        match self.fault:
            case Fault.SHED:
                connection.queue(request.stream_id, self.shedding())
            case Fault.UNAVAILABLE:
                answer = StandInAnswer(status=503, payload='')
                connection.queue(request.stream_id, answer)
            case Fault.REFUSE_STREAM:
                connection.refuse(request.stream_id)
            case Fault.RESET_STREAM:
                connection.reset(request.stream_id)
            case Fault.DROP_BEFORE_WORK:
                connection.drop()
            case Fault.SILENT:
                connection.muted = True
            case _:
                return False
        return True

    def shedding(self) -> StandInAnswer:
        """Return the answer that sheds a request."""
        return StandInAnswer(
            status=503,
            payload='',
            retry_after=self.retry_after,
        )

    async def work(self, request: ReceivedRequest) -> StandInAnswer | None:
        """Do the work of one request within its deadline."""
        self.busy += 1
        self.most_busy = max(self.most_busy, self.busy)
        self.most_over = max(self.most_over, self.busy - self.bearable)
        if self.busy > self.bearable:
            self.fall_over()
        factor = self.cold_factor if self.cold else 1
        # Noted before the work: whatever may have had an effect counts.
        self.enter_ledger(request)
        left = int(request.headers.get(TIMEOUT_HEADER, '0')) / MS_PER_SECOND
        try:
            with trio.move_on_after(left or math.inf):
                await trio.sleep(self.work_seconds * factor)
                return self.finish(request)
        finally:
            self.busy -= 1
        return None

    def enter_ledger(self, request: ReceivedRequest) -> None:
        """Remember a request that runs."""
        self.ledger.append(
            LedgerEntry(
                method=request.headers[':method'],
                path=request.headers[':path'],
                payload=bytes(request.body),
                flow=request.headers.get(FLOW_HEADER, ''),
                timeout_ms=int(request.headers.get(TIMEOUT_HEADER, '0')),
            ),
        )

    def finish(self, request: ReceivedRequest) -> StandInAnswer:
        """Write the answer of a request whose work is done."""
        self.done += 1
        path = request.headers[':path']
        size = statement_size(path)
        if size:
            whole = statement(by=self.name, run=len(self.ledger), size=size)
            return StandInAnswer(status=200, payload=whole)
        done = {'by': self.name, 'path': path, 'count': len(self.ledger)}
        return StandInAnswer(status=200, payload=json.dumps(done))

    async def deliver(
        self,
        connection: ServerConnection,
        stream_id: int,
        answer: StandInAnswer,
    ) -> None:
        """Send an answer, or what the fault leaves of it."""
        if self.fault is Fault.DROP_AFTER_WORK:
            connection.drop()
        elif self.fault is Fault.HALF_ANSWER:
            await connection.send_half(stream_id, answer)
            connection.drop()
        else:
            await connection.send(stream_id, answer)

    def own_answer(self, path: str) -> StandInAnswer:
        """Answer a question about the upstream itself."""
        told: dict[str, object] = {}
        if path == IDENTITY_PATH:
            told = {
                'service': self.service,
                'upstream': self.name,
                'instance': self.instance,
            }
        elif path == HEALTH_PATH:
            told = {'state': self.told_state(), 'instance': self.instance}
        else:
            told = {'bearable': self.told_bearable(), 'busy': self.busy}
        return StandInAnswer(status=200, payload=json.dumps(told))

    def told_state(self) -> str:
        """Return what the health endpoint says."""
        honest = self.load_lie is LoadLie.HONEST
        if self.state is HealthState.READY and self.cold and honest:
            return HealthState.COLD.value
        return self.state.value

    def told_bearable(self) -> int:
        """Return what the load endpoint says."""
        now = trio.current_time()
        if self.load_lie is not LoadLie.FROZEN:
            self.samples.append(LoadSample(at=now, bearable=self.bearable))
        match self.load_lie:
            case LoadLie.HIGH:
                return self.slots
            case LoadLie.LOW:
                return 0
            case LoadLie.FROZEN:
                return self.samples[0].bearable if self.samples else self.slots
            case LoadLie.LAGGING:
                return self.lagging(now)
            case _:
                return self.bearable

    def lagging(self, now: float) -> int:
        """Return what was true some time ago."""
        while len(self.samples) > 1:
            if self.samples[1].at > now - self.lag_seconds:
                break
            self.samples.popleft()
        return self.samples[0].bearable

    def fall_over(self) -> None:
        """Drop everything and be cold again, as a crash would."""
        self.falls += 1
        self.restart()

    def restart(self) -> None:
        """Come back as a new, cold instance without any connection."""
        self.restarts += 1
        self.instance = f'{self.instance[:8]}-{self.restarts}'
        self.turn_cold()
        for connection in list(self.connections):
            connection.drop()

    def turn_cold(self) -> None:
        """Lose the warmth without a word: caches dropped, host moved."""
        self.done = 0

    def send_goaway(self) -> None:
        """Tell every connection that it takes no new streams."""
        for connection in self.connections:
            connection.send_goaway()


async def serve_upstream(upstream: StandInUpstream, address: Address) -> None:
    """Serve a stand-in on a real address until cancelled."""
    await trio.serve_tcp(
        upstream.serve_stream,
        address.port,
        host=address.host,
    )
