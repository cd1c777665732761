"""Steady clocks."""

import time
from collections.abc import Callable

# Returns steady seconds: those of the system, or of a test.
Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return the seconds since the machine started.

    Unlike the monotonic clock it counts the time for which a machine was
    suspended. A node that woke up would else tell others that what it knew
    before is new.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
