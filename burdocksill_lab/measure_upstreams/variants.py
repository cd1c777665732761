"""The product's decisions and the naive baselines measured beside them."""

from random import Random
from typing import Final

import attrs

from burdocksill.documents.models import Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.entry.components import Components
from burdocksill.flows.placement import Placer, RandomPlacer
from burdocksill.membership.protocols import MemberView
from burdocksill.requests.retries import UnlimitedRetryBudget
from burdocksill.upstreams.hints import HintTable
from burdocksill.upstreams.limits import FixedLimiter
from burdocksill.upstreams.protocols import Limiter


def place_at_random(
    members: MemberView,
    store: DocumentStore,
    rng: Random,
    hints: HintTable,
) -> Placer:
    """Make the placement that looks at nothing."""
    return RandomPlacer(members=members, store=store, rng=rng)


def give_all_slots(upstream: Upstream, rng: Random) -> Limiter:
    """Make the limiter that knows no cold start."""
    return FixedLimiter(slots=upstream.slots)


@attrs.frozen(kw_only=True)
class Variant:
    """Name a set of guards and how callers of it behave."""

    name: str
    components: Components
    patient: bool = True


PRODUCT: Final = Variant(name='product', components=Components())
RANDOM_PLACEMENT: Final = Variant(
    name='random-placement',
    components=Components(placer=place_at_random),
)
NO_RAMP: Final = Variant(
    name='no-ramp',
    components=Components(limiter=give_all_slots),
)
NO_BUDGET: Final = Variant(
    name='no-budget',
    components=Components(retry_budget=UnlimitedRetryBudget),
    patient=False,
)
NO_BUDGET_NO_RAMP: Final = Variant(
    name='no-budget-no-ramp',
    components=Components(
        retry_budget=UnlimitedRetryBudget, limiter=give_all_slots
    ),
    patient=False,
)
