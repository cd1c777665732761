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

from collections.abc import Callable, Iterator

from burdocksill.observe.early import EarlyLogger
from burdocksill.packets.upstreams import KnownUpstream, Upstreams
from burdocksill.readers.messages import Sign

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Final

# Signs older than this tell nothing of what the next opening would meet.
SIGN_SECONDS: Final = 1.0
# A domain is doubted when openings on so many of its upstreams were missed and
# at most this many times as many upstreams have answered since the first.
DOUBTED_UPSTREAMS: Final = 3
ANSWERED_FACTOR: Final = 2
# One node may be cut off itself, or lie: what others say counts from two on.
FEWEST_WITNESSES: Final = 2
# A domain is trusted again so long after the last missed opening.
DOUBT_SECONDS: Final = 1.5
# The witness that stands for this node's own eyes.
OWN: Final = 0

logger = EarlyLogger(__name__)


def nothing() -> None:
    """Tell nobody of signs."""


class UpstreamSigns:
    """Hold what openings on one upstream met, by who saw it."""

    __slots__ = ('answered_at', 'known', 'missed')

    def __init__(self, known: KnownUpstream) -> None:
        """Begin with nothing seen."""
        self.known = known
        self.answered_at = float('-inf')
        # When each witness last missed an answer, since the last answer.
        self.missed: dict[int, float] = {}

    def witnesses(self, now: float) -> set[int]:
        """Return who missed an answer lately."""
        return {
            witness
            for witness, at in self.missed.items()
            if now - at <= SIGN_SECONDS
        }

    def is_old(self, now: float) -> bool:
        """Return True when nothing here counts any more."""
        latest = max(self.missed.values(), default=self.answered_at)
        return now - max(latest, self.answered_at) > DOUBT_SECONDS

    def is_certain(self, now: float) -> bool:
        """Return True when enough nodes missed an answer."""
        witnesses = self.witnesses(now)
        return OWN in witnesses or len(witnesses) >= FEWEST_WITNESSES


class DomainSigns:
    """Hold what openings met in one failure domain."""

    __slots__ = ('doubted_since', 'missed_at', 'signs')

    def __init__(self) -> None:
        """Begin with a domain that is trusted."""
        self.signs: dict[KnownUpstream, UpstreamSigns] = {}
        # Since when its upstreams must prove themselves; infinite: never.
        self.doubted_since = float('inf')
        self.missed_at = float('-inf')

    def of(self, known: KnownUpstream) -> UpstreamSigns:
        """Return what openings on an upstream met."""
        return self.signs.setdefault(known, UpstreamSigns(known))

    def is_watched(self, now: float) -> bool:
        """Return True while answers are worth telling."""
        return now - self.missed_at <= SIGN_SECONDS

    def is_doubted(self, now: float) -> bool:
        """Return True while its upstreams must prove themselves."""
        return (
            self.doubted_since <= now and now - self.missed_at <= DOUBT_SECONDS
        )

    def forget_old(self, now: float) -> None:
        """Drop signs that count no more."""
        for known, signs in list(self.signs.items()):
            if signs.is_old(now):
                del self.signs[known]

    def weigh(self, now: float) -> Weighed:
        """Count what speaks against the domain, and for it."""
        missed = [one for one in self.signs.values() if one.witnesses(now)]
        since = min(
            (at for upstream in missed for at in upstream.missed.values()),
            default=now,
        )
        return Weighed(
            missed=len(missed),
            own=sum(OWN in upstream.missed for upstream in missed),
            answered=sum(
                upstream.answered_at >= since
                for upstream in self.signs.values()
            ),
            witnesses=len(
                {name for upstream in missed for name in upstream.missed},
            ),
            since=since,
        )


class Weighed:
    """Hold the counts by which a domain is doubted."""

    __slots__ = ('answered', 'missed', 'own', 'since', 'witnesses')

    def __init__(
        self,
        *,
        missed: int,
        own: int,
        answered: int,
        witnesses: int,
        since: float,
    ) -> None:
        """Take all fields."""
        # Upstreams without an answer, to anyone and to this node.
        self.missed = missed
        self.own = own
        # Upstreams that have answered since the first missed opening.
        self.answered = answered
        self.witnesses = witnesses
        self.since = since

    @property
    def speaks_against(self) -> bool:
        """Return True when the domain itself seems to have failed."""
        if self.missed < DOUBTED_UPSTREAMS:
            return False
        certain = (
            self.own >= DOUBTED_UPSTREAMS or self.witnesses >= FEWEST_WITNESSES
        )
        return certain and self.answered <= self.missed * ANSWERED_FACTOR


