"""Interfaces between ownership and entry, and the fence."""

from typing import Protocol

from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.requests.messages import Answer, Envelope


class CallerLink(Protocol):
    """Answer callers and relay their datagrams to other entry VMs."""

    def reply(self, envelope: Envelope, answer: Answer) -> None:
        """Send an answer directly to the caller."""

    def reachable(self, member: Member) -> bool:
        """Return True if packets can be relayed to a member."""

    def relay(
        self,
        envelope: Envelope,
        peer: Address,
        *,
        upstream: str = '',
    ) -> None:
        """Relay a datagram to another VM."""


class Fence(Protocol):
    """Prevent dispatch while another VM may own the upstreams."""

    async def run(self) -> None:
        """Monitor this VM until cancelled."""

    def check(self) -> None:
        """Raise RequestFailedError (not run) while this VM is fenced."""
