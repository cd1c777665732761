"""Draw the troubles of a soak from its seed."""

import enum
from random import Random
from typing import Final

import attrs

# Troubles begin within the first part of a round and overlap; the rest is calm,
# long enough to check what must hold again after 4 s without trouble.
TROUBLED_SECONDS: Final = 5.0
ROUND_SECONDS: Final = 15.0
LONGEST_SECONDS: Final = 3.0
MOST_TROUBLES: Final = 5
MOST_CHANGES: Final = 2


class Kind(enum.StrEnum):
    """Name what a soak brings about."""

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
    # What operators and teams do; it disturbs nothing.
    MANIFEST = 'manifest'
    STORM = 'storm'
    DOMAIN_OUT = 'domain out'
    RELEASE = 'release'


CHANGES: Final = (Kind.MANIFEST, Kind.STORM, Kind.DOMAIN_OUT, Kind.RELEASE)
TROUBLES: Final = tuple(kind for kind in Kind if kind not in CHANGES)


@attrs.frozen(kw_only=True)
class Trouble:
    """Bring one thing about, some seconds after the soak began."""

    at: float
    kind: Kind
    # Picks the node or upstream, modulo their number.
    target: int
    seconds: float


def draw_plan(seed: int, rounds: int) -> list[Trouble]:
    """Return what happens, in the order of time; the same for each seed."""
    rng = Random(seed)
    plan: list[Trouble] = []
    for number in range(rounds):
        began = number * ROUND_SECONDS
        troubles = rng.choices(TROUBLES, k=rng.randint(1, MOST_TROUBLES))
        changes = rng.choices(CHANGES, k=rng.randint(0, MOST_CHANGES))
        plan.extend(
            draw(rng, kind, began, TROUBLED_SECONDS - LONGEST_SECONDS)
            for kind in troubles
        )
        plan.extend(draw(rng, kind, began, ROUND_SECONDS) for kind in changes)
    return sorted(plan, key=lambda trouble: trouble.at)


def draw(rng: Random, kind: Kind, began: float, within: float) -> Trouble:
    """Draw when, where and how long."""
    return Trouble(
        at=round(began + rng.uniform(0, within), 3),
        kind=kind,
        target=rng.randrange(1 << 16),
        seconds=round(rng.uniform(0.3, LONGEST_SECONDS), 3),
    )
