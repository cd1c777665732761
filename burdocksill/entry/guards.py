"""The guards of one node, so that a control run can replace each of them."""

from collections.abc import Callable

import attrs

from burdocksill.documents.store import (
    DomainRule,
    HighestRevisionRule,
    OperatorsDomainRule,
    RevisionRule,
)
from burdocksill.entry.stopping import GracefulStopper, Stopper
from burdocksill.membership.protocols import MemberView
from burdocksill.ownership.fence import PauseFence
from burdocksill.ownership.foreign import ForeignRule, HonestForeignRule
from burdocksill.ownership.protocols import Fence
from burdocksill.ownership.succession import RendezvousSuccession, Succession
from burdocksill.requests.window import RequestWindow, TokenWindow
from burdocksill.upstreams.client import NameVerifier
from burdocksill.upstreams.limits import SlotLimiter
from burdocksill.upstreams.protocols import IdentityVerifier, Limiter


def pause_fence(members: MemberView) -> Fence:
    """Make the fence of a node."""
    return PauseFence(members=members)


def slot_limiter(slots: int) -> Limiter:
    """Make the limiter of an upstream."""
    return SlotLimiter(slots=slots)


@attrs.frozen(kw_only=True)
class Guards:
    """Hold what stands between a fault and a broken promise.

    The lab's control runs put a naive baseline in the place of one guard and
    must then see the violation that the guard prevents.
    """

    window: Callable[[], RequestWindow] = TokenWindow
    revision_rule: Callable[[], RevisionRule] = HighestRevisionRule
    domain_rule: Callable[[], DomainRule] = OperatorsDomainRule
    verifier: Callable[[], IdentityVerifier] = NameVerifier
    foreign: Callable[[], ForeignRule] = HonestForeignRule
    succession: Callable[[], Succession] = RendezvousSuccession
    stopper: Callable[[], Stopper] = GracefulStopper
    fence: Callable[[MemberView], Fence] = pause_fence
    limiter: Callable[[int], Limiter] = slot_limiter
