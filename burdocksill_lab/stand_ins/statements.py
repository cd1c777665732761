"""Large answers whose every part tells from which run it is."""

from typing import Final

STATEMENTS: Final = 'statements'
LINE_BYTES: Final = 32


def statement_size(path: str) -> int:
    """Return the size that a path like /statements/4096 asks for, else 0."""
    parts = path.strip('/').split('/')
    if len(parts) == 2 and parts[0] == STATEMENTS and parts[1].isdigit():
        return int(parts[1])
    return 0


def statement(*, by: str, run: int, size: int) -> str:
    """Write the statement of one run; every line names run and place."""
    count = size // LINE_BYTES + 1
    lines = (
        f'{by} run {run} line {number}'.ljust(LINE_BYTES - 1) + '\n'
        for number in range(count)
    )
    return ''.join(lines)[:size]


def run_of(payload: bytes) -> int:
    """Return the run that a statement's first line names, 0 without one."""
    words = payload[:LINE_BYTES].decode(errors='replace').split()
    known = len(words) == 5 and words[1] == 'run' and words[2].isdigit()
    return int(words[2]) if known else 0
