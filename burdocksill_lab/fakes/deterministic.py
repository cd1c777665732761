"""Run trio on a virtual clock with the same task order for the same seed.

trio offers no public switch for this, so its private names stand here and
nowhere else.
"""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import trio
import trio.testing
from trio._core import _run as scheduler

Outcome = TypeVar('Outcome')


def run_seeded(
    seed: int,
    main: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Run to the end; waits cost no real time."""
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r = Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
