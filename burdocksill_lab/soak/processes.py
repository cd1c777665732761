"""Check the processes of a soak: that they run, stay small and write logs."""

import json
import os
from pathlib import Path
from typing import Final

from burdocksill_lab.soak.day import SoakDay

MEGABYTE: Final = 1 << 20
# Twice of what a node holds after a minute of traffic.
MOST_MEGABYTES: Final = 64
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')


def check_processes(day: SoakDay) -> None:
    """Look for processes that ended by themselves or grew."""
    for node in day.nodes:
        process = node.process.process
        if node.is_down or process is None:
            continue
        code = process.poll()
        if code is None:
            check_memory(day, node.process.host, process.pid)
            continue
        node.is_down = True
        told = f'{node.process.host} ended with {code}'
        day.judge.blame('no process ends by itself', told)


def check_memory(day: SoakDay, host: str, pid: int) -> None:
    """Look at the size of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    size = pages * PAGE_BYTES / MEGABYTE
    if size > MOST_MEGABYTES:
        day.judge.blame('memory is bounded', f'{host} holds {size:.0f} MB')


def check_logs(day: SoakDay) -> None:
    """Look for log lines that are none."""
    for node in day.nodes:
        for line in node.process.log_path.read_text().splitlines():
            if not is_json(line):
                told = f'{node.process.host}: {line}'
                day.judge.blame('each log line is JSON', told)
                break


def is_json(line: str) -> bool:
    """Return True for a line that can be read."""
    try:
        json.loads(line)
    except ValueError:
        return False
    return True
