"""A planned stop is a graceful shutdown and cuts no request in progress."""

from collections import Counter
from functools import partial
from random import Random
from typing import Final

import attrs
import trio

from burdocksill.entry.components import Components
from burdocksill.entry.shutdown import STOP_SECONDS, ImmediateShutdown
from burdocksill_lab.fakes.deterministic import run_seeded
from burdocksill_lab.fakes.world import open_world
from burdocksill_lab.proofs.accounts import Books, check_once, runs
from burdocksill_lab.proofs.base import Figure, ProofResult
from burdocksill_lab.proofs.planned_change import (
    Fleet,
    check_all_done,
    open_sessions,
)

BUSY: Final = 20
# Requests take long enough that every stop meets some in progress.
WORK_SECONDS: Final = 1.5


async def story(
    seed: int, components: Components, books: Books
) -> Counter[bytes]:
    """Stop each VM in turn while requests are in progress."""
    async with open_world(seed, components=components) as world:
        fleet = Fleet(world=world, books=books, rng=Random(seed))
        await fleet.start()
        for name in sorted(world.upstreams):
            world.upstreams[name].work_seconds = WORK_SECONDS
        over = trio.Event()
        async with trio.open_nursery() as nursery:
            await open_sessions(fleet, nursery, over, busy=BUSY, idle=0)
            for vm in list(world.nodes):
                started = trio.current_time()
                await fleet.replace_vm(vm)
                books.longest_stop = max(
                    books.longest_stop,
                    trio.current_time() - started,
                )
            over.set()
        return runs(
            [entry.payload for entry in stand_in.ledger]
            for stand_in in world.upstreams.values()
        )


def check_bound(books: Books) -> str:
    """Return the violation where a stop took longer than its bound."""
    if books.longest_stop > STOP_SECONDS:
        return f'a stop took {books.longest_stop:.1f} s'
    return ''


@attrs.define(kw_only=True)
class GracefulStopProof:
    """Stop every VM in turn while each upstream has requests in progress."""

    promise: str = (
        'A planned stop is a graceful shutdown and cuts no request in progress.'
    )

    def run(self, *, seed: int, control: bool) -> ProofResult:
        """Run the story; the control ends each VM at once."""
        components = (
            Components(shutdown_policy=ImmediateShutdown)
            if control
            else Components()
        )
        books = Books()
        ran = run_seeded(seed, partial(story, seed, components, books))
        return ProofResult(
            violation=(
                check_all_done(books)
                or check_once(books, ran)
                or check_bound(books)
            ),
            trace=tuple(books.trace),
            figures=(
                Figure(name='requests', value=len(books.accounts)),
                Figure(name='runs', value=ran.total()),
                Figure(name='longest stop s', value=books.longest_stop),
            ),
        )


PROOF: Final = GracefulStopProof()
