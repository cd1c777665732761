"""Tell whether a failure domain that was taken out is cut off from all others.

Answers the load of a domain whose upstreams operators have taken out while a
cut keeps its nodes from those of all other domains: its clients would get
nothing for as long as the cut lasts. Operators ask for what their store can
tell a node; one that neither reaches the store nor any other domain serves at
home, as the last resort that its clients have.
"""

from __future__ import annotations

from collections.abc import Callable

from burdocksill.packets.outages import DomainOutageDetector, ignore_event

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.upstreams import UpstreamRegistry

# A call that the store did not answer counts for so long; it is made again
# sooner, for as long as the other domains are suspected.
SILENT_SECONDS: Final = 1.0


class IsolationDetector:
    """Hold what speaks for a cut around the own failure domain."""

    __slots__ = (
        'domain',
        'domains_out',
        'on_suspected',
        'outages',
        'silent_until',
        'upstreams',
    )

    def __init__(
        self,
        *,
        domain: str,
        domains_out: set[str],
        upstreams: UpstreamRegistry,
        outages: DomainOutageDetector,
    ) -> None:
        """Take all fields; `domains_out` are those taken out."""
        self.domain = domain
        self.domains_out = domains_out
        self.upstreams = upstreams
        self.outages = outages
        # Until when the store counts as out of reach.
        self.silent_until = float('-inf')
        # Called while only the store can tell whether this is a cut.
        self.on_suspected: Callable[[], None] = ignore_event

    def is_isolated(self, now: float) -> bool:
        """Return True when new flows have nowhere to go but home."""
        if self.domain not in self.domains_out or not self.are_others_suspected(
            now
        ):
            return False
        self.on_suspected()
        return now < self.silent_until

    def are_others_suspected(self, now: float) -> bool:
        """Return True when all other domains in use must prove themselves."""
        others = self.other_domains()
        return bool(others) and all(
            self.outages.is_domain_suspected(name, now) for name in others
        )

    def other_domains(self) -> set[str]:
        """Return the other domains with upstreams that want new flows."""
        return {
            name
            for domains in self.upstreams.by_service.values()
            for name, placed in domains.items()
            if placed and name != self.domain and name not in self.domains_out
        }

    def record_store_timeout(self, now: float) -> None:
        """Take note that the store left a call without an answer."""
        self.silent_until = now + SILENT_SECONDS

    def record_store_answer(self) -> None:
        """Take note that the store can be reached."""
        self.silent_until = float('-inf')
