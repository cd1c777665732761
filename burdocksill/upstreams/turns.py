"""When requests that wait for a slot get their turn."""

import heapq
from collections.abc import Iterator, Sequence


def expected_turns(
    *,
    now: float,
    ends: Sequence[float],
    slots: int,
    seconds: float,
) -> Iterator[float]:
    """Yield when the first, the second and each later waiter gets a slot.

    `ends` tells when the work in progress is expected to end; where it is more
    than the slots, the first to end free none. A mean wait would let requests
    in that are refused only once they have waited in vain.
    """
    expected = sorted(max(now, end) for end in ends)
    times = expected[max(0, len(expected) - slots) :]
    times.extend([now] * (slots - len(times)))  # noqa: WPS435
    heapq.heapify(times)
    while times:
        yield heapq.heapreplace(times, times[0] + seconds)
