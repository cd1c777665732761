"""Keep a verified connection to one upstream."""

import logging
from collections.abc import AsyncGenerator
from typing import Final

import attrs
import trio

from burdocksill.documents.models import Upstream
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Network
from burdocksill.observe.counters import Counters
from burdocksill.observe.lines import StateLogger
from burdocksill.requests.exceptions import RequestFailedError
from burdocksill.requests.verdict import Reason, Verdict
from burdocksill.upstreams.connection import UpstreamConnection
from burdocksill.upstreams.exceptions import IdentityMismatchError
from burdocksill.upstreams.health import (
    HEALTH_PATH,
    LOAD_PATH,
    POLL_SECONDS,
    HealthReport,
    HealthState,
    LoadReport,
    poll,
)
from burdocksill.upstreams.identity import identify
from burdocksill.upstreams.limits import CONNECTION_LOST, NEW_INSTANCE
from burdocksill.upstreams.messages import (
    Identity,
    UpstreamAnswer,
    UpstreamRequest,
)
from burdocksill.upstreams.protocols import IdentityVerifier, Limiter

RECONNECT_SECONDS: Final = 0.5
CONNECT_TIMEOUT_SECONDS: Final = 2.0
IDENTITY_TIMEOUT_SECONDS: Final = 2.0
# A silent connection is found within the pause and the timeout together.
PING_SECONDS: Final = 1.0
PING_TIMEOUT_SECONDS: Final = 2.5

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class NameVerifier:
    """Accept an upstream that names the document's service and upstream.

    An address can have been given to another service since the document was
    written; without this check its requests would reach that service.
    """

    def verify(
        self, *, service: str, upstream: Upstream, seen: Identity
    ) -> None:
        """Raise IdentityMismatchError when the names differ."""
        if (seen.service, seen.upstream) != (service, upstream.name):
            raise IdentityMismatchError(
                message=(
                    f'{upstream.address} says it is {seen.upstream} of '
                    f'{seen.service}, not {upstream.name} of {service}'
                ),
                hint='correct the address in the document',
            )


