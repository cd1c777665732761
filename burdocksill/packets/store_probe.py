"""Probe the store while a network partition is suspected."""

import logging
from typing import Final

import attrs
import trio

from burdocksill.network.clock import Clock
from burdocksill.observe.lines import StateLogger
from burdocksill.packets.isolation import IsolationDetector
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.store import StoreClient

# A healthy store answers in a small fraction of this.
PROBE_TIMEOUT_SECONDS: Final = 0.35
PROBE_INTERVAL_SECONDS: Final = 0.4

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreProbe:
    """Make cheap reads over new connections while a partition is suspected."""

    isolation: IsolationDetector
    platform: StoreClient
    # Key to read; any key will do.
    key: str
    clock: Clock
    requested: trio.Event = attrs.field(factory=trio.Event)
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    def request_probe(self) -> None:
        """Request a probe."""
        self.requested.set()

    async def run(self) -> None:
        """Probe the store when requested, at a bounded rate."""
        while True:
            await self.requested.wait()
            self.requested = trio.Event()
            if await self.is_unreachable():
                self.isolation.record_store_timeout(self.clock())
                self.log_state('cut off, serves at home')
            else:
                self.isolation.record_store_answer()
                self.log_state('in touch with the store')
            await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def is_unreachable(self) -> bool:
        """Return True when the store gives no answer, not even an error.

        The probe uses a new connection, as an old one may be dead.
        """
        await self.platform.connection.close()
        try:
            await self.platform.read(
                self.key,
                stale=True,
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        except PlatformUnavailableError as error:
            return error.timed_out
        return False

    def log_state(self, state: str) -> None:
        """Log the state if it has changed."""
        domains = ' '.join(sorted(self.isolation.other_domains()))
        self.state_logger.log_change(
            state,
            domain=self.isolation.domain,
            suspected=domains,
        )
