"""The guards of one node, so that a control run can replace each of them."""

from collections.abc import Callable
from random import Random

import attrs

from burdocksill.documents.store import HighestRevisionRule, RevisionRule
from burdocksill.requests.blocks import AnswerKeeper, TaggedAnswers
from burdocksill.requests.window import RequestWindow, TokenWindow
from burdocksill.upstreams.client import NameVerifier
from burdocksill.upstreams.limits import SlotLimiter
from burdocksill.upstreams.protocols import IdentityVerifier, Limiter


def slot_limiter(slots: int) -> Limiter:
    """Make the limiter of an upstream."""
    return SlotLimiter(slots=slots)


def tagged_answers(rng: Random) -> AnswerKeeper:
    """Make the keeper of answers that are larger than a block."""
    return TaggedAnswers(rng=rng)


@attrs.frozen(kw_only=True)
class Guards:
    """Hold what stands between a fault and a broken promise.

    The lab's control runs put a naive baseline in the place of one guard and
    must then see the violation that the guard prevents.
    """

    window: Callable[[], RequestWindow] = TokenWindow
    revision_rule: Callable[[], RevisionRule] = HighestRevisionRule
    verifier: Callable[[], IdentityVerifier] = NameVerifier
    limiter: Callable[[int], Limiter] = slot_limiter
    answers: Callable[[Random], AnswerKeeper] = tagged_answers
