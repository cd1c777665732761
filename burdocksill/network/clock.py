"""Monotonic clocks."""

import time
from collections.abc import Callable

# Returns monotonic seconds, of the system or of a test.
Clock = Callable[[], float]


def boot_seconds() -> float:
    """Return the seconds since boot, including suspended time.

    With a clock that stops during suspension, a node that resumes would report
    outdated state to its peers as recent.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
