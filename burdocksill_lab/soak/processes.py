"""Checks of a soak's processes: exits, memory use and log lines."""

import json
import os
from pathlib import Path
from typing import Final

from burdocksill_lab.soak.deployment import SoakDeployment

MEGABYTE: Final = 1 << 20
# Twice the resident memory of a node after a minute of traffic.
MAX_MEGABYTES: Final = 64
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')


def check_processes(deployment: SoakDeployment) -> None:
    """Check for processes that ended unexpectedly or use too much memory."""
    for node in deployment.nodes:
        process = node.process.process
        if node.is_down or process is None:
            continue
        code = process.poll()
        if code is None:
            check_memory(deployment, node.process.host, process.pid)
            continue
        node.is_down = True
        trace = f'{node.process.host} ended with {code}'
        deployment.checker.record_violation('no process ends by itself', trace)


def check_memory(deployment: SoakDeployment, host: str, pid: int) -> None:
    """Check the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    size = pages * PAGE_BYTES / MEGABYTE
    if size > MAX_MEGABYTES:
        deployment.checker.record_violation(
            'memory is bounded', f'{host} holds {size:.0f} MB'
        )


def check_logs(deployment: SoakDeployment) -> None:
    """Check that every log line is JSON."""
    for node in deployment.nodes:
        for line in node.process.log_path.read_text().splitlines():
            if not is_json(line):
                trace = f'{node.process.host}: {line}'
                deployment.checker.record_violation(
                    'each log line is JSON', trace
                )
                break


def is_json(line: str) -> bool:
    """Return True if a line is valid JSON."""
    try:
        json.loads(line)
    except ValueError:
        return False
    return True
