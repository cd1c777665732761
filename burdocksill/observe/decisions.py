"""Recent decisions of one VM, for explanations.

They are kept in a ring buffer in memory, which covers the last minutes. For
anything earlier there are counters.
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
    """Kind of a decision on a request."""

    PLACED = 'placed'
    FOLLOWED = 'followed-cookie'
    OPENED = 'opened-flow'
    ANSWERED = 'answered'


@attrs.frozen(kw_only=True)
class Decision:
    """A decision; `peer` is the VM to which the request was sent."""

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
    """Ring buffer of the latest decisions, oldest first."""

    clock: WallClock
    ring: deque[Decision] = attrs.field(
        factory=lambda: deque(maxlen=DECISION_LIMIT),
    )

    def placed(self, envelope: Envelope, upstream: str, owner: Member) -> None:
        """Record where a new flow was placed."""
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
        """Record to which VM a request was sent by its cookie."""
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
        """Record an answer, with the flow id if it opens a flow.

        Notifications of feeds are left out: they contain no decision and are
        so many that they would displace the others.
        """
        if answer.observe is not None:
            return
        opens_flow = answer.reason is Reason.COOKIE_NEEDED
        is_from_owner = len(answer.hops) > len(envelope.hops)
        self.ring.append(
            Decision(
                at=self.clock.now(),
                step=Step.OPENED if opens_flow else Step.ANSWERED,
                service=envelope.request.service,
                token=envelope.request.token,
                flow_id=answer.cookie[FLOW_ID_SLICE] if opens_flow else b'',
                upstream=answer.hops[-1] if is_from_owner else '',
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
        """Return the decisions on requests with some tokens or of a flow.

        An answer is recorded only with its request's token, so the tokens of
        the flow are collected first.
        """
        wanted = set(tokens)
        if flow_id:
            wanted |= {
                decision.token
                for decision in self.ring
                if decision.flow_id == flow_id
            }
        return self.select(lambda decision: decision.token in wanted)

    def refused_since(self, earliest: float) -> Iterable[Decision]:
        """Return decisions since a time that have a failure reason."""
        return self.select(
            lambda decision: decision.reason and decision.at >= earliest
        )

    def select(self, matches: Callable[[Decision], object]) -> list[Decision]:
        """Return the matching decisions, oldest first."""
        return [decision for decision in self.ring if matches(decision)]
