"""Detect failure domains whose upstreams fail together.

When a domain loses many upstreams at once, to a crash or a loss of power, their
hosts refuse clients' opening packets within milliseconds. With no open flows
the failed upstreams look the least loaded, so that all tries of a client would
reach one after the other. A single node sends too few openings to find each
failed upstream by itself. The nodes of a domain share what they observe, and a
few observations show that the domain has failed. New flows then go to upstreams
that have answered since. Until then, or if no observations arrive, each node
goes by its own circuit breaker of the domain.

These observations affect the placement of new flows only; they end no flow.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import chain

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.breaker import CircuitBreaker
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.readers.messages import Observation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Older observations say nothing about the result of the next opening.
MAX_OBSERVATION_SECONDS: Final = 1.0
# A domain is suspected when this node missed answers of this many upstreams.
MIN_OWN_MISSED: Final = 3
# More are needed when reports of other nodes count: two of the reports may be
# wrong at once, and a packet to a third upstream may have been lost.
MIN_EVIDENCE: Final = 4
# A domain is suspected only while the upstreams that have answered since the
# first miss are at most this many times the evidence.
MAX_ANSWERED_RATIO: Final = 2
# Another node may be partitioned or faulty, so reports of others about one
# upstream count only if at least this many nodes agree.
MIN_REPORTERS: Final = 2
# A suspicion ends this long after the last missed answer.
SUSPICION_SECONDS: Final = 1.5
# The reporter number of this node itself.
LOCAL_REPORTER: Final = 0
# Sums of fractions are rounded before they are compared with whole numbers.
EVIDENCE_DIGITS: Final = 6

logger = EarlyLogger(__name__)


def ignore_event() -> None:
    """Do nothing; the default callback."""


class UpstreamObservations:
    """Hold the results of openings on one upstream, by reporter."""

    __slots__ = ('answered_at', 'missed', 'upstream')

    def __init__(self, upstream: KnownUpstream) -> None:
        """Start without observations."""
        self.upstream = upstream
        self.answered_at = float('-inf')
        # Time of each reporter's last missed answer since the last answer.
        self.missed: dict[int, float] = {}

    def reporters(self, since: float) -> set[int]:
        """Return the reporters that missed an answer since a time."""
        return {reporter for reporter, at in self.missed.items() if at >= since}

    def is_expired(self, now: float) -> bool:
        """Return True when all observations are too old to count."""
        latest = max(self.missed.values(), default=self.answered_at)
        return now - max(latest, self.answered_at) > SUSPICION_SECONDS

    def is_confirmed(self, now: float) -> bool:
        """Return True when this node or enough others missed an answer."""
        reporters = self.reporters(now - MAX_OBSERVATION_SECONDS)
        return LOCAL_REPORTER in reporters or len(reporters) >= MIN_REPORTERS


class DomainObservations:
    """Hold the results of openings in one failure domain."""

    __slots__ = (
        'avoided_since',
        'breaker',
        'by_upstream',
        'first_missed_at',
        'last_missed_at',
        'suspected_since',
    )

    def __init__(self) -> None:
        """Start with a domain that is not suspected."""
        self.by_upstream: dict[KnownUpstream, UpstreamObservations] = {}
        self.breaker = CircuitBreaker()
        # Since when new flows avoid the domain, as logged; infinite otherwise.
        self.avoided_since = float('inf')
        # Start of the suspicion; upstreams must have answered since then to
        # get new flows. Infinite while the domain is not suspected.
        self.suspected_since = float('inf')
        # The last missed answer, and the first one of its series: misses of a
        # series are at most MAX_OBSERVATION_SECONDS apart.
        self.last_missed_at = float('-inf')
        self.first_missed_at = float('-inf')

    def record_missed(self, at: float) -> None:
        """Record the time of a missed answer."""
        if at - self.last_missed_at > MAX_OBSERVATION_SECONDS:
            self.first_missed_at = at
        self.last_missed_at = max(self.last_missed_at, at)

    def is_new_answer(
        self,
        observations: UpstreamObservations,
        at: float,
    ) -> bool:
        """Return True when an answer changes what other nodes count."""
        if (
            observations.missed
            or at - observations.answered_at > MAX_OBSERVATION_SECONDS
        ):
            return True
        since = self.first_missed_at
        if self.has_suspicion():
            since = self.suspected_since
        return observations.answered_at < since <= at

    def of(self, upstream: KnownUpstream) -> UpstreamObservations:
        """Return the observations of an upstream, created when missing."""
        return self.by_upstream.setdefault(
            upstream,
            UpstreamObservations(upstream),
        )

    def has_recent_miss(self, now: float) -> bool:
        """Return True while answers should be reported to other nodes."""
        return now - self.last_missed_at <= MAX_OBSERVATION_SECONDS

    def has_suspicion(self) -> bool:
        """Return True until the suspicion is reset, even if it has expired."""
        return self.suspected_since != float('inf')

    def is_suspected(self, now: float) -> bool:
        """Return True while the domain is suspected."""
        return (
            self.suspected_since <= now
            and now - self.last_missed_at <= SUSPICION_SECONDS
        )

    def is_avoided(self, now: float) -> bool:
        """Return True while only a few new flows test the domain."""
        return self.breaker.is_open(now) or self.is_suspected(now)

    def remove_expired(self, now: float) -> None:
        """Remove observations that are too old to count."""
        for upstream, observations in list(self.by_upstream.items()):
            if observations.is_expired(now):
                del self.by_upstream[upstream]

    def recent_evidence(self, now: float) -> OutageEvidence:
        """Count recent misses, and answers since the first of them."""
        begin = now - MAX_OBSERVATION_SECONDS
        times = (
            at
            for observations in self.by_upstream.values()
            for at in observations.missed.values()
            if at >= begin
        )
        return self.evidence(begin, min(times, default=now))

    def evidence_since_suspected(self) -> OutageEvidence:
        """Count misses and answers since the start of the suspicion."""
        return self.evidence(self.suspected_since, self.suspected_since)

    def evidence(self, begin: float, since: float) -> OutageEvidence:
        """Count misses from `begin` on, and answers from `since` on."""
        missed = [
            (observations.upstream, reporters)
            for observations in self.by_upstream.values()
            if observations.upstream.is_registered
            and (reporters := observations.reporters(begin))
        ]
        return OutageEvidence(
            missed=tuple(reporters for _, reporters in missed),
            answered=sum(
                observations.answered_at >= since
                for observations in self.by_upstream.values()
            ),
            since=since,
        )


class OutageEvidence:
    """Hold the counts that decide whether a domain is suspected."""

    __slots__ = ('answered', 'missed', 'since')

    def __init__(
        self,
        *,
        missed: tuple[set[int], ...],
        answered: int,
        since: float,
    ) -> None:
        """Store the arguments."""
        # The reporters of each upstream that did not answer.
        self.missed = missed
        # Number of upstreams that have answered since `since`.
        self.answered = answered
        self.since = since

    @property
    def own(self) -> int:
        """Return the number of upstreams that did not answer this node."""
        return sum(LOCAL_REPORTER in reporters for reporters in self.missed)

    @property
    def reporters(self) -> int:
        """Return the number of nodes that missed an answer."""
        return len(set().union(*self.missed))

    @property
    def evidence(self) -> float:
        """Return the weighted number of unresponsive upstreams.

        An upstream that did not answer this node counts as 1. Each other node
        has a total weight of 1, divided among the upstreams that it reports:
        a faulty or partitioned node weighs as one upstream, however many it
        reports.
        """
        named = Counter(chain.from_iterable(self.missed))
        shares = [
            1
            if LOCAL_REPORTER in reporters
            else sum(1 / named[one] for one in reporters)
            for reporters in self.missed
        ]
        return round(sum(min(1, share) for share in shares), EVIDENCE_DIGITS)

    @property
    def indicates_outage(self) -> bool:
        """Return True when the domain as a whole seems to have failed."""
        enough = self.own >= MIN_OWN_MISSED or self.evidence >= MIN_EVIDENCE
        return enough and self.has_few_answers

    @property
    def has_few_answers(self) -> bool:
        """Return True when few upstreams answered compared to the evidence."""
        return self.answered <= self.evidence * MAX_ANSWERED_RATIO


class DomainOutageDetector:
    """Suspect domains and upstreams that new flows should avoid."""

    __slots__ = ('domains', 'on_observation', 'unsent', 'upstreams')

    def __init__(self, upstreams: UpstreamRegistry) -> None:
        """Start without observations."""
        self.upstreams = upstreams
        self.domains: dict[str, DomainObservations] = {}
        # This node's observations that were not sent to other nodes yet.
        self.unsent: list[Observation] = []
        # Called after an observation was added to `unsent`.
        self.on_observation: Callable[[], None] = ignore_event

    def record_missed(self, upstream: KnownUpstream, now: float) -> None:
        """Record an opening of this node that was not answered."""
        domain = self.domain_of(upstream)
        domain.breaker.record_missed(upstream, now)
        if self.add_missed(upstream, LOCAL_REPORTER, now, now):
            self.publish(upstream, now, answered=False)

    def record_answered(self, upstream: KnownUpstream, now: float) -> None:
        """Record an answer, if its domain has a recent missed answer."""
        domain = self.domain_of(upstream)
        breaker = domain.breaker
        breaker.last_answered_at = now
        if not (domain.has_recent_miss(now) or breaker.has_recent_miss(now)):
            return
        if self.add_answered(domain, upstream, now, now):
            self.publish(upstream, now, answered=True)

    def domain_of(self, upstream: KnownUpstream) -> DomainObservations:
        """Return the observations of an upstream's domain."""
        name = upstream.record.domain
        domain = self.domains.get(name)
        if domain is None:
            domain = DomainObservations()
            self.domains[name] = domain
        return domain

    def publish(
        self,
        upstream: KnownUpstream,
        at: float,
        *,
        answered: bool,
    ) -> None:
        """Queue an observation of this node for the other nodes."""
        observation = Observation(
            echo=upstream.echo,
            answered=answered,
            at=at,
            reporter=LOCAL_REPORTER,
        )
        self.unsent.append(observation)
        self.on_observation()

    def pop_unsent(self) -> list[Observation]:
        """Return and remove the observations that were not sent yet."""
        unsent = self.unsent
        self.unsent = []
        return unsent

    def merge(self, observation: Observation, now: float) -> bool:
        """Add another node's observation; return False if it adds nothing."""
        upstream = self.upstreams.by_echo.get(observation.echo)
        if (
            upstream is None
            or not 0 <= now - observation.at <= MAX_OBSERVATION_SECONDS
        ):
            return False
        if not observation.answered:
            return self.add_missed(
                upstream,
                observation.reporter,
                observation.at,
                now,
            )
        domain = self.domain_of(upstream)
        return self.add_answered(domain, upstream, observation.at, now)

    def add_missed(
        self,
        upstream: KnownUpstream,
        reporter: int,
        at: float,
        now: float,
    ) -> bool:
        """Add a missed answer; return False if enough nodes reported it."""
        domain = self.domain_of(upstream)
        observations = domain.of(upstream)
        if observations.answered_at > at:
            return False
        others = observations.reporters(now - MAX_OBSERVATION_SECONDS) - {
            reporter
        }
        is_new = len(others) < MIN_REPORTERS
        observations.missed[reporter] = at
        domain.record_missed(at)
        self.update_suspicion(domain, now)
        if not domain.has_suspicion():
            self.suspect_if_failed(domain, now)
        self.log_change(upstream.record.domain, domain, now)
        return is_new

    def add_answered(
        self,
        domain: DomainObservations,
        upstream: KnownUpstream,
        at: float,
        now: float,
    ) -> bool:
        """Add an answer; return False if it changes nothing for others."""
        observations = domain.of(upstream)
        is_new = domain.is_new_answer(observations, at)
        if any(missed_at > at for missed_at in observations.missed.values()):
            return False
        observations.missed.clear()
        observations.answered_at = max(observations.answered_at, at)
        domain.breaker.record_answered(upstream, at)
        self.update_suspicion(domain, now)
        self.log_change(upstream.record.domain, domain, now)
        return is_new

    def suspect_if_failed(self, domain: DomainObservations, now: float) -> None:
        """Suspect a domain if enough of its upstreams are unresponsive."""
        domain.remove_expired(now)
        evidence = domain.recent_evidence(now)
        if evidence.indicates_outage:
            domain.suspected_since = evidence.since

    def expire_suspicions(self, now: float) -> None:
        """End suspicions that have expired or lack evidence."""
        for name, domain in self.domains.items():
            self.update_suspicion(domain, now)
            self.log_change(name, domain, now)

    def update_suspicion(self, domain: DomainObservations, now: float) -> None:
        """End a suspicion that has expired or lacks evidence."""
        if not domain.has_suspicion():
            return
        evidence = domain.evidence_since_suspected()
        if not domain.is_suspected(now) or not evidence.has_few_answers:
            domain.suspected_since = float('inf')

    def log_change(
        self,
        name: str,
        domain: DomainObservations,
        now: float,
    ) -> None:
        """Log that new flows begin or stop to avoid a domain, and why."""
        was_avoided = domain.avoided_since != float('inf')
        if domain.is_avoided(now) == was_avoided:
            return
        if was_avoided:
            message = 'domain trusted'
            since = domain.avoided_since
            counts = domain.evidence(since, since)
            domain.avoided_since = float('inf')
        else:
            message = 'domain suspected'
            counts = domain.recent_evidence(now)
            domain.avoided_since = counts.since
        logger.warning(
            message,
            extra={
                'domain': name,
                'missed': len(counts.missed),
                'evidence': counts.evidence,
                'answered': counts.answered,
                'reporters': counts.reporters,
                'own': counts.own,
                'since_s': round(now - counts.since, 3),
            },
        )

    def is_domain_avoided(self, name: str, now: float) -> bool:
        """Return True while only a few new flows test a domain."""
        domain = self.domains.get(name)
        return domain is not None and domain.is_avoided(now)

    def is_outage_confirmed(self, name: str, now: float) -> bool:
        """Return True while several missed openings speak against a domain."""
        domain = self.domains.get(name)
        return domain is not None and (
            domain.is_suspected(now)
            or (domain.breaker.is_open(now) and domain.breaker.is_confirmed)
        )

    def is_domain_suspected(self, name: str, now: float) -> bool:
        """Return True while a domain is suspected."""
        domain = self.domains.get(name)
        return domain is not None and domain.is_suspected(now)

    def suspected_domains(self, now: float) -> Iterator[str]:
        """Yield the names of the suspected domains."""
        for name in self.domains:
            if self.is_domain_suspected(name, now):
                yield name

    def is_upstream_suspected(
        self,
        upstream: KnownUpstream,
        now: float,
    ) -> bool:
        """Return True when a new flow on an upstream may get no answer.

        An upstream that this node has known only since the suspicion began is
        a new process, about which older observations say nothing.
        """
        domain = self.domains.get(upstream.record.domain)
        if domain is None:
            return False
        if domain.breaker.blocks(upstream, now):
            return True
        if now - domain.last_missed_at > SUSPICION_SECONDS:
            return False
        observations = domain.by_upstream.get(upstream)
        if observations is not None and observations.is_confirmed(now):
            return True
        since = domain.suspected_since
        if not domain.is_suspected(now) or upstream.first_seen_at > since:
            return False
        answered_at = upstream.health.last_answer_at
        if observations is not None:
            answered_at = max(answered_at, observations.answered_at)
        return answered_at < since
