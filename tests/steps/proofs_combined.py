"""Steps that run one proof over many seeds."""

import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from behave import then
from behave.runner import Context
from combined_seeds import violation

WORKERS = 4


@then('the proof combined holds on seeds {first:d} to {last:d}')
def check_seeds(context: Context, first: int, last: int) -> None:
    """Run many seeds, a few at once."""
    seeds = range(first, last + 1)
    pool = partial(
        ProcessPoolExecutor,
        max_workers=WORKERS,
        mp_context=multiprocessing.get_context('fork'),
    )
    with pool() as workers:
        found = dict(zip(seeds, workers.map(violation, seeds), strict=True))
    broken = {seed: text for seed, text in found.items() if text}
    assert not broken, broken
