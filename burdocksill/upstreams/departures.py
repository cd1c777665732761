"""Whether an upstream leaves, whoever says so."""

import logging
from typing import Final, Protocol

import attrs
import trio

from burdocksill.documents.models import Upstream
from burdocksill.exceptions import BurdocksillError
from burdocksill.platform.protocols import Platform, VmState

POLL_SECONDS: Final = 1.0
UPSTREAM_ROLE: Final = 'upstream'

logger = logging.getLogger(__name__)


class LeavingRule(Protocol):
    """Decide whether an upstream gets no new work."""

    async def run(self) -> None:
        """Keep what the decision needs up to date until cancelled."""

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when it leaves; `told` is the upstream's own word."""


@attrs.define(kw_only=True)
class DepartureList:
    """Remember which upstream VMs the platform lists as leaving.

    The list lags and the platform has outages. So any one word is enough, and
    an outage keeps what was last read.
    """

    platform: Platform
    hosts: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read the list again and again."""
        while True:
            await self.refresh()
            await trio.sleep(POLL_SECONDS)

    async def refresh(self) -> None:
        """Read the list once."""
        try:
            records = await self.platform.list_vms()
        except BurdocksillError:
            return
        hosts = frozenset(
            record.host
            for record in records
            if record.role == UPSTREAM_ROLE and record.state is VmState.LEAVING
        )
        if hosts != self.hosts:
            logger.info('upstream VMs leaving', extra={'count': len(hosts)})
        self.hosts = hosts

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when the document, the upstream or the list says so."""
        return upstream.draining or told or upstream.host in self.hosts


@attrs.define(kw_only=True)
class NeverLeaving:
    """Take no notice of anyone: the baseline of the control runs."""

    platform: Platform

    async def run(self) -> None:
        """Have nothing to read."""

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return False always."""
        return False
