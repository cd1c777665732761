"""Find failure domains whose upstreams died together.

Answers the load of a domain that loses many upstreams at once, to a crash or a
loss of power. Their hosts refuse clients' openings within milliseconds, and
with nothing open the dead look the least loaded, so that all tries of a client
meet one after the other. A node sees too few openings to find each of them by
itself; what the nodes of a domain see together shows within a few that it is
the domain that failed. New flows then go to upstreams that have answered since.

What is told here steers new flows alone: it ends none.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from itertools import chain

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.upstreams import KnownUpstream, UpstreamRegistry
from burdocksill.readers.messages import Observation

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Signs older than this tell nothing of what the next opening would meet.
SIGN_SECONDS: Final = 1.0
# A domain is suspected when this node missed openings on so many upstreams.
SUSPECTED_OWN: Final = 3
# With what others report it takes more: two of them may be wrong at once, and
# a packet of a third may be lost.
SUSPECTED_UPSTREAMS: Final = 4
# At most this many times as many upstreams may have answered since the first.
ANSWERED_FACTOR: Final = 2
# One node may be cut off itself, or lie: of an upstream alone, what others
# report counts from two of them on.
FEWEST_REPORTERS: Final = 2
# A domain is trusted again so long after the last missed opening.
SUSPICION_SECONDS: Final = 1.5
# The reporter that stands for this node's own eyes.
OWN: Final = 0
# Sums of shares are compared with whole numbers.
SHARE_DIGITS: Final = 6

logger = EarlyLogger(__name__)


def ignore_event() -> None:
    """Tell nobody of signs."""


class UpstreamSigns:
    """Hold what openings on one upstream met, by who saw it."""

    __slots__ = ('answered_at', 'known', 'missed')

    def __init__(self, known: KnownUpstream) -> None:
        """Begin with nothing seen."""
        self.known = known
        self.answered_at = float('-inf')
        # When each reporter last missed an answer, since the last answer.
        self.missed: dict[int, float] = {}

    def reporters(self, since: float) -> set[int]:
        """Return who has missed an answer since a time."""
        return {reporter for reporter, at in self.missed.items() if at >= since}

    def is_old(self, now: float) -> bool:
        """Return True when nothing here counts any more."""
        latest = max(self.missed.values(), default=self.answered_at)
        return now - max(latest, self.answered_at) > SUSPICION_SECONDS

    def is_certain(self, now: float) -> bool:
        """Return True when enough nodes missed an answer."""
        reporters = self.reporters(now - SIGN_SECONDS)
        return OWN in reporters or len(reporters) >= FEWEST_REPORTERS


class DomainSigns:
    """Hold what openings met in one failure domain."""

    __slots__ = ('missed_at', 'missed_since', 'signs', 'suspected_since')

    def __init__(self) -> None:
        """Begin with a domain that is trusted."""
        self.signs: dict[KnownUpstream, UpstreamSigns] = {}
        # Since when its upstreams must prove themselves; infinite: never.
        self.suspected_since = float('inf')
        # The last missed opening, and the first of those without a pause.
        self.missed_at = float('-inf')
        self.missed_since = float('-inf')

    def note_missed(self, at: float) -> None:
        """Take note of the time of a missed opening."""
        if at - self.missed_at > SIGN_SECONDS:
            self.missed_since = at
        self.missed_at = max(self.missed_at, at)

    def is_news(self, signs: UpstreamSigns, at: float) -> bool:
        """Return True when others count an answer that they haven't yet."""
        if signs.missed or at - signs.answered_at > SIGN_SECONDS:
            return True
        since = self.missed_since
        if self.was_suspected():
            since = self.suspected_since
        return signs.answered_at < since <= at

    def of(self, known: KnownUpstream) -> UpstreamSigns:
        """Return what openings on an upstream met."""
        return self.signs.setdefault(known, UpstreamSigns(known))

    def is_watched(self, now: float) -> bool:
        """Return True while answers are worth telling."""
        return now - self.missed_at <= SIGN_SECONDS

    def was_suspected(self) -> bool:
        """Return True until the domain is trusted again."""
        return self.suspected_since != float('inf')

    def is_suspected(self, now: float) -> bool:
        """Return True while its upstreams must prove themselves."""
        return (
            self.suspected_since <= now
            and now - self.missed_at <= SUSPICION_SECONDS
        )

    def forget_old(self, now: float) -> None:
        """Drop signs that count no more."""
        for known, signs in list(self.signs.items()):
            if signs.is_old(now):
                del self.signs[known]

    def weigh_lately(self, now: float) -> Weighed:
        """Count what speaks against the domain now, and for it since."""
        begin = now - SIGN_SECONDS
        times = (
            at
            for signs in self.signs.values()
            for at in signs.missed.values()
            if at >= begin
        )
        return self.weigh(begin, min(times, default=now))

    def weigh_suspicion(self) -> Weighed:
        """Count what speaks against the domain since it is suspected."""
        return self.weigh(self.suspected_since, self.suspected_since)

    def weigh(self, begin: float, since: float) -> Weighed:
        """Count misses from a time on, and answers from another."""
        missed = [
            (signs.known, reporters)
            for signs in self.signs.values()
            if signs.known.is_listed and (reporters := signs.reporters(begin))
        ]
        return Weighed(
            missed=tuple(reporters for _, reporters in missed),
            answered=sum(
                signs.answered_at >= since for signs in self.signs.values()
            ),
            since=since,
        )