@attrs.define(kw_only=True)
class VerifiedClient:
    """Connect, verify, carry requests, watch, connect again."""

    service: str
    upstream: Upstream
    network: Network
    limiter: Limiter
    counters: Counters = attrs.field(factory=Counters)
    verifier: IdentityVerifier = attrs.field(factory=NameVerifier)
    connection: UpstreamConnection | None = None
    identity: Identity | None = None
    state: HealthState = HealthState.READY
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    @property
    def connected(self) -> bool:
        """Return True while there is a verified connection."""
        return self.connection is not None and not self.connection.closed

    @property
    def instance(self) -> str:
        """Return the instance that was verified last, empty before."""
        return self.identity.instance if self.identity else ''

    @property
    def leaving(self) -> bool:
        """Return True when the upstream itself says that it leaves."""
        return self.state is HealthState.DRAINING

    async def run(self) -> None:
        """Keep a verified connection until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                wait = RECONNECT_SECONDS
                try:
                    wait = await self.hold_connection(nursery)
                except (OSError, BurdocksillError, trio.TooSlowError) as error:
                    self.count('connections_failed')
                    self.state_logger.log_change(
                        'upstream unreachable',
                        level=logging.WARNING,
                        upstream=self.upstream.name,
                        cause=str(error),
                    )
                await trio.sleep(wait)

    async def hold_connection(self, nursery: trio.Nursery) -> float:
        """Use one connection until it is retired; return when to reconnect.

        A retired connection that still has open streams goes on in its own
        task while the next one is opened beside it.
        """
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await self.network.connect(self.upstream.address)
        connection = UpstreamConnection(
            stream=stream,
            authority=str(self.upstream.address),
        )
        nursery.start_soon(self.carry, connection)
        try:
            await self.verify(connection)
        except BaseException:
            # Nothing may use a connection whose other end is not verified.
            connection.close()
            raise
        self.connection = connection
        self.state_logger.log_change(
            'upstream connected', upstream=self.upstream.name
        )
        self.count('connections_opened')
        await connection.retired.wait()
        self.connection = None
        return self.settle_end(connection)

    async def verify(self, connection: UpstreamConnection) -> None:
        """Learn who is at the other end before anything else is sent."""
        with trio.fail_after(IDENTITY_TIMEOUT_SECONDS):
            seen = await identify(connection)
        self.verifier.verify(
            service=self.service,
            upstream=self.upstream,
            seen=seen,
        )
        self.take_instance(seen)

    def take_instance(self, seen: Identity) -> None:
        """Start cold when the upstream has become a new instance."""
        known = self.identity
        self.identity = seen
        if known is not None and known.instance != seen.instance:
            self.state = HealthState.READY
            self.start_cold(NEW_INSTANCE)

    def settle_end(self, connection: UpstreamConnection) -> float:
        """Learn from how a connection ended; return when to reconnect."""
        if connection.went_away:
            # A GOAWAY may be a restart or a routine: until the upstream says
            # otherwise on a new connection, it is taken to be leaving.
            self.state = HealthState.DRAINING
            self.count('connections_gone_away')
            return RECONNECT_SECONDS
        self.count('connections_lost')
        self.start_cold(CONNECTION_LOST)
        return 0

    def start_cold(self, cause: str) -> None:
        """Send the limit back to its cold start."""
        self.count('cold_starts', cause=cause)
        self.limiter.start_cold(cause=cause)

    async def carry(self, connection: UpstreamConnection) -> None:
        """Read one connection to its end, beside the tasks that watch it."""
        async with connection.stream, trio.open_nursery() as nursery:
            nursery.start_soon(self.watch, connection)
            nursery.start_soon(self.poll, connection)
            nursery.start_soon(self.end_carry, connection, nursery)
            await connection.run()
            nursery.cancel_scope.cancel()

    async def end_carry(
        self,
        connection: UpstreamConnection,
        nursery: trio.Nursery,
    ) -> None:
        """Stop reading when the connection is given up on from outside."""
        await connection.ended.wait()
        nursery.cancel_scope.cancel()

    async def watch(self, connection: UpstreamConnection) -> None:
        """Give a connection up when it has fallen silent.

        Something between the two ends may have lost track of it: nothing
        errors, requests just never end. The sign is a PING without any byte
        in return; a new connection works at once, so the old is replaced.
        """
        try:
            await self.probe_forever(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The reader sees the same end and settles what is open.
            return

    async def probe_forever(self, connection: UpstreamConnection) -> None:
        """Probe a connection until it falls silent."""
        while True:
            with trio.move_on_after(PING_TIMEOUT_SECONDS):
                await connection.probe()
                await trio.sleep(PING_SECONDS)
                continue
            self.count('connections_silent')
            logger.warning(
                'connection fell silent',
                extra={'upstream': self.upstream.name},
            )
            connection.close(silent=True)
            return

    async def poll(self, connection: UpstreamConnection) -> None:
        """Ask for health and load until the connection is retired."""
        while not connection.closed:
            if connection is self.connection:
                health = await poll(connection, HEALTH_PATH, HealthReport)
                load = await poll(connection, LOAD_PATH, LoadReport)
                if not connection.closed:
                    self.take_reports(health, load)
            await trio.sleep(POLL_SECONDS)

    def take_reports(
        self,
        health: HealthReport | None,
        load: LoadReport | None,
    ) -> None:
        """Take an upstream's own word, as far as it calls for caution."""
        if load is not None:
            self.limiter.take_report(load.bearable)
        if health is None or health.state is self.state:
            return
        logger.info(
            'upstream state',
            extra={'upstream': self.upstream.name, 'state': health.state},
        )
        self.state = health.state
        if health.state is HealthState.COLD and not self.limiter.cold:
            self.start_cold('told')

    def count(self, name: str, *, cause: str = 'none') -> None:
        """Count something that happened to this upstream."""
        self.counters.add(
            name,
            service=self.service,
            upstream=self.upstream.name,
            cause=cause,
        )

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Return a whole answer, or raise RequestFailedError."""
        return await self.require().exchange(request)

    def feed(self, request: UpstreamRequest) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, or raise RequestFailedError."""
        return self.require().feed(request)

    def require(self) -> UpstreamConnection:
        """Return the verified connection or say that nothing was sent."""
        if self.connection is None or self.connection.closed:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_DOWN,
            )
        return self.connection
