"""The latest decisions of one VM, so that it can explain what it did.

The ring lives in memory alone and holds a bounded number of decisions: an
explanation is for the last minutes, counters are for everything before.
"""

import enum
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import attrs

from burdocksill.flows.cookie import FLOW_ID_SLICE, Cookie
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import WallClock
from burdocksill.requests.messages import Answer, Envelope
from burdocksill.requests.verdict import Reason

# About 400 bytes each, as `tests/observe/decisions.feature` measures.
DECISION_LIMIT: Final = 8192


class Step(enum.StrEnum):
    """Name what a VM decided for a request."""

    PLACED = 'placed'
    FOLLOWED = 'followed-cookie'
    OPENED = 'opened-flow'
    ANSWERED = 'answered'


@attrs.frozen(kw_only=True)
class Decision:
    """Hold one decision; `peer` is the VM to which the request went."""

    at: float
    step: Step
    service: str
    token: bytes
    flow_id: bytes = b''
    upstream: str = ''
    peer: str = ''
    verdict: str = ''
    reason: str = ''


@attrs.define(kw_only=True)
class DecisionLog:
    """Keep the latest decisions, the oldest first."""

    clock: WallClock
    ring: deque[Decision] = attrs.field(
        factory=lambda: deque(maxlen=DECISION_LIMIT),
    )

    def placed(self, envelope: Envelope, upstream: str, owner: Member) -> None:
        """Keep where a new flow was placed."""
        self.ring.append(
            Decision(
                at=self.clock.now(),
                step=Step.PLACED,
                service=envelope.request.service,
                token=envelope.request.token,
                upstream=upstream,
                peer=owner.name,
            ),
        )

    def followed(
        self,
        envelope: Envelope,
        cookie: Cookie,
        member: Member,
    ) -> None:
        """Keep to which VM a cookie led."""
        self.ring.append(
            Decision(
                at=self.clock.now(),
                step=Step.FOLLOWED,
                service=envelope.request.service,
                token=envelope.request.token,
                flow_id=cookie.flow_id,
                peer=member.name,
            ),
        )

    def answered(self, envelope: Envelope, answer: Answer) -> None:
        """Keep an answer; one that opens a flow names it by its cookie.

        A feed's notifications are many and tell nothing of a decision; they
        would push out what operators ask about.
        """
        if answer.observe is not None:
            return
        opens = answer.reason is Reason.COOKIE_NEEDED
        owner_answers = len(answer.hops) > len(envelope.hops)
        self.ring.append(
            Decision(
                at=self.clock.now(),
                step=Step.OPENED if opens else Step.ANSWERED,
                service=envelope.request.service,
                token=envelope.request.token,
                flow_id=answer.cookie[FLOW_ID_SLICE] if opens else b'',
                upstream=answer.hops[-1] if owner_answers else '',
                verdict=answer.verdict.value,
                reason=answer.reason.value if answer.reason else '',
            ),
        )

    def find(
        self,
        *,
        flow_id: bytes,
        tokens: frozenset[bytes],
    ) -> list[Decision]:
        """Return the decisions on some requests, or on all of a flow.

        An answer is recorded under its request's token alone, so the tokens
        of the flow are found first.
        """
        wanted = set(tokens)
        if flow_id:
            wanted |= {
                kept.token for kept in self.ring if kept.flow_id == flow_id
            }
        return self.select(lambda kept: kept.token in wanted)

    def refused_since(self, earliest: float) -> Iterable[Decision]:
        """Return answers that say why a request failed."""
        return self.select(lambda kept: kept.reason and kept.at >= earliest)

    def select(self, wanted: Callable[[Decision], object]) -> list[Decision]:
        """Return the decisions that are wanted, the oldest first."""
        return [kept for kept in self.ring if wanted(kept)]