class Weighed:
    """Hold the counts by which a domain is suspected."""

    __slots__ = ('answered', 'missed', 'since')

    def __init__(
        self,
        *,
        missed: tuple[set[int], ...],
        answered: int,
        since: float,
    ) -> None:
        """Take all fields."""
        # The reporters of each upstream without an answer.
        self.missed = missed
        # Upstreams that have answered since then.
        self.answered = answered
        self.since = since

    @property
    def own(self) -> int:
        """Return how many upstreams this node itself had no answer of."""
        return sum(OWN in reporters for reporters in self.missed)

    @property
    def reporters(self) -> int:
        """Return how many nodes missed an answer."""
        return len(set().union(*self.missed))

    @property
    def evidence(self) -> float:
        """Return how many upstreams count as silent.

        One that this node missed counts whole. The word of another node is
        one in all, spread over the upstreams that it names: however many a
        node names that lies or is cut off, it weighs as one upstream.
        """
        named = Counter(chain.from_iterable(self.missed))
        shares = [
            1 if OWN in reporters else sum(1 / named[one] for one in reporters)
            for reporters in self.missed
        ]
        return round(sum(min(1, share) for share in shares), SHARE_DIGITS)

    @property
    def speaks_against(self) -> bool:
        """Return True when the domain itself seems to have failed."""
        enough = (
            self.own >= SUSPECTED_OWN or self.evidence >= SUSPECTED_UPSTREAMS
        )
        return enough and self.outweighs

    @property
    def outweighs(self) -> bool:
        """Return True when few answered beside those that are silent."""
        return self.answered <= self.evidence * ANSWERED_FACTOR


