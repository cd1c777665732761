"""Expected times at which queued requests get a slot."""

import heapq
from collections.abc import Iterator, Sequence


def expected_slot_times(
    *,
    now: float,
    ends: Sequence[float],
    slots: int,
    seconds: float,
) -> Iterator[float]:
    """Yield when the first, the second and each later waiter gets a slot.

    `ends` are the expected ends of the work in progress; when there are more
    of them than slots, the earliest ones free none. `seconds` is the expected
    service time. A mean waiting time would not do: it would queue requests
    that are refused only after they have waited.
    """
    expected = sorted(max(now, end) for end in ends)
    times = expected[max(0, len(expected) - slots) :]
    times.extend([now] * (slots - len(times)))  # noqa: WPS435
    heapq.heapify(times)
    while times:
        yield heapq.heapreplace(times, times[0] + seconds)
