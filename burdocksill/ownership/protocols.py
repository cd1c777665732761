"""What ownership needs of the entry, and the fence before each dispatch."""

from typing import Protocol

from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address
from burdocksill.requests.messages import Answer, Envelope


class CallerLink(Protocol):
    """Answer callers and pass their datagrams on to other entry VMs."""

    def reply(self, envelope: Envelope, answer: Answer) -> None:
        """Send an answer straight to the caller."""

    def reachable(self, member: Member) -> bool:
        """Return True for a member that packets can be relayed to."""

    def relay(
        self,
        envelope: Envelope,
        peer: Address,
        *,
        upstream: str = '',
    ) -> None:
        """Pass a datagram on to another VM."""


class Fence(Protocol):
    """Stop a VM from dispatching while others may have taken its place."""

    async def run(self) -> None:
        """Watch this VM until cancelled."""

    def check(self) -> None:
        """Raise RequestFailedError (not run) while this VM is fenced."""
