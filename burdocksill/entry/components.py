"""Factories for the components of an entry VM that can be replaced."""

from collections.abc import Callable
from random import Random

import attrs

from burdocksill.documents.models import Upstream
from burdocksill.documents.store import (
    DocumentStore,
    DomainRule,
    HighestRevisionRule,
    OperatorDomainRule,
    RevisionRule,
)
from burdocksill.entry.shutdown import GracefulShutdown, ShutdownPolicy
from burdocksill.flows.placement import Placer, TwoChoicePlacer
from burdocksill.membership.protocols import MemberView
from burdocksill.ownership.fence import PauseFence
from burdocksill.ownership.protocols import Fence
from burdocksill.ownership.succession import (
    RendezvousSuccessorPolicy,
    SuccessorPolicy,
)
from burdocksill.ownership.unknown_epochs import (
    IdempotentOnlyPolicy,
    UnknownEpochPolicy,
)
from burdocksill.requests.blocks import (
    AnswerStore,
    EtagAnswerStore,
    Transfers,
)
from burdocksill.requests.retries import RatioRetryBudget, RetryBudget
from burdocksill.requests.window import RequestWindow, TokenWindow
from burdocksill.upstreams.client import NameVerifier
from burdocksill.upstreams.departures import AnySourceRule, LeavingRule
from burdocksill.upstreams.hints import HintTable
from burdocksill.upstreams.limits import make_limiter
from burdocksill.upstreams.protocols import IdentityVerifier, Limiter


def make_fence(members: MemberView) -> Fence:
    """Make the fence of a node."""
    return PauseFence(members=members)


def make_adaptive_limiter(upstream: Upstream, rng: Random) -> Limiter:
    """Make the limiter of an upstream, cold."""
    return make_limiter(
        name=upstream.name,
        slots=upstream.slots,
        cold_limit=upstream.cold_limit,
        rng=rng,
    )


def make_leaving_rule(store: DocumentStore) -> LeavingRule:
    """Make the rule that decides whether an upstream is leaving."""
    return AnySourceRule(store=store)


def make_placer(
    members: MemberView,
    store: DocumentStore,
    rng: Random,
    hints: HintTable,
) -> Placer:
    """Make the placer of new flows."""
    return TwoChoicePlacer(
        members=members,
        store=store,
        rng=rng,
        hints=hints,
    )


def make_answer_store(rng: Random) -> AnswerStore:
    """Make the store of answers that are larger than a block."""
    return EtagAnswerStore(rng=rng)


@attrs.frozen(kw_only=True)
class Components:
    """Hold the factories of components that protect a guarantee.

    A control run of the lab replaces one component by a baseline without its
    protection, and must then detect the violation that it prevents.
    """

    window: Callable[[], RequestWindow] = TokenWindow
    revision_rule: Callable[[], RevisionRule] = HighestRevisionRule
    domain_rule: Callable[[], DomainRule] = OperatorDomainRule
    verifier: Callable[[], IdentityVerifier] = NameVerifier
    unknown_epoch_policy: Callable[[], UnknownEpochPolicy] = (
        IdempotentOnlyPolicy
    )
    successor_policy: Callable[[], SuccessorPolicy] = RendezvousSuccessorPolicy
    shutdown_policy: Callable[[], ShutdownPolicy] = GracefulShutdown
    fence: Callable[[MemberView], Fence] = make_fence
    limiter: Callable[[Upstream, Random], Limiter] = make_adaptive_limiter
    leaving_rule: Callable[[DocumentStore], LeavingRule] = make_leaving_rule
    retry_budget: Callable[[], RetryBudget] = RatioRetryBudget
    placer: Callable[
        [MemberView, DocumentStore, Random, HintTable],
        Placer,
    ] = make_placer
    answers: Callable[[Random], AnswerStore] = make_answer_store

    def transfers(self, rng: Random) -> Transfers:
        """Make the block-wise transfers of a VM."""
        return Transfers(answers=self.answers(rng))
