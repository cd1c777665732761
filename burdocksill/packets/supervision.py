"""Keep a node forwarding packets when another part of it fails."""

import logging
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

import trio

# A part that fails at each start costs little at this interval.
RESTART_SECONDS: Final = 1.0
MAX_CAUSE_LETTERS: Final = 200

# Errors of each part since the process started, for the metrics.
failures: Final[Counter[str]] = Counter()

Task = Callable[[], Awaitable[None]]
logger = logging.getLogger(__name__)


async def run_supervised(name: str, task: Task) -> None:
    """Run a task, and again some time after each error, until cancelled."""
    while True:
        with log_error(name):
            await task()
            return
        await trio.sleep(RESTART_SECONDS)


@contextmanager
def log_error(name: str) -> Iterator[None]:
    """Log an error of a part that forwarding does not need, and go on."""
    try:
        yield
    except Exception as error:  # noqa: BLE001
        failures[name] += 1
        logger.error('part failed', extra={'part': name, **describe(error)})


def describe(error: BaseException) -> dict[str, str]:
    """Return what an error says and where it was raised, for a log line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{Path(frames[-1].filename).name}:{frames[-1].lineno}'
    text = f'{type(error).__name__}: {error}'
    return {'cause': text[:MAX_CAUSE_LETTERS], 'place': place}
