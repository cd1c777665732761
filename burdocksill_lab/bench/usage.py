"""What one process has used, as the kernel tells it."""

from pathlib import Path
from typing import Final

import attrs

NANOSECONDS: Final = 1_000_000_000
MICROSECONDS: Final = 1_000_000
KIBIBYTE: Final = 1024


def cpu_seconds(pid: int) -> float:
    """Return the time a process spent on a core; ticks are too coarse."""
    return sum(
        int(task.read_text().split()[0]) / NANOSECONDS
        for task in Path(f'/proc/{pid}/task').glob('*/schedstat')
    )


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * KIBIBYTE
    return 0


def dropped_datagrams(port: int) -> int:
    """Return the datagrams that found a UDP port's kernel buffer full."""
    suffix = f':{port:04X}'
    return sum(
        int(fields[-1])
        for fields in map(str.split, Path('/proc/net/udp').open())
        if fields[1].endswith(suffix)
    )


@attrs.frozen(kw_only=True)
class Usage:
    """Hold one reading of a process."""

    cpu_seconds: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Read a process now."""
    return Usage(
        cpu_seconds=cpu_seconds(pid),
        resident_bytes=resident_bytes(pid),
    )


def microseconds_each(before: Usage, after: Usage, count: int) -> float:
    """Return the microseconds of CPU that each of some events took."""
    spent = after.cpu_seconds - before.cpu_seconds
    return spent * MICROSECONDS / max(count, 1)
