"""Logging configuration shared by the programs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logging(*, level: str, node: str = '') -> None:
    """Log to standard error, one JSON object per line."""
    formatter = JsonFormatter(
        '{asctime}{levelname}{name}{message}',
        style='{',
        rename_fields={'asctime': 'time', 'levelname': 'level'},
        static_fields={'node': node} if node else {},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    logging.getLogger('httpx').setLevel(logging.WARNING)
    logging.getLogger('httpcore').setLevel(logging.WARNING)
