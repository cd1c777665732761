"""Ask the store whether it can be reached, when only that shows a cut."""

import logging
from typing import Final

import attrs
import trio

from burdocksill.network.clock import Clock
from burdocksill.observe.lines import StateLogger
from burdocksill.packets.isolation import IsolationDetector
from burdocksill.platform.exceptions import PlatformUnavailableError
from burdocksill.platform.store import StoreClient

# A store without trouble answers in a small part of this.
ANSWER_SECONDS: Final = 0.35
GAP_SECONDS: Final = 0.4

logger = logging.getLogger(__name__)


@attrs.define(kw_only=True, eq=False, repr=False)
class StoreProbe:
    """Make cheap calls over new connections while a cut is suspected."""

    isolation: IsolationDetector
    platform: StoreClient
    # Any key of the store does.
    key: str
    clock: Clock
    wanted: trio.Event = attrs.field(factory=trio.Event)
    state_logger: StateLogger = attrs.field(
        factory=lambda: StateLogger(logger=logger)
    )

    def suspect(self) -> None:
        """Ask soon."""
        self.wanted.set()

    async def run(self) -> None:
        """Ask whenever that is wanted, not too often."""
        while True:
            await self.wanted.wait()
            self.wanted = trio.Event()
            if await self.is_silent():
                self.isolation.record_store_timeout(self.clock())
                self.tell('cut off, serves at home')
            else:
                self.isolation.record_store_answer()
                self.tell('in touch with the store')
            await trio.sleep(GAP_SECONDS)

    async def is_silent(self) -> bool:
        """Return True when the store gives no answer, not even a refusal.

        An old connection may have fallen silent by itself.
        """
        await self.platform.connection.close()
        try:
            await self.platform.read(
                self.key,
                stale=True,
                timeout=ANSWER_SECONDS,
            )
        except PlatformUnavailableError as error:
            return error.silent
        return False

    def tell(self, state: str) -> None:
        """Write down what was found, when it differs from before."""
        domains = ' '.join(sorted(self.isolation.other_domains()))
        self.state_logger.log_change(
            state,
            domain=self.isolation.domain,
            suspected=domains,
        )
