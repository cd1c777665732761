"""Exit codes of the operators' commands; docs/reference/exit-codes.md."""

import enum


class Exit(enum.IntEnum):
    """Name the exit codes."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NOT_EVERYWHERE = 4
    UNREACHABLE = 5
