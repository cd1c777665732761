"""Client that keeps a verified connection to one upstream."""

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
# An unresponsive connection is detected within the sum of these two.
PING_SECONDS: Final = 1.0
PING_TIMEOUT_SECONDS: Final = 2.5

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True)
class NameVerifier:
    """Accept an upstream that reports the document's service and upstream.

    An address may have been reassigned to another service since the document
    was written; without this check, requests would reach that service.
    """

    def verify(
        self, *, service: str, upstream: Upstream, seen: Identity
    ) -> None:
        """Raise IdentityMismatchError when the names differ."""
        if (seen.service, seen.upstream) != (service, upstream.name):
            raise IdentityMismatchError(
                message=(
                    f'{upstream.address} identifies as {seen.upstream} of '
                    f'{seen.service}, not {upstream.name} of {service}'
                ),
                hint='correct the address in the document',
            )


@attrs.define(kw_only=True)
class VerifiedClient:
    """Send requests on a verified connection and replace it when it fails."""

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
        """Return the last verified instance, or an empty string."""
        return self.identity.instance if self.identity else ''

    @property
    def leaving(self) -> bool:
        """Return True when the upstream reports that it is draining."""
        return self.state is HealthState.DRAINING

    async def run(self) -> None:
        """Keep a verified connection until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                delay = RECONNECT_SECONDS
                try:
                    delay = await self.use_connection(nursery)
                except (OSError, BurdocksillError, trio.TooSlowError) as error:
                    self.count('connections_failed')
                    self.state_logger.log_change(
                        'upstream unreachable',
                        level=logging.WARNING,
                        upstream=self.upstream.name,
                        cause=str(error),
                    )
                await trio.sleep(delay)

    async def use_connection(self, nursery: trio.Nursery) -> float:
        """Use one connection until it is retired; return the reconnect delay.

        A retired connection with open streams continues in its own task while
        the next one is opened. The delay is in seconds.
        """
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await self.network.connect(self.upstream.address)
        connection = UpstreamConnection(
            stream=stream,
            authority=str(self.upstream.address),
        )
        nursery.start_soon(self.serve_connection, connection)
        try:
            await self.verify(connection)
        except BaseException:
            # No request may use a connection whose peer is not verified.
            connection.close()
            raise
        self.connection = connection
        self.state_logger.log_change(
            'upstream connected', upstream=self.upstream.name
        )
        self.count('connections_opened')
        await connection.retired.wait()
        self.connection = None
        return self.handle_end(connection)

    async def verify(self, connection: UpstreamConnection) -> None:
        """Check the peer's identity before any request is sent."""
        with trio.fail_after(IDENTITY_TIMEOUT_SECONDS):
            seen = await identify(connection)
        self.verifier.verify(
            service=self.service,
            upstream=self.upstream,
            seen=seen,
        )
        self.update_instance(seen)

    def update_instance(self, seen: Identity) -> None:
        """Store the identity; start cold when the instance has changed."""
        previous = self.identity
        self.identity = seen
        if previous is not None and previous.instance != seen.instance:
            self.state = HealthState.READY
            self.start_cold(NEW_INSTANCE)

    def handle_end(self, connection: UpstreamConnection) -> float:
        """Update the state after a connection; return the reconnect delay."""
        if connection.goaway_received:
            # A GOAWAY may mean a restart or be routine. The upstream counts
            # as leaving until it reports otherwise on a new connection.
            self.state = HealthState.DRAINING
            self.count('connections_gone_away')
            return RECONNECT_SECONDS
        self.count('connections_lost')
        self.start_cold(CONNECTION_LOST)
        return 0

    def start_cold(self, cause: str) -> None:
        """Return the limiter to its cold limit."""
        self.count('cold_starts', cause=cause)
        self.limiter.start_cold(cause=cause)

    async def serve_connection(self, connection: UpstreamConnection) -> None:
        """Run a connection to its end, with its PINGs and polls."""
        async with connection.stream, trio.open_nursery() as nursery:
            nursery.start_soon(self.close_when_silent, connection)
            nursery.start_soon(self.poll, connection)
            nursery.start_soon(self.stop_when_ended, connection, nursery)
            await connection.run()
            nursery.cancel_scope.cancel()

    async def stop_when_ended(
        self,
        connection: UpstreamConnection,
        nursery: trio.Nursery,
    ) -> None:
        """Stop running a connection that another task has closed."""
        await connection.ended.wait()
        nursery.cancel_scope.cancel()

    async def close_when_silent(self, connection: UpstreamConnection) -> None:
        """Close a connection that has become unresponsive.

        A device on the path may have lost the connection's state: there is no
        error, but requests never end. It is detected by a PING after which no
        byte arrives. A new connection works at once, so it replaces the old.
        """
        try:
            await self.probe_until_silent(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The reader detects the same end and fails the open exchanges.
            return

    async def probe_until_silent(self, connection: UpstreamConnection) -> None:
        """Send PINGs until nothing arrives in time, then close."""
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
        """Poll health and load until the connection is retired."""
        while not connection.closed:
            if connection is self.connection:
                health = await poll(connection, HEALTH_PATH, HealthReport)
                load = await poll(connection, LOAD_PATH, LoadReport)
                if not connection.closed:
                    self.apply_reports(health, load)
            await trio.sleep(POLL_SECONDS)

    def apply_reports(
        self,
        health: HealthReport | None,
        load: LoadReport | None,
    ) -> None:
        """Apply reports; they can only lower the limit or start cold."""
        if load is not None:
            self.limiter.apply_load_report(load.bearable)
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
        """Increment a counter of this upstream."""
        self.counters.add(
            name,
            service=self.service,
            upstream=self.upstream.name,
            cause=cause,
        )

    async def exchange(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Return a complete answer, or raise RequestFailedError."""
        return await self.require_connection().exchange(request)

    def feed(self, request: UpstreamRequest) -> AsyncGenerator[bytes, None]:
        """Yield a feed's notifications, or raise RequestFailedError."""
        return self.require_connection().feed(request)

    def require_connection(self) -> UpstreamConnection:
        """Return the verified connection, or raise RequestFailedError."""
        if self.connection is None or self.connection.closed:
            raise RequestFailedError(
                verdict=Verdict.NOT_RUN,
                reason=Reason.UPSTREAM_DOWN,
            )
        return self.connection
