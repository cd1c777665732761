"""Detect that the own failure domain is partitioned from all others.

Operators may take a failure domain out of service while a network partition
separates its nodes from the upstreams of all other domains. Its clients would
then not be served until the partition ends. Operators' orders hold as far as
the store can deliver them: a node that reaches neither the store nor any other
domain uses the upstreams of its own domain, as the last resort of its clients.
"""

from __future__ import annotations

from collections.abc import Callable

from burdocksill.packets.outages import DomainOutageDetector, ignore_event

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

    from burdocksill.packets.upstreams import UpstreamRegistry

# Time for which an unanswered call counts as an unreachable store. The call is
# repeated sooner while the other domains are suspected.
UNREACHABLE_SECONDS: Final = 1.0


class IsolationDetector:
    """Decide whether new flows must stay in an own domain out of service."""

    __slots__ = (
        'domain',
        'domains_out',
        'on_suspected',
        'outages',
        'unreachable_until',
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
        """Store the collaborators; the placer's `domains_out` is not copied."""
        self.domain = domain
        self.domains_out = domains_out
        self.upstreams = upstreams
        self.outages = outages
        # Until when the store counts as unreachable.
        self.unreachable_until = float('-inf')
        # Called while the state of the store decides; starts a probe of it.
        self.on_suspected: Callable[[], None] = ignore_event

    def is_isolated(self, now: float) -> bool:
        """Return True when neither the store nor other domains are reachable.

        Always False while the own domain is in service.
        """
        if self.domain not in self.domains_out or not self.are_others_suspected(
            now
        ):
            return False
        self.on_suspected()
        return now < self.unreachable_until

    def are_others_suspected(self, now: float) -> bool:
        """Return True when all other domains in service are suspected."""
        others = self.other_domains()
        return bool(others) and all(
            self.outages.is_domain_suspected(name, now) for name in others
        )

    def other_domains(self) -> set[str]:
        """Return the other domains in service with upstreams for new flows."""
        return {
            name
            for domains in self.upstreams.by_service.values()
            for name, candidates in domains.items()
            if candidates
            and name != self.domain
            and name not in self.domains_out
        }

    def record_store_timeout(self, now: float) -> None:
        """Record that the store did not answer a call."""
        self.unreachable_until = now + UNREACHABLE_SECONDS

    def record_store_answer(self) -> None:
        """Record that the store is reachable."""
        self.unreachable_until = float('-inf')
