"""Trials: the few new flows that probe suspected failure domains."""

from __future__ import annotations

from collections.abc import Container
from random import Random

from burdocksill.packets.isolation import IsolationDetector
from burdocksill.packets.outages import DomainOutageDetector

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# One of this many new flows is sent to a suspected domain as a trial. It finds
# upstreams that answer again, while all other flows go to other domains.
TRIAL_INTERVAL: Final = 16
# Trials of a domain with several missed openings are rarer. Most fail, and a
# client whose tries are all trials on different nodes is not served.
CONFIRMED_TRIAL_INTERVAL: Final = 64


class TrialSchedule:
    """Count new flows and select the trials among them."""

    __slots__ = (
        'domain',
        'domains_out',
        'flows_until_trial',
        'interval',
        'isolation',
        'rng',
    )

    def __init__(
        self,
        *,
        domain: str,
        domains_out: Container[str],
        isolation: IsolationDetector,
        rng: Random,
    ) -> None:
        """Store the collaborators; the placer's `domains_out` is not copied."""
        self.domain = domain
        self.domains_out = domains_out
        self.isolation = isolation
        self.rng = rng
        # The current interval, 0 for no trials, and the countdown to the next.
        self.interval: int = 0
        self.flows_until_trial: int = 0

    def is_trial(self, outages: DomainOutageDetector, now: float) -> bool:
        """Return True for the flows that probe suspected domains."""
        interval = self.next_interval(outages, now)
        if interval != self.interval:
            self.interval = interval
            # The nodes of a domain start at different counts.
            self.flows_until_trial = 1 + int(self.rng.random() * interval)
        if not interval:
            return False
        self.flows_until_trial -= 1
        if self.flows_until_trial:
            return False
        self.flows_until_trial = interval
        return True

    def next_interval(self, outages: DomainOutageDetector, now: float) -> int:
        """Return after how many new flows one is a trial, 0 for none.

        If the own domain is out of service and isolated, they probe the others.
        """
        if outages.is_outage_confirmed(self.domain, now):
            return CONFIRMED_TRIAL_INTERVAL
        if outages.is_domain_avoided(self.domain, now):
            return TRIAL_INTERVAL
        if (
            self.domain in self.domains_out
            and self.isolation.are_others_suspected(now)
        ):
            return TRIAL_INTERVAL
        return 0