class DomainOutageDetector:
    """Tell which upstreams a new flow should rather not be sent to."""

    __slots__ = ('domains', 'on_observation', 'own', 'upstreams')

    def __init__(self, upstreams: UpstreamRegistry) -> None:
        """Begin with nothing seen."""
        self.upstreams = upstreams
        self.domains: dict[str, DomainSigns] = {}
        # This node's own signs that others should hear of, once.
        self.own: list[Observation] = []
        # Called when there is one.
        self.on_observation: Callable[[], None] = ignore_event

    def record_missed(self, known: KnownUpstream, now: float) -> None:
        """Take note of an opening that nobody answered."""
        if self.note_missed(known, OWN, now, now):
            self.tell(known, now, answered=False)

    def record_answered(self, known: KnownUpstream, now: float) -> None:
        """Take note of a sign of life, if its domain has been in trouble."""
        domain = self.domains.get(known.record.domain)
        if domain is None or not domain.is_watched(now):
            return
        if self.note_answered(domain, known, now, now):
            self.tell(known, now, answered=True)

    def tell(self, known: KnownUpstream, at: float, *, answered: bool) -> None:
        """Let other nodes hear of an own observation."""
        observation = Observation(
            echo=known.echo, answered=answered, at=at, reporter=OWN
        )
        self.own.append(observation)
        self.on_observation()

    def pop_unsent(self) -> list[Observation]:
        """Return the own signs that nobody was told of yet."""
        own = self.own
        self.own = []
        return own

    def merge(self, observation: Observation, now: float) -> bool:
        """Take in what another node saw; return False for no news."""
        known = self.upstreams.by_echo.get(observation.echo)
        if known is None or not 0 <= now - observation.at <= SIGN_SECONDS:
            return False
        if not observation.answered:
            return self.note_missed(
                known, observation.reporter, observation.at, now
            )
        domain = self.domains.setdefault(known.record.domain, DomainSigns())
        return self.note_answered(domain, known, observation.at, now)

    def note_missed(
        self,
        known: KnownUpstream,
        reporter: int,
        at: float,
        now: float,
    ) -> bool:
        """Count a missed opening; return False where enough is known."""
        domain = self.domains.setdefault(known.record.domain, DomainSigns())
        signs = domain.of(known)
        if signs.answered_at > at:
            return False
        others = signs.reporters(now - SIGN_SECONDS) - {reporter}
        news = len(others) < FEWEST_REPORTERS
        signs.missed[reporter] = at
        domain.note_missed(at)
        self.review_domain(known.record.domain, domain, now)
        if not domain.was_suspected():
            self.consider(known.record.domain, domain, now)
        return news

    def note_answered(
        self,
        domain: DomainSigns,
        known: KnownUpstream,
        at: float,
        now: float,
    ) -> bool:
        """Count an answer; return False where one is known already."""
        signs = domain.of(known)
        news = domain.is_news(signs, at)
        if any(missed_at > at for missed_at in signs.missed.values()):
            return False
        signs.missed.clear()
        signs.answered_at = max(signs.answered_at, at)
        self.review_domain(known.record.domain, domain, now)
        return news

    def consider(self, name: str, domain: DomainSigns, now: float) -> None:
        """Suspect a domain if enough of its upstreams are silent."""
        domain.forget_old(now)
        weighed = domain.weigh_lately(now)
        if weighed.speaks_against:
            domain.suspected_since = weighed.since
            self.write_down('domain suspected', name, weighed, now)

    def expire_suspicions(self, now: float) -> None:
        """Trust the domains that nothing speaks against any more."""
        for name, domain in self.domains.items():
            self.review_domain(name, domain, now)

    def review_domain(
        self,
        name: str,
        domain: DomainSigns,
        now: float,
    ) -> None:
        """Trust a suspected domain that has answered, or has time to."""
        if not domain.was_suspected():
            return
        weighed = domain.weigh_suspicion()
        if not domain.is_suspected(now) or not weighed.outweighs:
            domain.suspected_since = float('inf')
            self.write_down('domain trusted', name, weighed, now)

    def write_down(
        self,
        message: str,
        name: str,
        weighed: Weighed,
        now: float,
    ) -> None:
        """Write down what a domain is taken for, with the counts."""
        logger.warning(
            message,
            extra={
                'domain': name,
                'missed': len(weighed.missed),
                'evidence': weighed.evidence,
                'answered': weighed.answered,
                'reporters': weighed.reporters,
                'own': weighed.own,
                'since_s': round(now - weighed.since, 3),
            },
        )

    def is_domain_suspected(self, name: str, now: float) -> bool:
        """Return True while a domain's upstreams must prove themselves."""
        domain = self.domains.get(name)
        return domain is not None and domain.is_suspected(now)

    def suspected_domains(self, now: float) -> Iterator[str]:
        """Return the domains whose upstreams must prove themselves."""
        for name in self.domains:
            if self.is_domain_suspected(name, now):
                yield name

    def is_upstream_suspected(self, known: KnownUpstream, now: float) -> bool:
        """Return True when a new flow on an upstream may meet nobody.

        One that has started since the trouble began is another process, of
        which the signs say nothing.
        """
        domain = self.domains.get(known.record.domain)
        if domain is None or now - domain.missed_at > SUSPICION_SECONDS:
            return False
        signs = domain.signs.get(known)
        if signs is not None and signs.is_certain(now):
            return True
        since = domain.suspected_since
        if not domain.is_suspected(now) or known.since > since:
            return False
        answered_at = known.health.last_answer_at
        if signs is not None:
            answered_at = max(answered_at, signs.answered_at)
        return answered_at < since
