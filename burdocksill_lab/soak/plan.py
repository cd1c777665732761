"""Plan of a soak: faults and changes, drawn from its seed."""

import enum
from collections.abc import Collection
from random import Random
from typing import Final

import attrs

# Faults begin in the first part of a round and may overlap. The rest is free of
# faults, to check the invariants that must hold again after 4 s without faults.
FAULT_WINDOW_SECONDS: Final = 5.0
ROUND_SECONDS: Final = 15.0
MAX_FAULT_SECONDS: Final = 3.0
MAX_FAULTS: Final = 5
MAX_CHANGES: Final = 2


class FaultKind(enum.StrEnum):
    """FaultKind of a fault or change."""

    # Processes, by signals.
    STOP = 'stop'
    KILL = 'kill'
    KILL_ALL = 'kill all'
    PAUSE = 'pause'
    HANG_UP = 'hang up'
    # The store, as all nodes see it.
    STORE_BUSY = 'store busy'
    STORE_SILENT = 'store silent'
    STORE_SLOW = 'store slow'
    STORE_LAPSE = 'store lapse'
    STORE_COMPACT = 'store compact'
    STORE_RESTORED = 'store restored'
    # One node's connections to the store, by its proxy.
    LINK_DELAY = 'link delay'
    LINK_RESET = 'link reset'
    LINK_ONE_WAY = 'link one way'
    LINK_SILENT = 'link silent'
    # Packets from routers to one node.
    PACKETS_LOST = 'packets lost'
    PACKETS_DOUBLED = 'packets doubled'
    # Upstreams.
    UPSTREAM_DARK = 'upstream dark'
    UPSTREAM_REUSED = 'upstream reused'
    # Changes by operators and teams, which must not disturb traffic.
    MANIFEST = 'manifest'
    STORM = 'storm'
    DOMAIN_OUT = 'domain out'
    RELEASE = 'release'
    # Entries of other writers, which must not disturb traffic either.
    FOREIGN_ENTRY = 'foreign entry'
    # A machine that is taken away and added again while an upstream is busy.
    FLOWS_MOVED = 'flows moved'


CHANGES: Final = (
    FaultKind.MANIFEST,
    FaultKind.STORM,
    FaultKind.DOMAIN_OUT,
    FaultKind.RELEASE,
)
# These are drawn apart, so that older seeds keep their plans.
EXTRAS: Final = (
    FaultKind.STORE_RESTORED,
    FaultKind.FOREIGN_ENTRY,
    FaultKind.FLOWS_MOVED,
)
FAULTS: Final = tuple(
    kind for kind in FaultKind if kind not in {*CHANGES, *EXTRAS}
)
# What is not judged as a fault: all promises are checked meanwhile.
HARMLESS: Final = frozenset((*CHANGES, FaultKind.FOREIGN_ENTRY))


@attrs.frozen(kw_only=True)
class PlannedFault:
    """Fault or change at a time in seconds since the soak began."""

    at: float
    kind: FaultKind
    # Picks the node or upstream, modulo their number.
    target: int
    seconds: float


def draw_plan(
    seed: int, rounds: int, *, extras: Collection[FaultKind] = ()
) -> list[PlannedFault]:
    """Return the faults and changes by time; reproducible by seed.

    Each round also has each of the `extras`, kinds of EXTRAS.
    """
    rng = Random(seed)
    plan: list[PlannedFault] = []
    for extra in extras:
        plan.extend(draw_extra(seed, rounds, extra))
    for number in range(rounds):
        began = number * ROUND_SECONDS
        troubles = rng.choices(FAULTS, k=rng.randint(1, MAX_FAULTS))
        changes = rng.choices(CHANGES, k=rng.randint(0, MAX_CHANGES))
        plan.extend(
            draw(rng, kind, began, FAULT_WINDOW_SECONDS - MAX_FAULT_SECONDS)
            for kind in troubles
        )
        plan.extend(draw(rng, kind, began, ROUND_SECONDS) for kind in changes)
    return sorted(plan, key=lambda fault: fault.at)


def draw_extra(seed: int, rounds: int, kind: FaultKind) -> list[PlannedFault]:
    """Return one fault of a kind in each round."""
    is_restore = kind is FaultKind.STORE_RESTORED
    # Seeds with restores keep the plans that they had under this name.
    rng = Random(f'{seed} restores' if is_restore else f'{seed} {kind}')
    within = FAULT_WINDOW_SECONDS - MAX_FAULT_SECONDS
    return [
        draw(rng, kind, number * ROUND_SECONDS, within)
        for number in range(rounds)
    ]


def draw(
    rng: Random, kind: FaultKind, began: float, within: float
) -> PlannedFault:
    """Draw the time, target and duration of a fault."""
    return PlannedFault(
        at=round(began + rng.uniform(0, within), 3),
        kind=kind,
        target=rng.randrange(1 << 16),
        seconds=round(rng.uniform(0.3, MAX_FAULT_SECONDS), 3),
    )