class Outages:
    """Tell which upstreams a new flow should rather not be sent to."""

    __slots__ = ('domains', 'on_news', 'own', 'upstreams')

    def __init__(self, upstreams: Upstreams) -> None:
        """Begin with nothing seen."""
        self.upstreams = upstreams
        self.domains: dict[str, DomainSigns] = {}
        # This node's own signs that others should hear of, once.
        self.own: list[Sign] = []
        # Called when there is one.
        self.on_news: Callable[[], None] = nothing

    def missed(self, known: KnownUpstream, now: float) -> None:
        """Take note of an opening that nobody answered."""
        if self.note_missed(known, OWN, now, now):
            self.tell(known, now, answered=False)

    def answered(self, known: KnownUpstream, now: float) -> None:
        """Take note of a sign of life, if its domain has been in trouble."""
        domain = self.domains.get(known.record.domain)
        if domain is None or not domain.is_watched(now):
            return
        if self.note_answered(domain, known, now):
            self.tell(known, now, answered=True)

    def tell(self, known: KnownUpstream, at: float, *, answered: bool) -> None:
        """Let other nodes hear of an own sign."""
        sign = Sign(echo=known.echo, answered=answered, at=at, witness=OWN)
        self.own.append(sign)
        self.on_news()

    def take_own(self) -> list[Sign]:
        """Return the own signs that nobody was told of yet."""
        own = self.own
        self.own = []
        return own

    def learn(self, sign: Sign, now: float) -> bool:
        """Take in what another node saw; return False for no news."""
        known = self.upstreams.by_echo.get(sign.echo)
        if known is None or not 0 <= now - sign.at <= SIGN_SECONDS:
            return False
        if not sign.answered:
            return self.note_missed(known, sign.witness, sign.at, now)
        domain = self.domains.setdefault(known.record.domain, DomainSigns())
        return self.note_answered(domain, known, sign.at)

    def note_missed(
        self,
        known: KnownUpstream,
        witness: int,
        at: float,
        now: float,
    ) -> bool:
        """Count a missed opening; return False where enough is known."""
        domain = self.domains.setdefault(known.record.domain, DomainSigns())
        signs = domain.of(known)
        if signs.answered_at > at:
            return False
        news = len(signs.witnesses(now) - {witness}) < FEWEST_WITNESSES
        signs.missed[witness] = at
        domain.missed_at = max(domain.missed_at, at)
        if not domain.is_doubted(now):
            self.consider(known.record.domain, domain, now)
        return news

    def note_answered(
        self,
        domain: DomainSigns,
        known: KnownUpstream,
        at: float,
    ) -> bool:
        """Count an answer; return False where one is known already."""
        signs = domain.of(known)
        news = bool(signs.missed) or at - signs.answered_at > SIGN_SECONDS
        if any(missed_at > at for missed_at in signs.missed.values()):
            return False
        signs.missed.clear()
        signs.answered_at = max(signs.answered_at, at)
        return news

    def consider(self, name: str, domain: DomainSigns, now: float) -> None:
        """Doubt a domain if enough of its upstreams are silent."""
        domain.forget_old(now)
        domain.doubted_since = float('inf')
        weighed = domain.weigh(now)
        if not weighed.speaks_against:
            return
        domain.doubted_since = weighed.since
        logger.warning(
            'domain doubted',
            extra={
                'domain': name,
                'missed': weighed.missed,
                'answered': weighed.answered,
                'witnesses': weighed.witnesses,
                'own': weighed.own,
                'since_s': round(now - weighed.since, 3),
            },
        )

    def is_doubted(self, name: str, now: float) -> bool:
        """Return True while a domain's upstreams must prove themselves."""
        domain = self.domains.get(name)
        return domain is not None and domain.is_doubted(now)

    def doubted(self, now: float) -> Iterator[str]:
        """Return the domains whose upstreams must prove themselves."""
        for name in self.domains:
            if self.is_doubted(name, now):
                yield name

    def doubts(self, known: KnownUpstream, now: float) -> bool:
        """Return True when a new flow on an upstream may meet nobody.

        One that has started since the trouble began is another process, of
        which the signs say nothing.
        """
        domain = self.domains.get(known.record.domain)
        if domain is None or now - domain.missed_at > DOUBT_SECONDS:
            return False
        signs = domain.signs.get(known)
        if signs is not None and signs.is_certain(now):
            return True
        if not domain.is_doubted(now) or known.since > domain.doubted_since:
            return False
        answered_at = known.health.heard_at
        if signs is not None:
            answered_at = max(answered_at, signs.answered_at)
        return answered_at < domain.doubted_since
