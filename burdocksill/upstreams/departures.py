"""Whether an upstream leaves, whoever says so."""

import logging
from collections.abc import Callable
from contextlib import aclosing
from typing import Final, Protocol

import attrs
import msgspec
import trio

from burdocksill.documents.models import Upstream
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address
from burdocksill.peers.envelope import Opened
from burdocksill.platform import keys
from burdocksill.platform.protocols import (
    Platform,
    StoredValue,
    VmRecord,
    VmState,
)
from burdocksill.upstreams.messages import VmsLeaving

RETRY_SECONDS: Final = 1.0
# Watchers tell owners again and again; what is not told any more has ended.
TELL_SECONDS: Final = 0.5
TOLD_SECONDS: Final = 10.0
UPSTREAM_ROLE: Final = 'upstream'

logger = logging.getLogger(__name__)


class LeavingRule(Protocol):
    """Decide whether an upstream gets no new work."""

    async def run(self) -> None:
        """Keep what the decision needs up to date until cancelled."""

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when it leaves; `told` is the upstream's own word."""

    def take_leaving(self, opened: Opened, peer: Address) -> None:
        """Take what a watcher of the platform's list tells."""


@attrs.define(kw_only=True)
class DepartureList:
    """Learn which upstream VMs leave, and tell the owners among the peers.

    Only the few VMs that watch the store follow the platform's list: its
    calls must not grow with the fleet. The list lags and the platform has
    outages, so any one word is enough, and an outage keeps what was read.
    """

    platform: Platform
    watches: Callable[[], bool]
    # Sends to the peers that own upstreams on a host.
    tell: Callable[[str], None]
    listed: set[str] = attrs.field(factory=set)
    told: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Follow the list while this VM watches, and tell the owners."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow_forever)
            while True:
                for host in sorted(self.listed):
                    self.tell(host)
                await trio.sleep(TELL_SECONDS)

    async def follow_forever(self) -> None:
        """Follow the list again after each outage."""
        while True:
            if self.watches():
                await self.follow_while_watching()
            else:
                self.listed.clear()
            await trio.sleep(RETRY_SECONDS)

    async def follow_while_watching(self) -> None:
        """Read the list, then its changes, until others watch instead."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.step_down, nursery.cancel_scope)
            try:
                await self.follow()
            except BurdocksillError as error:
                logger.warning(
                    'platform list unreachable',
                    extra={'cause': str(error)},
                )
            nursery.cancel_scope.cancel()

    async def step_down(self, scope: trio.CancelScope) -> None:
        """Stop following once this VM watches no longer."""
        # Rank changes with the members; nothing signals it here.
        while self.watches():  # noqa: ASYNC110
            await trio.sleep(RETRY_SECONDS)
        scope.cancel()

    async def follow(self) -> None:
        """Read the list once, then apply its changes."""
        snapshot = await self.platform.read_prefix(keys.VMS)
        self.listed.clear()
        for stored in snapshot.values:
            self.take(stored)
        changes = self.platform.watch(
            prefix=keys.VMS,
            from_revision=snapshot.revision + 1,
        )
        async with aclosing(changes):
            async for change in changes:
                self.take(change)

    def take(self, stored: StoredValue) -> None:
        """Take one VM of the list; one that cannot be read changes nothing."""
        try:
            record = msgspec.json.decode(stored.value, type=VmRecord)
        except msgspec.MsgspecError:
            return
        if record.role != UPSTREAM_ROLE:
            return
        if record.state is VmState.LEAVING:
            self.listed.add(record.host)
            self.tell(record.host)
        else:
            self.listed.discard(record.host)

    def take_leaving(self, opened: Opened, peer: Address) -> None:
        """Take what a watcher of the platform's list tells."""
        message = opened.message
        if isinstance(message, VmsLeaving):
            until = trio.current_time() + TOLD_SECONDS
            self.told.update(dict.fromkeys(message.hosts, until))

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return True when the document, the upstream or the list says so."""
        if upstream.draining or told or upstream.host in self.listed:
            return True
        return self.told.get(upstream.host, 0) > trio.current_time()


@attrs.define(kw_only=True)
class NeverLeaving:
    """Take no notice of anyone: the baseline of the control runs."""

    async def run(self) -> None:
        """Have nothing to follow."""

    def leaves(self, upstream: Upstream, *, told: bool) -> bool:
        """Return False always."""
        return False

    def take_leaving(self, opened: Opened, peer: Address) -> None:
        """Take no notice."""
